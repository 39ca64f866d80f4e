// Package callers is a load generator for tests and the demo. It sends requests
// to entry nodes at a fixed rate, as callers do, and checks the results: a
// streamed answer must be the same as the answer that the stand-in engines give,
// and a call with an idempotency key must be answered and take effect exactly
// once.
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
	// maxMeasuredMicros is the longest time that a histogram records, in
	// microseconds.
	maxMeasuredMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of a histogram, in decimal digits.
	significantDigits = 3
)

// RequestKind describes the requests of one class.
type RequestKind struct {
	// Class is the class to which the requests are sent.
	Class string
	// Tokens is the length of the answer in tokens. 0 makes the requests calls,
	// which aren't answered by a stream.
	Tokens int
	// Share is the relative frequency of this kind: its requests are
	// Share / (the sum of Share over all kinds) of all requests.
	Share int
}

// Settings configures a run.
type Settings struct {
	// EntryURLs holds the base URLs of the entry nodes. The requests go to them
	// in turn.
	EntryURLs []string
	// Rank0Addresses holds addresses of VMs with rank 0, which accept the
	// requests to their replicas. If there are any, each request for a streamed
	// answer is also sent to one of them and counted in a separate Result.
	Rank0Addresses []string
	// Kinds holds the kinds of requests.
	Kinds []RequestKind
	// Requests is the number of requests to the entry nodes, and PerSecond
	// their rate.
	Requests  int
	PerSecond float64
	// Seed seeds the random choice of a kind from Kinds for each request, so that
	// runs with the same Seed choose the same kinds. It is also part of the names
	// of the requests.
	Seed uint64
}

// Result counts the outcomes of the requests of one class.
type Result struct {
	Class string
	// Sent is the number of all requests. Each is counted once more: in Whole
	// if its answer was complete and as expected, in Refused by the reason of
	// its refusal, or else in Wrong.
	Sent, Whole, Wrong int
	Refused            map[string]int
	// FirstToken and Total hold the times of requests in Whole to the first
	// token, 0 for calls, and to the end of the answer, in microseconds.
	FirstToken, Total *hdrhistogram.Histogram
	// Calls holds the idempotency keys of the calls and whether each call was
	// answered.
	Calls map[string]bool
	// Problems describes the first maxProblems requests in Wrong.
	Problems []string
}

// outcome is the result of one request. If the answer isn't complete, either
// refusalReason or problem says why.
type outcome struct {
	class         string
	key           string
	complete      bool
	refusalReason string
	problem       string
	firstToken    time.Duration
	total         time.Duration
}

// Run sends the requests, waits until all have ended and returns one result for
// each class, in the order of Settings.Kinds.
func Run(ctx context.Context, s Settings) []*Result {
	results, ordered := s.newResults()
	var wg sync.WaitGroup
	var mu sync.Mutex
	record := func(o outcome) {
		mu.Lock()
		defer mu.Unlock()
		results[o.class].record(o)
	}
	rng := rand.New(rand.NewPCG(s.Seed, s.Seed))
	tick := time.NewTicker(time.Duration(float64(time.Second) / s.PerSecond))
	defer tick.Stop()
	for i := range s.Requests {
		kind := pickKind(rng, s.Kinds)
		name := fmt.Sprintf("request %d-%d", s.Seed, i)
		wg.Go(func() { record(send(ctx, s.EntryURLs[i%len(s.EntryURLs)], kind, name)) })
		if len(s.Rank0Addresses) > 0 && kind.Tokens > 0 {
			wg.Go(func() { record(sendDirect(ctx, s.Rank0Addresses[i%len(s.Rank0Addresses)], kind, name)) })
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	wg.Wait()
	return ordered
}

// newResults returns empty results for all classes, by class and in the order of
// Settings.Kinds.
func (s Settings) newResults() (byClass map[string]*Result, ordered []*Result) {
	byClass = map[string]*Result{}
	for _, k := range s.Kinds {
		classes := []string{k.Class}
		if len(s.Rank0Addresses) > 0 && k.Tokens > 0 {
			classes = append(classes, k.Class+directSuffix)
		}
		for _, class := range classes {
			r := newResult(class)
			byClass[class] = r
			ordered = append(ordered, r)
		}
	}
	return byClass, ordered
}

// pickKind draws a kind at random, weighted by RequestKind.Share.
func pickKind(rng *rand.Rand, kinds []RequestKind) RequestKind {
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
		FirstToken: hdrhistogram.New(1, maxMeasuredMicros, significantDigits),
		Total:      hdrhistogram.New(1, maxMeasuredMicros, significantDigits),
	}
}

// maxProblems bounds the number of descriptions in Result.Problems.
const maxProblems = 5

func (r *Result) record(o outcome) {
	r.Sent++
	if o.key != "" {
		r.Calls[o.key] = o.complete
	}
	switch {
	case o.complete:
		r.Whole++
		_ = r.FirstToken.RecordValue(o.firstToken.Microseconds())
		_ = r.Total.RecordValue(o.total.Microseconds())
	case o.refusalReason != "":
		r.Refused[o.refusalReason]++
	default:
		r.Wrong++
		if len(r.Problems) < maxProblems {
			r.Problems = append(r.Problems, o.problem)
		}
	}
}
