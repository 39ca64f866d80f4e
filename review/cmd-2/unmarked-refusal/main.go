// Command unmarked-refusal runs a case of the review: an engine fails a part of the
// requests that it has run with status 503 and without X-Tamarackcleat-Not-Executed, and
// the clients of a non-idempotent route must not be told that these have not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
	"github.com/tamarackcleat/tamarackcleat/review/stand"
)

const (
	config = `{"version":7,"routes":[
{"name":"payout","host":"ficu95.example","pathPrefix":"/puxa403/","type":"non_idempotent","timeoutMs":600,"sloMs":100,"priority":2,"service":"desk-app","maxAttempts":2}],
"services":[{"name":"desk-app","healthPath":"/healthz","maxConns":49}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]}`
	// The sheet of jll-kolkata: payout-approve has 12.7 requests a second, a deadline of
	// 600 ms and 15 ms of work; desk-app has 3 engines with 6 slots.
	deadline = 600 * time.Millisecond
	interval = time.Second * 10 / 127
	work     = 15 * time.Millisecond
	engines  = 3
	slots    = 6
	length   = 20 * time.Second
	// The dose of srv_grey in the site file: share 0.14 of the engines, which is one of
	// three, fails 0.45 of its requests for 6.5 s.
	greyFrom  = 4 * time.Second
	greyFor   = 6500 * time.Millisecond
	greyShare = 0.45
)

func main() { stand.Main(run) }

// action is what a client wants done: one attempt or, after a promise, several.
type action struct{ attempts []*stand.Attempt }

func run(r *stand.Record, dir string, trouble bool) ([]string, error) {
	store := standin.NewStore()
	defer store.Close()
	store.Put("keyed.op", "config", []byte(config))
	var began time.Time
	fleet := make([]*stand.PlainEngine, engines)
	for i := range fleet {
		e := &stand.PlainEngine{ID: fmt.Sprintf("i-%d", i+1), Service: "desk-app", Slots: slots}
		e.Work = func(w http.ResponseWriter, _ *http.Request, id string) {
			time.Sleep(work)
			w.Header().Set(stand.HeaderStamp, "stamp-"+e.ID+"-"+id)
			since := time.Since(began)
			if trouble && i == 0 && since > greyFrom && since < greyFrom+greyFor && rand.Float64() < greyShare {
				r.Add("fails    %s at %s: 503, without %s", id, e.ID, stand.HeaderNotExecuted)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = fmt.Fprintf(w, "done %s", id)
		}
		if err := e.Start(store, r); err != nil {
			return nil, err
		}
		defer e.Stop()
		fleet[i] = e
	}
	var gateways []*stand.Gateway
	for i := range 2 {
		g, err := stand.StartGateway(dir, fmt.Sprintf("edge-kol-a-%d", i+1), store.Address(), stand.PageBounds)
		if err != nil {
			return nil, err
		}
		defer g.Stop()
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second)
	began = time.Now()
	actions := send(r, gateways)
	// A request that was refused must not run later either.
	time.Sleep(2 * time.Second)
	return check(r, fleet, actions), nil
}

// send sends all actions and waits for their ends.
func send(r *stand.Record, gateways []*stand.Gateway) []*action {
	var actions []*action
	var running sync.WaitGroup
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-tick.C {
		a := &action{}
		actions = append(actions, a)
		running.Go(func() { a.perform(r, gateways) })
	}
	running.Wait()
	return actions
}

// perform sends an action as the clients of our pages do: a non-idempotent request is sent
// again, once, only after a promise that it has not run.
func (a *action) perform(r *stand.Record, gateways []*stand.Gateway) {
	until := time.Now().Add(deadline)
	for first := rand.IntN(len(gateways)); len(a.attempts) < 2 && time.Until(until) > 0; {
		g := gateways[(first+len(a.attempts))%len(gateways)]
		t := stand.NewAttempt()
		a.attempts = append(a.attempts, t)
		c, err := stand.Dial(g.Front())
		if err != nil {
			t.Err = err
			return
		}
		r.Add("sent     %s to %s", t.ID, g.Name)
		if err := c.Send(t, http.MethodPost, "/puxa403/2f", "approve", time.Until(until)); err == nil {
			// The error is in the attempt.
			_ = c.Receive(t, until.Add(time.Second))
		}
		c.Close()
		r.Add("answered %s by %s: status %d, stamp %q, Retry-After %q, error %v", t.ID, g.Name, t.Status, t.Header.Get(stand.HeaderStamp), t.Header.Get("Retry-After"), t.Err)
		if !promises(t.Status) {
			return
		}
		time.Sleep(min(t.RetryAfter(), time.Until(until)/3))
	}
}

// promises reports whether a status says that the request has not run and never will.
func promises(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// check returns the attempts that were answered with a promise and have run.
func check(r *stand.Record, fleet []*stand.PlainEngine, actions []*action) []string {
	var broken []string
	sent, served, doubled := 0, 0, 0
	for _, a := range actions {
		ran := 0
		for _, t := range a.attempts {
			sent++
			runs := 0
			for _, e := range fleet {
				runs += e.Runs(t.ID)
			}
			ran += runs
			if t.Status == http.StatusOK {
				served++
			}
			if promises(t.Status) && runs > 0 {
				broken = append(broken, fmt.Sprintf("attempt %s was answered %d and has run", t.ID, t.Status))
			}
		}
		if ran > 1 {
			doubled++
		}
	}
	r.Add("%d actions, %d attempts, %d of them served; %d actions ran more than once, as clients came back after the promise", len(actions), sent, served, doubled)
	return broken
}
