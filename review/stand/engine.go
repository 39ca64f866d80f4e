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
	Work func(w http.ResponseWriter, req *http.Request, id string)
	// Quiet leaves the runs out of the record.
	Quiet bool

	store  *standin.Store
	record *Record
	addr   string
	slots  chan struct{}
	stop   chan struct{}

	mu     sync.Mutex
	server *http.Server
	// down says that the process has ended.
	down bool
	runs map[string]int
}

// Start starts the engine on a free loopback port.
func (e *PlainEngine) Start(s *standin.Store, r *Record) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.store, e.record, e.addr, e.runs, e.stop = s, r, l.Addr().String(), map[string]int{}, make(chan struct{})
	e.slots = make(chan struct{}, e.Slots)
	e.serveOn(l)
	go e.register()
	return nil
}

func (e *PlainEngine) serveOn(l net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.mu.Lock()
	e.server, e.down = server, false
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

// Crash ends the engine's process: its connections are reset or closed, its port refuses,
// and it sends nothing more to the store. After a time it is back at its address under a
// new id. Crash does nothing if the process has ended already, and reports that by false.
func (e *PlainEngine) Crash(back time.Duration) bool {
	e.mu.Lock()
	server, was := e.server, e.down
	e.down = true
	e.mu.Unlock()
	if was {
		return false
	}
	_ = server.Close()
	e.record.Add("crash    %s", e.id())
	old := e.id()
	// The store drops the entry after three heartbeats of silence.
	time.AfterFunc(3*heartbeat, func() { e.store.Put("keyed.servers", old, nil) })
	time.AfterFunc(back, e.restart)
	return true
}

func (e *PlainEngine) restart() {
	select {
	case <-e.stop:
		return
	default:
	}
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		e.record.Add("an engine could not start again: %v", err)
		return
	}
	e.mu.Lock()
	e.ID += "b"
	e.mu.Unlock()
	e.serveOn(l)
	e.record.Add("back     %s", e.id())
}

func (e *PlainEngine) id() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ID
}

// Stop ends the engine.
func (e *PlainEngine) Stop() {
	close(e.stop)
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close()
}

// register writes the engine's entry, again and again, unless its process has ended.
func (e *PlainEngine) register() {
	born, last := map[string]int64{}, ""
	for n := 1; ; n++ {
		e.mu.Lock()
		id, down := e.ID, e.down
		e.mu.Unlock()
		if id != last {
			born[id], last, n = time.Now().UnixMilli(), id, 1
		}
		if !down {
			e.put(id, born[id], n)
		}
		select {
		case <-e.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *PlainEngine) put(id string, born int64, sequence int) {
	entry, err := json.Marshal(map[string]any{
		"service": e.Service, "address": e.addr, "zone": "kol-a", "version": "v1", "slots": e.Slots, "state": "ready",
		"coldRemainingMs": 0, "born": born, "sequence": sequence,
	})
	if err != nil {
		panic(err)
	}
	e.store.Put("keyed.servers", id, entry)
}

// Runs returns how often the engine has begun to work on a request.
func (e *PlainEngine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *PlainEngine) serve(w http.ResponseWriter, req *http.Request) {
	me := e.id()
	id := req.Header.Get(HeaderAttempt)
	if id != "" {
		w.Header().Set(HeaderAttempt, id)
	}
	if req.URL.Path == "/healthz" {
		w.Header().Set(headerInstance, me)
		return
	}
	if want := req.Header.Get(headerExpect); want != "" && want != me {
		w.Header().Set(headerInstance, me)
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
	if !e.Quiet {
		e.record.Add("run      %s at %s: %s %s, Last-Event-Id %q", id, me, req.Method, req.URL.Path, req.Header.Get("Last-Event-Id"))
	}
	e.Work(w, req, id)
}
