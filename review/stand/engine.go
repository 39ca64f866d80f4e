package stand

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
)

// Header fields of the protocol.
const (
	HeaderAttempt     = "X-Tamarackcleat-Attempt-Id"
	HeaderStamp       = "X-Tamarackcleat-Server-Stamp"
	HeaderDeadline    = "X-Tamarackcleat-Deadline-Ms"
	HeaderNotExecuted = "X-Tamarackcleat-Not-Executed"
	headerExpect      = "X-Tamarackcleat-Expect-Instance"
	headerInstance    = "X-Tamarackcleat-Instance-Id"
)

// heartbeat is how often an engine writes to the store (heartbeatMs).
const heartbeat = 1200 * time.Millisecond

// PlainEngine is an engine of a service without models: it registers itself in the store
// and runs each request that is meant for it.
type PlainEngine struct {
	ID, Service string
	Slots       int
	// Work answers a request that the engine runs. The attempt id is in the header
	// already.
	Work func(w http.ResponseWriter, id string)

	store  *standin.Store
	server *http.Server
	addr   string
	slots  chan struct{}
	stop   chan struct{}

	mu   sync.Mutex
	runs map[string]int
}

// Start starts the engine on a free loopback port.
func (e *PlainEngine) Start(s *standin.Store, r *Record) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.store, e.addr, e.runs, e.stop = s, l.Addr().String(), map[string]int{}, make(chan struct{})
	e.slots = make(chan struct{}, e.Slots)
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { e.serve(w, req, r) })}
	go func() { _ = e.server.Serve(l) }()
	go e.register()
	return nil
}

// Stop ends the engine.
func (e *PlainEngine) Stop() {
	close(e.stop)
	_ = e.server.Close()
}

// register writes the engine's entry, again and again.
func (e *PlainEngine) register() {
	born := time.Now().UnixMilli()
	for n := 1; ; n++ {
		entry, err := json.Marshal(map[string]any{
			"service": e.Service, "address": e.addr, "zone": "kol-a", "version": "v1", "slots": e.Slots, "state": "ready",
			"coldRemainingMs": 0, "born": born, "sequence": n,
		})
		if err != nil {
			panic(err)
		}
		e.store.Put("keyed.servers", e.ID, entry)
		select {
		case <-e.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// Runs returns how often the engine has begun to work on a request.
func (e *PlainEngine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *PlainEngine) serve(w http.ResponseWriter, req *http.Request, r *Record) {
	id := req.Header.Get(HeaderAttempt)
	if id != "" {
		w.Header().Set(HeaderAttempt, id)
	}
	if req.URL.Path == "/healthz" {
		w.Header().Set(headerInstance, e.ID)
		return
	}
	if want := req.Header.Get(headerExpect); want != "" && want != e.ID {
		w.Header().Set(headerInstance, e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	select {
	case e.slots <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	r.Add("run      %s at %s: %s %s", id, e.ID, req.Method, req.URL.Path)
	e.Work(w, id)
}
