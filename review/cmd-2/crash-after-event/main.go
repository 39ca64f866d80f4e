// Command crash-after-event runs a case of the review: one request crashes each engine that
// runs it, right after the engine has sent the first event of its answer. The clients send
// it again and again; it must not reach the engines for ever.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
	"github.com/tamarackcleat/tamarackcleat/review/stand"
)

const (
	config = `{"version":7,"routes":[
{"name":"rewrite","host":"ficu95.example","pathPrefix":"/lohu930/","type":"streaming","timeoutMs":6000,"sloMs":250,"gapTargetMs":200,"priority":1,"service":"lingo-gen","maxAttempts":2,"resumable":true,"sticky":true}],
"services":[{"name":"lingo-gen","healthPath":"/healthz","maxConns":234}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]}`
	deadline = 6 * time.Second
	engines  = 8
	slots    = 26
	length   = 45 * time.Second
	// The request comes once a second, and the engines are back after three seconds.
	pause = time.Second
	back  = 3 * time.Second
	// contact is contactMs; allowed is the number of retries that the rule allows after it.
	contact = 3 * time.Second
	allowed = 3
	// events is the number of events of a sound stream.
	events = 10
	marker = "the text that crashes engines"
)

func main() { stand.Main(run) }

// arrival is the arrival of the crashing request at an engine.
type arrival struct {
	at      time.Time
	crashed bool
}

// witness notes the arrivals.
type witness struct {
	mu       sync.Mutex
	arrivals []arrival
}

func (w *witness) add(a arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
}

func run(r *stand.Record, dir string, trouble bool) ([]string, error) {
	store := standin.NewStore()
	defer store.Close()
	store.Put("keyed.op", "config", []byte(config))
	seen := &witness{}
	for i := range engines {
		e := &stand.PlainEngine{ID: fmt.Sprintf("i-%d", i+1), Service: "lingo-gen", Slots: slots}
		e.Work = func(w http.ResponseWriter, req *http.Request, id string) {
			stream(w, req, id, func() {
				if strings.HasSuffix(req.URL.Path, "/poison") {
					seen.add(arrival{time.Now(), trouble && e.Crash(back)})
				}
			})
		}
		if err := e.Start(store, r); err != nil {
			return nil, err
		}
		defer e.Stop()
	}
	var gateways []*stand.Gateway
	for i := range 3 {
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
	send(r, gateways)
	return check(r, seen), nil
}

// stream answers with events and calls first after the first one that it sends.
func stream(w http.ResponseWriter, req *http.Request, id string, first func()) {
	last := 0
	// Without a valid id the stream begins at its first event.
	_, _ = fmt.Sscanf(req.Header.Get("Last-Event-Id"), "%d", &last)
	w.Header().Set(stand.HeaderStamp, "stamp-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := last + 1; n <= events; n++ {
		time.Sleep(30 * time.Millisecond)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil || flush.Flush() != nil {
			return
		}
		if n == last+1 {
			// The bytes of the event leave the machine before its process ends.
			time.Sleep(20 * time.Millisecond)
			first()
		}
	}
}

// send sends sound requests, and the crashing one once a second to a gateway after the other.
func send(r *stand.Record, gateways []*stand.Gateway) {
	var running sync.WaitGroup
	end := time.Now().Add(length)
	running.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			began := time.Now()
			one(r, gateways[n%len(gateways)], "/lohu930/poison", marker)
			time.Sleep(time.Until(began.Add(pause)))
		}
	})
	for range 4 {
		running.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				one(r, gateways[rand.IntN(len(gateways))], "/lohu930/2f", fmt.Sprintf("sound text %d of %d", n, rand.Int()))
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	running.Wait()
}

// one sends a request and notes its answer.
func one(r *stand.Record, g *stand.Gateway, path, body string) {
	t := stand.NewAttempt()
	c, err := stand.Dial(g.Front())
	if err != nil {
		r.Add("%s could not be reached: %v", g.Name, err)
		return
	}
	defer c.Close()
	r.Add("sent     %s to %s: %s", t.ID, g.Name, path)
	if t.Err = c.Send(t, http.MethodPost, path, body, deadline); t.Err == nil {
		// The error is in the attempt.
		_ = c.Receive(t, time.Now().Add(deadline+time.Second))
	}
	whole := t.Err == nil && strings.HasSuffix(string(t.Body), fmt.Sprintf("%d\n\n", events))
	r.Add("answered %s by %s: status %d, whole stream %t, cut %t", t.ID, g.Name, t.Status, whole, t.Err == io.ErrUnexpectedEOF)
}

// check returns the arrivals beyond the allowed ones later than contact after the third crash.
func check(r *stand.Record, seen *witness) []string {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	crashes, late := 0, 0
	var third time.Time
	var broken []string
	for _, a := range seen.arrivals {
		if crashes >= 3 && a.at.Sub(third) > contact {
			if late++; late > allowed {
				broken = append(broken, fmt.Sprintf("arrival %d of the crashing request, %.1f s after its third crash", late, a.at.Sub(third).Seconds()))
			}
		}
		if a.crashed {
			if crashes++; crashes == 3 {
				third = a.at
			}
		}
	}
	r.Add("%d arrivals of the crashing request, %d crashes, %d arrivals later than %v after the third", len(seen.arrivals), crashes, late, contact)
	return broken
}
