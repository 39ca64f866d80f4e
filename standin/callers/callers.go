// Package callers sends the requests of callers to entry nodes and checks what
// they get: a streamed answer must be the whole answer that any engine gives,
// and a call with an idempotency key must have taken effect.
package callers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestMeasured bounds measured times, in microseconds.
	longestMeasured = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of measured times.
	significantDigits = 3
)

// Kind is one kind of request.
type Kind struct {
	// Class is the class to ask for.
	Class string
	// Tokens is the length of the answer; 0 for a call.
	Tokens int
	// Share is how many of all requests are of this kind, in parts.
	Share int
}

// Settings of a run.
type Settings struct {
	// Entries holds the URLs of entry nodes; requests take turns.
	Entries []string
	// Direct holds addresses of rank 0 VMs. If there are any, each request
	// for a generation is also sent to one of them, as a class of its own.
	Direct []string
	// Kinds holds the kinds of requests.
	Kinds []Kind
	// Requests is the number of requests and PerSecond their rate.
	Requests  int
	PerSecond float64
	// Seed makes the sequence of kinds repeatable.
	Seed uint64
}

// Result is what became of the requests of one class.
type Result struct {
	Class string
	// Sent requests are Whole, Wrong, or Refused by their reason.
	Sent, Whole, Wrong int
	Refused            map[string]int
	// FirstToken and Total hold times in microseconds.
	FirstToken, Total *hdrhistogram.Histogram
	// Calls holds the idempotency keys and whether each was answered.
	Calls map[string]bool
	// Problems describes some of the wrong answers.
	Problems []string
}

// outcome is what became of one request.
type outcome struct {
	class      string
	key        string
	whole      bool
	refused    string
	problem    string
	firstToken time.Duration
	total      time.Duration
}

// Run sends the requests and returns one result per class.
func Run(ctx context.Context, s Settings) []*Result {
	results, order := s.results()
	var wg sync.WaitGroup
	var mu sync.Mutex
	add := func(o outcome) {
		mu.Lock()
		defer mu.Unlock()
		results[o.class].add(o)
	}
	rng := rand.New(rand.NewPCG(s.Seed, s.Seed))
	tick := time.NewTicker(time.Duration(float64(time.Second) / s.PerSecond))
	defer tick.Stop()
	for i := range s.Requests {
		kind := pick(rng, s.Kinds)
		name := fmt.Sprintf("request %d-%d", s.Seed, i)
		wg.Go(func() { add(send(ctx, s.Entries[i%len(s.Entries)], kind, name)) })
		if len(s.Direct) > 0 && kind.Tokens > 0 {
			wg.Go(func() { add(sendDirect(ctx, s.Direct[i%len(s.Direct)], kind, name)) })
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	wg.Wait()
	return order
}

// results returns empty results by class and in the order of the kinds.
func (s Settings) results() (byClass map[string]*Result, order []*Result) {
	byClass = map[string]*Result{}
	for _, k := range s.Kinds {
		classes := []string{k.Class}
		if len(s.Direct) > 0 && k.Tokens > 0 {
			classes = append(classes, k.Class+directSuffix)
		}
		for _, class := range classes {
			r := newResult(class)
			byClass[class] = r
			order = append(order, r)
		}
	}
	return byClass, order
}

// pick draws a kind by its share.
func pick(rng *rand.Rand, kinds []Kind) Kind {
	total := 0
	for _, k := range kinds {
		total += k.Share
	}
	n := rng.IntN(total)
	for _, k := range kinds {
		if n -= k.Share; n < 0 {
			return k
		}
	}
	return kinds[len(kinds)-1]
}

func newResult(class string) *Result {
	return &Result{
		Class:      class,
		Refused:    map[string]int{},
		Calls:      map[string]bool{},
		FirstToken: hdrhistogram.New(1, longestMeasured, significantDigits),
		Total:      hdrhistogram.New(1, longestMeasured, significantDigits),
	}
}

// maxProblems bounds the wrong answers that are described.
const maxProblems = 5

func (r *Result) add(o outcome) {
	r.Sent++
	if o.key != "" {
		r.Calls[o.key] = o.whole
	}
	switch {
	case o.whole:
		r.Whole++
		_ = r.FirstToken.RecordValue(o.firstToken.Microseconds())
		_ = r.Total.RecordValue(o.total.Microseconds())
	case o.refused != "":
		r.Refused[o.refused]++
	default:
		r.Wrong++
		if len(r.Problems) < maxProblems {
			r.Problems = append(r.Problems, o.problem)
		}
	}
}
