// Command crash-after-event runs a case of the review: one part of prompts crashes each
// engine that begins to write an answer on it, right after the engine has sent the first
// event. Requests with that part come all the time; they must not reach the engines for
// ever, and sound requests must be served beside them.
package main

import (
	"fmt"
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
	// Sound requests come alone for calm, and then beside deadly ones until length.
	calm   = 8 * time.Second
	length = 45 * time.Second
	// Deadly requests come every 0.4 s, and engines are back after three seconds.
	pause = 400 * time.Millisecond
	back  = 3 * time.Second
	// contact is contactMs; allowed is the number of requests that the rule BUDGET allows to
	// reach engines later than that after the fifth crash.
	contact = 3 * time.Second
	allowed = 3
	// minCounted is the number of requests of each kind from which the rule LOST compares
	// them, and minShare the part of them that must begin.
	minCounted = 20
	minShare   = 0.5
	soundUsers = 8
	// events is the number of events of a sound stream.
	events = 10
	// Parts of prompts: those of sound requests, and the deadly one in place of the second.
	firstPart, secondPart, deadlyPart = "5c1e07a2", "91bd3f06", "dead0bad"
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
				if strings.Contains(req.Header.Get("X-Tamarackcleat-Prefix-Hash"), deadlyPart) {
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
	sound := send(r, gateways)
	return check(r, seen, sound), nil
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

// outcome is what became of the first attempt of a sound request.
type outcome struct {
	sentAt time.Time
	begun  bool
}

// send sends sound requests and, after the calm, deadly ones. It returns the outcomes of the
// sound ones.
func send(r *stand.Record, gateways []*stand.Gateway) []outcome {
	var mu sync.Mutex
	var sound []outcome
	var running sync.WaitGroup
	began := time.Now()
	end := began.Add(length)
	running.Go(func() {
		time.Sleep(calm)
		for n := 0; time.Now().Before(end); n++ {
			running.Go(func() { one(r, gateways[n%len(gateways)], deadlyPart) })
			time.Sleep(pause)
		}
	})
	for range soundUsers {
		running.Go(func() {
			for time.Now().Before(end) {
				o := one(r, gateways[rand.IntN(len(gateways))], secondPart)
				mu.Lock()
				sound = append(sound, o)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	running.Wait()
	return sound
}

// one sends a request with a part that others share, notes its answer and returns whether a
// stream has begun. No two requests are alike.
func one(r *stand.Record, g *stand.Gateway, part string) outcome {
	t := stand.NewAttempt()
	o := outcome{sentAt: time.Now()}
	c, err := stand.Dial(g.Front())
	if err != nil {
		r.Add("%s could not be reached: %v", g.Name, err)
		return o
	}
	defer c.Close()
	r.Add("sent     %s to %s with part %s", t.ID, g.Name, part)
	fields := fmt.Sprintf("X-Tamarackcleat-Prefix-Hash: %s:800,%s:410,%s:250\r\n", firstPart, part, t.ID)
	if t.Err = c.SendWith(t, http.MethodPost, "/lohu930/2f", fields, "text "+t.ID, deadline); t.Err == nil {
		// The error is in the attempt.
		_ = c.Receive(t, time.Now().Add(deadline+time.Second))
	}
	o.begun = t.Status == http.StatusOK
	whole := t.Err == nil && strings.HasSuffix(string(t.Body), fmt.Sprintf("%d\n\n", events))
	r.Add("answered %s by %s: status %d, begun %t, whole %t", t.ID, g.Name, t.Status, o.begun, whole)
	return o
}

// check returns what breaks the rules: arrivals of deadly requests beyond the allowed ones
// later than contact after the fifth crash, and too few sound requests that begin from twice
// that time on.
func check(r *stand.Record, seen *witness, sound []outcome) []string {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	crashes, late := 0, 0
	var first, fifth time.Time
	for _, a := range seen.arrivals {
		if crashes >= 5 && a.at.Sub(fifth) > contact {
			late++
		}
		if a.crashed {
			if crashes++; crashes == 1 {
				first = a.at
			}
			if crashes <= 5 {
				fifth = a.at
			}
		}
	}
	r.Add("%d arrivals of deadly requests, %d crashes, %d arrivals later than %v after the fifth", len(seen.arrivals), crashes, late, contact)
	var broken []string
	if late > allowed {
		broken = append(broken, fmt.Sprintf("BUDGET: %d deadly requests reached engines later than %v after the fifth crash", late, contact))
	}
	if crashes == 0 {
		return broken
	}
	before, begunBefore, beside, begunBeside := 0, 0, 0, 0
	for _, o := range sound {
		switch {
		case o.sentAt.Before(first.Add(-time.Second)):
			before++
			begunBefore += count(o.begun)
		case o.sentAt.After(fifth.Add(2 * contact)):
			beside++
			begunBeside += count(o.begun)
		}
	}
	r.Add("sound requests: %d of %d began before the first crash, %d of %d later than %v after the fifth", begunBefore, before, begunBeside, beside, 2*contact)
	if before >= minCounted && beside >= minCounted && float64(begunBeside)/float64(beside) < minShare*float64(begunBefore)/float64(before) {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d sound requests began beside deadly ones, %d of %d before", begunBeside, beside, begunBefore, before))
	}
	return broken
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
