// Command route-churn runs a case of the review: configurations replace routes by others,
// and each route gets a request. The gateways' memory must stay below memoryMb; the
// platform kills a process that exceeds it, with the requests that it has accepted.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
	"github.com/tamarackcleat/tamarackcleat/review/stand"
)

const (
	// The dose of big_config in the site file is 1400 routes more. Each version adds 900,
	// so that it fits into a record of the store, and removes those of the version before
	// it, so that the configuration stays small.
	routesPerVersion = 900
	versions         = 22
	// longest bounds the time of all versions together.
	longest      = 100 * time.Second
	versionPause = 4500 * time.Millisecond
	// memoryMb is that of the site's smallest machines.
	memoryMb    = 184
	memoryLimit = memoryMb << 20
	engines     = 6
	slots       = 26
	gateways    = 2
	// steadyClients is the number of clients of each gateway that keep a connection and
	// send one request after the other on a route that all versions have.
	steadyClients = 24
	firstEvent    = 250 * time.Millisecond
	deadline      = 6 * time.Second
	// allowed is how many requests of kept connections may end without an answer.
	allowed = 3
)

func main() { stand.Main(run) }

type route map[string]any

func newRoute(name string) route {
	return route{
		"name": "r-" + name, "host": stand.Host, "pathPrefix": "/" + name + "/", "type": "streaming", "timeoutMs": 6000, "sloMs": 400,
		"gapTargetMs": 250, "priority": 1, "service": "redaction-ia", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true,
	}
}

func names(version int) []string {
	var out []string
	for i := range routesPerVersion {
		out = append(out, fmt.Sprintf("v%dn%d", version, i))
	}
	return out
}

// publish writes a version that has the steady route and those with the given names.
func publish(store *standin.Store, version int, names []string) error {
	routes := []route{newRoute("steady")}
	for _, n := range names {
		routes = append(routes, newRoute(n))
	}
	body, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{map[string]any{"name": "redaction-ia", "healthPath": "/healthz", "maxConns": 464}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{stand.Key}}},
	})
	if err != nil {
		return err
	}
	store.Put("keyed.op", "config", body)
	return nil
}

// system is the deployment of the case.
type system struct {
	r        *stand.Record
	store    *standin.Store
	gateways []*stand.Gateway
	// unanswered counts, by gateway, the requests of kept connections that had been
	// passed on and got no answer.
	unanswered [gateways]atomic.Int64
	killed     [gateways]atomic.Bool
	passedOn   sync.Map
	ended      atomic.Bool
}

func run(r *stand.Record, dir string, trouble bool) ([]string, error) {
	s := &system{r: r, store: standin.NewStore()}
	defer s.store.Close()
	if err := publish(s.store, 1, names(1)); err != nil {
		return nil, err
	}
	for i := range engines {
		// The clients note whether a request has run, so that the record has one line for
		// each request of a kept connection.
		e := &stand.PlainEngine{ID: fmt.Sprintf("i-%d", i+1), Service: "redaction-ia", Slots: slots, Quiet: true}
		e.Work = s.stream
		if err := e.Start(s.store, r); err != nil {
			return nil, err
		}
		defer e.Stop()
	}
	for i := range gateways {
		settings := stand.PageBounds
		settings.MemoryMb, settings.CPUShare = memoryMb, 0.192
		g, err := stand.StartGateway(dir, fmt.Sprintf("edge-zone-medina-%d", i+1), s.store.Address(), settings)
		if err != nil {
			return nil, err
		}
		defer g.Stop()
		s.gateways = append(s.gateways, g)
	}
	for _, g := range s.gateways {
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second)
	s.play(trouble)
	var broken []string
	for i, g := range s.gateways {
		n := s.unanswered[i].Load()
		if s.killed[i].Load() && n > allowed {
			broken = append(broken, fmt.Sprintf("%s ended for its memory and closed %d kept connections without an answer to a request that it had passed on", g.Name, n))
		}
	}
	return broken, nil
}

func (s *system) stream(w http.ResponseWriter, req *http.Request, id string) {
	s.passedOn.Store(id, true)
	w.Header().Set(stand.HeaderStamp, "stamp-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	if strings.HasPrefix(req.URL.Path, "/steady/") {
		time.Sleep(firstEvent)
	}
	for n := 1; n <= 3; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil || flush.Flush() != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// play sends requests for the length of all versions, and publishes them if there is
// trouble; otherwise the first version stays.
func (s *system) play(trouble bool) {
	var running sync.WaitGroup
	for i, g := range s.gateways {
		running.Go(func() { s.guard(i, g) })
		for range steadyClients {
			running.Go(func() { s.steady(i, g) })
		}
	}
	version, began := 1, time.Now()
	for n := range versions {
		if time.Since(began) > longest {
			break
		}
		if n > 0 && trouble {
			version++
			if err := publish(s.store, version, names(version)); err != nil {
				s.r.Add("a version could not be published: %v", err)
				break
			}
		}
		acknowledged := time.Now()
		served := s.visit(names(version))
		s.r.Add("version %d with %d routes, %d of %d requests to its routes served", version, routesPerVersion+1, served, routesPerVersion*gateways)
		if s.killed[0].Load() && s.killed[1].Load() {
			break
		}
		time.Sleep(time.Until(acknowledged.Add(versionPause)))
	}
	s.ended.Store(true)
	running.Wait()
}

// visit sends one request to each route at each gateway, later than configApplyMs after the
// version was acknowledged, and returns how many were served.
func (s *system) visit(names []string) int64 {
	time.Sleep(2 * time.Second)
	var served atomic.Int64
	var running sync.WaitGroup
	for i, g := range s.gateways {
		work := make(chan string)
		for range 40 {
			running.Go(func() {
				for name := range work {
					if s.killed[i].Load() {
						continue
					}
					c, err := stand.Dial(g.Front())
					if err != nil {
						continue
					}
					t := stand.NewAttempt()
					if c.Send(t, http.MethodPost, "/"+name+"/2f", "draft", deadline) == nil && c.Receive(t, time.Now().Add(deadline)) == nil && t.Status == http.StatusOK {
						served.Add(1)
					}
					c.Close()
				}
			})
		}
		running.Go(func() {
			defer close(work)
			for _, name := range names {
				work <- name
			}
		})
	}
	running.Wait()
	return served.Load()
}

// guard does what the platform does: it kills a process that exceeds its memory.
func (s *system) guard(i int, g *stand.Gateway) {
	noted := int64(0)
	for !s.ended.Load() {
		used, err := g.Memory()
		if err == nil && used > memoryLimit {
			s.killed[i].Store(true)
			s.r.Add("killed   %s, which holds %d MB of %d", g.Name, used>>20, memoryLimit>>20)
			g.Stop()
			return
		}
		if used-noted > 20<<20 {
			noted = used
			s.r.Add("memory   %s holds %d MB", g.Name, used>>20)
		}
		time.Sleep(20 * time.Millisecond)
	}
	used, err := g.Memory()
	s.r.Add("memory   %s holds %d MB at the end, error %v", g.Name, used>>20, err)
}

// steady sends one request after the other on a kept connection, and counts those that were
// passed on and whose connection ended without an answer.
func (s *system) steady(i int, g *stand.Gateway) {
	var c *stand.Conn
	for n := 0; !s.ended.Load() && !s.killed[i].Load(); {
		if c == nil {
			var err error
			if c, err = stand.Dial(g.Front()); err != nil {
				return
			}
			n = 0
		}
		t := stand.NewAttempt()
		err := c.Send(t, http.MethodPost, "/steady/2f", strings.Repeat("d", 1500), deadline)
		if err == nil {
			err = c.Receive(t, time.Now().Add(deadline+time.Second))
		}
		_, passed := s.passedOn.LoadAndDelete(t.ID)
		s.r.Add("%s %s: status %d, run %t", g.Name, t.ID, t.Status, passed)
		if err != nil && t.Status == 0 && n > 0 && passed {
			s.unanswered[i].Add(1)
			s.r.Add("closed   %s: %s was sent on a kept connection, passed on and got no answer: %v", g.Name, t.ID, err)
		}
		n++
		if err != nil || t.Closed {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}
