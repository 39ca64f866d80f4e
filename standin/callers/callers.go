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
	// Problems describes some of the wrong answers.
	Problems []string
}

// outcome is what became of one request.
type outcome struct {
	class      string
	whole      bool
	refused    string
	problem    string
	firstToken time.Duration
	total      time.Duration
}

// Run sends the requests and returns one result per kind.
func Run(ctx context.Context, s Settings) []*Result {
	results := map[string]*Result{}
	var order []*Result
	for _, k := range s.Kinds {
		r := newResult(k.Class)
		results[k.Class] = r
		order = append(order, r)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(s.Seed, s.Seed))
	tick := time.NewTicker(time.Duration(float64(time.Second) / s.PerSecond))
	defer tick.Stop()
	for i := range s.Requests {
		kind := pick(rng, s.Kinds)
		entry := s.Entries[i%len(s.Entries)]
		wg.Go(func() {
			o := send(ctx, entry, kind, fmt.Sprintf("request %d-%d", s.Seed, i))
			mu.Lock()
			defer mu.Unlock()
			results[kind.Class].add(o)
		})
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	wg.Wait()
	return order
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
		FirstToken: hdrhistogram.New(1, longestMeasured, significantDigits),
		Total:      hdrhistogram.New(1, longestMeasured, significantDigits),
	}
}

// maxProblems bounds the wrong answers that are described.
const maxProblems = 5

func (r *Result) add(o outcome) {
	r.Sent++
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
