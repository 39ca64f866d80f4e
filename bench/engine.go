package bench

import (
	"container/heap"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Properties of the fake engine.
const (
	// engineSlots is the size of the continuous batch.
	engineSlots = 64
	// engineQueue is the number of requests that may wait in the engine;
	// beyond it the engine refuses.
	engineQueue = 64
	// tokenTimeIdle and tokenTimeFull are the times between tokens with an
	// empty and with a full batch.
	tokenTimeIdle = 18 * time.Millisecond
	tokenTimeFull = 46 * time.Millisecond
	// prefillPerToken is the time to process one token of a prompt. Prompts
	// are processed one after the other.
	prefillPerToken = 125 * time.Microsecond
	// cachedPrefixes is the number of prefixes that the cache holds.
	cachedPrefixes = 40
	// connectTimeout is how long a connection to a dead engine takes to fail.
	connectTimeout = time.Second
	// stallTimeout is how long a silent stream takes to be given up.
	stallTimeout = 2 * time.Second
)

// prefixSavings is the part of the prompt that the cache saves, for each of a
// request's prefixes, longest first.
var prefixSavings = [...]float64{0.8, 0.4}

// job is one attempt of a request on an engine.
type job struct {
	engine   *engine
	priority int
	seq      uint64
	prompt   int
	tokens   int
	prefixes []uint64
	// onFirst is called at the first token, onDone at the last one and
	// onFail when the attempt failed.
	onFirst func()
	onDone  func()
	onFail  func(e *verdict.Error)

	decoding bool
	start    float64
	ended    bool
}

// produced returns the number of tokens produced so far.
func (j *job) produced() int {
	if !j.decoding {
		return 0
	}
	j.engine.advance()
	return min(j.tokens, int(j.engine.position-j.start))
}

// engine is a fake engine: a queue before a continuous batch.
type engine struct {
	loop     *loop
	upstream balance.Upstream
	domain   int
	// slowness multiplies all times; 1 is healthy.
	slowness float64
	down     bool
	boot     int

	queue     jobHeap
	prefills  jobHeap
	prefiller *job
	decoding  decodeHeap
	running   int
	seq       uint64

	// position counts the tokens that a request present all the time would
	// have produced; positionAt is when it was computed.
	position   float64
	positionAt time.Time
	version    uint64

	cache    *simplelru.LRU[uint64, struct{}]
	events   []port.CacheEvent
	eventSeq int64

	// prefillTokens and cachedTokens count tokens of prompts processed and
	// saved; decoded counts tokens produced.
	prefillTokens, cachedTokens, decoded int64
}

func newEngine(l *loop, u balance.Upstream, domain int) *engine {
	e := &engine{loop: l, upstream: u, domain: domain, slowness: 1, positionAt: l.now}
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
		panic(err) // only for a size below one
	}
	e.cache = cache
}

func (e *engine) publish(hash uint64, dropped bool) {
	e.eventSeq++
	e.events = append(e.events, port.CacheEvent{Seq: e.eventSeq, PrefixHash: hash, Dropped: dropped})
}

// load returns the requests that run and wait.
func (e *engine) load() (running, queued int) { return e.running, len(e.queue) }

// submit takes a job.
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
		e.begin(j)
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

// begin gives a job a slot.
func (e *engine) begin(j *job) {
	e.running++
	heap.Push(&e.prefills, j)
	e.nextPrefill()
}

// nextPrefill processes the prompt that is due next.
func (e *engine) nextPrefill() {
	if e.prefiller != nil || len(e.prefills) == 0 {
		return
	}
	j := heap.Pop(&e.prefills).(*job)
	e.prefiller = j
	cost := e.prefillCost(j)
	boot := e.boot
	e.loop.after(cost, func() {
		if e.boot != boot || e.down {
			return
		}
		e.prefiller = nil
		if !j.ended {
			e.decode(j)
		}
		e.nextPrefill()
	})
}

// prefillCost processes a prompt with the help of the cache.
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
	return time.Duration(e.slowness * float64(cost))
}

// decode starts to produce tokens.
func (e *engine) decode(j *job) {
	e.advance()
	j.decoding = true
	j.start = e.position
	heap.Push(&e.decoding, j)
	e.schedule()
	first := e.tokenTime()
	e.loop.after(first, func() {
		if !j.ended && !e.down {
			j.onFirst()
		}
	})
}

// tokenTime returns the time between tokens with the present batch.
func (e *engine) tokenTime() time.Duration {
	fill := float64(len(e.decoding)) / float64(e.upstream.Slots)
	t := float64(tokenTimeIdle) + fill*float64(tokenTimeFull-tokenTimeIdle)
	return time.Duration(e.slowness * t)
}

// advance brings the position up to now. It is called before each change of
// the batch.
func (e *engine) advance() {
	if !e.down {
		passed := e.loop.now.Sub(e.positionAt)
		e.position += float64(passed) / float64(e.tokenTime())
	}
	e.positionAt = e.loop.now
}

// schedule sets the event of the next job that ends.
func (e *engine) schedule() {
	e.version++
	if len(e.decoding) == 0 {
		return
	}
	j := e.decoding[0]
	left := j.start + float64(j.tokens) - e.position
	version := e.version
	e.loop.after(time.Duration(left*float64(e.tokenTime()))+1, func() {
		if e.version != version || e.down {
			return
		}
		e.advance()
		heap.Pop(&e.decoding)
		e.decoded += int64(j.tokens)
		j.ended = true
		e.leave()
		e.schedule()
		j.onDone()
	})
}

// leave frees a slot.
func (e *engine) leave() {
	e.running--
	if len(e.queue) > 0 {
		e.begin(heap.Pop(&e.queue).(*job))
	}
}

// cancel ends a job early.
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
		heap.Remove(&e.decoding, j.place())
		e.decoded += int64(produced)
		e.schedule()
	case e.prefills.remove(j), e.prefiller == j:
	case e.queue.remove(j):
		return
	}
	e.leave()
}

// setSlowness changes the engine's speed.
func (e *engine) setSlowness(s float64) {
	e.advance()
	e.slowness = s
	e.schedule()
}

// crash stops the engine. Its streams fall silent.
func (e *engine) crash() {
	e.advance()
	lost := append(append(append([]*job{}, e.decoding...), e.prefills...), e.queue...)
	if e.prefiller != nil {
		lost = append(lost, e.prefiller)
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

// restart brings the engine back empty, as a new generation.
func (e *engine) restart() {
	e.queue, e.prefills, e.decoding = nil, nil, nil
	e.prefiller, e.running = nil, 0
	e.down = false
	e.version++
	e.positionAt = e.loop.now
	e.upstream.Generation++
	e.resetCache()
}
