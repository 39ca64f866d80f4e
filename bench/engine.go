package bench

import (
	"container/heap"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Properties of the simulated engine.
const (
	// engineSlots is the maximum number of requests in the continuous batch.
	engineSlots = 64
	// engineQueue is the maximum number of requests that wait in the engine.
	// The engine refuses further requests.
	engineQueue = 64
	// tokenTimeIdle and tokenTimeFull are the times between two tokens of an
	// answer with an empty and with a full batch.
	tokenTimeIdle = 18 * time.Millisecond
	tokenTimeFull = 46 * time.Millisecond
	// prefillPerToken is the time to process one prompt token. An engine
	// processes one prompt at a time.
	prefillPerToken = 125 * time.Microsecond
	// cachedPrefixes is the maximum number of prefixes in the prompt cache.
	cachedPrefixes = 40
	// connectTimeout is the time until a connection to a crashed engine fails.
	connectTimeout = time.Second
	// stallTimeout is the time without data after which a stream fails.
	stallTimeout = 2 * time.Second
)

// prefixSavings holds the fraction of the prompt that need not be processed if
// the cache holds a prefix, for each of a request's prefixes, longest first.
var prefixSavings = [...]float64{0.8, 0.4}

// job is one attempt of a request on an engine. prompt and tokens are the
// numbers of tokens to process and to produce.
type job struct {
	engine   *engine
	priority int
	seq      uint64
	prompt   int
	tokens   int
	prefixes []uint64
	// onFirst is called at the first token, onDone at the last token and
	// onFail when the attempt fails.
	onFirst func()
	onDone  func()
	onFail  func(e *verdict.Error)

	decoding bool
	start    float64
	ended    bool
}

// produced returns the number of tokens that the job has produced so far.
func (j *job) produced() int {
	if !j.decoding {
		return 0
	}
	j.engine.advance()
	return min(j.tokens, int(j.engine.position-j.start))
}

// engine is a simulated engine. Requests wait in queue for a slot of the
// continuous batch, then in prefills for the processing of their prompts, which
// handles one request (prefilling) at a time, and then produce tokens
// (decoding).
type engine struct {
	loop     *loop
	upstream balance.Upstream
	domain   int
	// slowdown multiplies the times to process prompts and to produce tokens;
	// 1 is normal speed.
	slowdown float64
	down     bool
	boot     int

	queue      jobHeap
	prefills   jobHeap
	prefilling *job
	decoding   decodeHeap
	running    int
	seq        uint64

	// position is the number of tokens that a hypothetical request would have
	// produced if it had been decoding since the start of the simulation.
	// positionAt is the time at which position was computed.
	position    float64
	positionAt  time.Time
	scheduleSeq uint64

	cache    *simplelru.LRU[uint64, struct{}]
	events   []port.CacheEvent
	eventSeq int64

	// prefillTokens and cachedTokens are the numbers of prompt tokens that were
	// processed and that were found in the cache. decoded is the number of
	// tokens produced.
	prefillTokens, cachedTokens, decoded int64
}

func newEngine(l *loop, u balance.Upstream, domain int) *engine {
	e := &engine{loop: l, upstream: u, domain: domain, slowdown: 1, positionAt: l.now}
	e.resetCache()
	return e
}

func (e *engine) resetCache() {
	e.boot++
	e.events, e.eventSeq = nil, 0
	cache, err := simplelru.NewLRU(cachedPrefixes, func(hash uint64, _ struct{}) {
		e.publish(hash, true)
	})
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	e.cache = cache
}

func (e *engine) publish(hash uint64, dropped bool) {
	e.eventSeq++
	e.events = append(e.events, port.CacheEvent{Seq: e.eventSeq, PrefixHash: hash, Dropped: dropped})
}

// load returns the numbers of requests that hold a slot and that wait for one.
func (e *engine) load() (running, queued int) { return e.running, len(e.queue) }

// submit accepts, queues or refuses a job. On a crashed engine the job fails
// after connectTimeout.
func (e *engine) submit(j *job) {
	j.engine = e
	e.seq++
	j.seq = e.seq
	switch {
	case e.down:
		e.loop.after(connectTimeout, func() {
			e.fail(j, verdict.Refuse(verdict.ReasonConnect, "timeout"))
		})
	case e.running < e.upstream.Slots:
		e.assignSlot(j)
	case len(e.queue) >= engineQueue:
		e.fail(j, verdict.Refuse(verdict.ReasonUpstreamRefused, "busy"))
	default:
		heap.Push(&e.queue, j)
	}
}

func (e *engine) fail(j *job, err *verdict.Error) {
	if !j.ended {
		j.ended = true
		j.onFail(err)
	}
}

// assignSlot gives a job a slot of the batch.
func (e *engine) assignSlot(j *job) {
	e.running++
	heap.Push(&e.prefills, j)
	e.nextPrefill()
}

// nextPrefill starts to process the next prompt, unless a prompt is in progress.
func (e *engine) nextPrefill() {
	if e.prefilling != nil || len(e.prefills) == 0 {
		return
	}
	j := heap.Pop(&e.prefills).(*job)
	e.prefilling = j
	cost := e.prefillCost(j)
	boot := e.boot
	e.loop.after(cost, func() {
		if e.boot != boot || e.down {
			return
		}
		e.prefilling = nil
		if !j.ended {
			e.decode(j)
		}
		e.nextPrefill()
	})
}

// prefillCost returns the time to process a job's prompt. It adds the prompt's
// prefixes to the cache and updates the counters.
func (e *engine) prefillCost(j *job) time.Duration {
	saved := 0.0
	for i, h := range j.prefixes {
		if _, ok := e.cache.Get(h); ok {
			saved = max(saved, prefixSavings[i])
			continue
		}
		e.cache.Add(h, struct{}{})
		e.publish(h, false)
	}
	cached := int(saved * float64(j.prompt))
	e.cachedTokens += int64(cached)
	e.prefillTokens += int64(j.prompt - cached)
	cost := time.Duration(j.prompt-cached) * prefillPerToken
	return time.Duration(e.slowdown * float64(cost))
}

// decode adds a job to the batch, where it starts to produce tokens.
func (e *engine) decode(j *job) {
	e.advance()
	j.decoding = true
	j.start = e.position
	heap.Push(&e.decoding, j)
	e.scheduleCompletion()
	first := e.tokenTime()
	e.loop.after(first, func() {
		if !j.ended && !e.down {
			j.onFirst()
		}
	})
}

// tokenTime returns the time between two tokens of a job with the current batch.
func (e *engine) tokenTime() time.Duration {
	fill := float64(len(e.decoding)) / float64(e.upstream.Slots)
	t := float64(tokenTimeIdle) + fill*float64(tokenTimeFull-tokenTimeIdle)
	return time.Duration(e.slowdown * t)
}

// advance updates position to the current time. It must be called before each
// change of the batch or of the slowdown, since these change the token time.
func (e *engine) advance() {
	if !e.down {
		passed := e.loop.now.Sub(e.positionAt)
		e.position += float64(passed) / float64(e.tokenTime())
	}
	e.positionAt = e.loop.now
}

// scheduleCompletion schedules the end of the job that will complete first. It
// replaces the completion scheduled before, which scheduleSeq invalidates.
func (e *engine) scheduleCompletion() {
	e.scheduleSeq++
	if len(e.decoding) == 0 {
		return
	}
	j := e.decoding[0]
	left := j.start + float64(j.tokens) - e.position
	seq := e.scheduleSeq
	e.loop.after(time.Duration(left*float64(e.tokenTime()))+1, func() {
		if e.scheduleSeq != seq || e.down {
			return
		}
		e.advance()
		heap.Pop(&e.decoding)
		e.decoded += int64(j.tokens)
		j.ended = true
		e.freeSlot()
		e.scheduleCompletion()
		j.onDone()
	})
}

// freeSlot frees a slot and gives it to the next queued job.
func (e *engine) freeSlot() {
	e.running--
	if len(e.queue) > 0 {
		e.assignSlot(heap.Pop(&e.queue).(*job))
	}
}

// cancel ends a job before its last token, without a call of onFail.
func (e *engine) cancel(j *job) {
	if j.ended {
		return
	}
	produced := j.produced()
	j.ended = true
	if e.down {
		return
	}
	switch {
	case j.decoding:
		e.advance()
		heap.Remove(&e.decoding, j.batchIndex())
		e.decoded += int64(produced)
		e.scheduleCompletion()
	case e.prefills.remove(j), e.prefilling == j:
	case e.queue.remove(j):
		return
	}
	e.freeSlot()
}

// setSlowdown sets the engine's slowdown factor.
func (e *engine) setSlowdown(s float64) {
	e.advance()
	e.slowdown = s
	e.scheduleCompletion()
}

// crash stops the engine. Its jobs produce nothing more and fail after
// stallTimeout.
func (e *engine) crash() {
	e.advance()
	lost := append(append(append([]*job{}, e.decoding...), e.prefills...), e.queue...)
	if e.prefilling != nil {
		lost = append(lost, e.prefilling)
	}
	for _, j := range e.decoding {
		e.decoded += int64(j.produced())
	}
	e.down = true
	e.loop.after(stallTimeout, func() {
		for _, j := range lost {
			e.fail(j, verdict.New(verdict.MayHaveRun, verdict.ReasonStalled, "silent"))
		}
	})
}

// restart starts a crashed engine as a new generation, without jobs and with an
// empty cache.
func (e *engine) restart() {
	e.queue, e.prefills, e.decoding = nil, nil, nil
	e.prefilling, e.running = nil, 0
	e.down = false
	e.scheduleSeq++
	e.positionAt = e.loop.now
	e.upstream.Generation++
	e.resetCache()
}
