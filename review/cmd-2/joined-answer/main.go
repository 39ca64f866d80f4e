// Command joined-answer runs a case of the review: an engine that answers idempotent
// requests with event streams crashes in the middle of answers. A client that gets a
// success must get the whole body of one engine, not pieces of two.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
	"github.com/tamarackcleat/tamarackcleat/review/stand"
)

const (
	config = `{"version":7,"routes":[
{"name":"history","host":"ficu95.example","pathPrefix":"/cufi504/","type":"idempotent","timeoutMs":2000,"sloMs":400,"priority":2,"service":"desk-app","maxAttempts":2}],
"services":[{"name":"desk-app","healthPath":"/healthz","maxConns":49}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]}`
	deadline = 2 * time.Second
	length   = 24 * time.Second
	events   = 10
	// One engine of three crashes, which is the dose of srv_crash (share 0.14 of a
	// service), and is back 4.5 s later.
	crashEvery = 6 * time.Second
	back       = 4500 * time.Millisecond
)

func main() { stand.Main(run) }

// body is the whole body with which an engine answers a request.
func body(engine, id string) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(event(engine, id, n))
	}
	return b.String()
}

// event is one revision in an entry's history. Each engine has its own numbers of revisions.
func event(engine, id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: revision %d of %s by %s\n\n", n, n, id, engine)
}

func run(r *stand.Record, dir string, trouble bool) ([]string, error) {
	store := standin.NewStore()
	defer store.Close()
	store.Put("keyed.op", "config", []byte(config))
	var fleet []*stand.PlainEngine
	for i := range 3 {
		e := &stand.PlainEngine{ID: fmt.Sprintf("i-%d", i+1), Service: "desk-app", Slots: 6}
		name := e.ID
		e.Work = func(w http.ResponseWriter, _ *http.Request, id string) {
			w.Header().Set(stand.HeaderStamp, "stamp-"+name+"-"+id)
			w.Header().Set("Content-Type", "text/event-stream")
			flush := http.NewResponseController(w)
			for n := 1; n <= events; n++ {
				time.Sleep(20 * time.Millisecond)
				if _, err := fmt.Fprint(w, event(name, id, n)); err != nil || flush.Flush() != nil {
					return
				}
			}
		}
		if err := e.Start(store, r); err != nil {
			return nil, err
		}
		defer e.Stop()
		fleet = append(fleet, e)
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
	return play(r, gateways, fleet, trouble), nil
}

// play sends requests, and lets one engine after the other crash if there is trouble. It
// returns the answers that are no engine's.
func play(r *stand.Record, gateways []*stand.Gateway, fleet []*stand.PlainEngine, trouble bool) []string {
	var mu sync.Mutex
	var broken []string
	var running sync.WaitGroup
	end := time.Now().Add(length)
	for i := range 6 {
		running.Go(func() {
			for n := i; time.Now().Before(end); n++ {
				if problem := ask(r, gateways[n%len(gateways)]); problem != "" {
					mu.Lock()
					broken = append(broken, problem)
					mu.Unlock()
				}
			}
		})
	}
	for n := 0; trouble && time.Until(end) > crashEvery; n++ {
		time.Sleep(crashEvery - time.Second)
		fleet[n%len(fleet)].Crash(back)
		time.Sleep(time.Second)
	}
	running.Wait()
	return broken
}

// ask sends a request and returns what is wrong with a success; empty for nothing.
func ask(r *stand.Record, g *stand.Gateway) string {
	t := stand.NewAttempt()
	c, err := stand.Dial(g.Front())
	if err != nil {
		return ""
	}
	defer c.Close()
	r.Add("sent     %s to %s", t.ID, g.Name)
	if t.Err = c.Send(t, http.MethodGet, "/cufi504/fi50/2f", "", deadline); t.Err == nil {
		// The error is in the attempt.
		_ = c.Receive(t, time.Now().Add(deadline+time.Second))
	}
	r.Add("answered %s by %s: status %d, stamp %q, %d bytes, error %v", t.ID, g.Name, t.Status, t.Header.Get(stand.HeaderStamp), len(t.Body), t.Err)
	if t.Err != nil || t.Status != http.StatusOK {
		return ""
	}
	for i := range 3 {
		if string(t.Body) == body(fmt.Sprintf("i-%d", i+1), t.ID) {
			return ""
		}
	}
	r.Add("body of %s: %q", t.ID, t.Body)
	return fmt.Sprintf("attempt %s got a success with a body that is no engine's", t.ID)
}
