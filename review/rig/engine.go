package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerAttempt     = "X-Tamarackcleat-Attempt-Id"
	headerStamp       = "X-Tamarackcleat-Server-Stamp"
	headerNotExecuted = "X-Tamarackcleat-Not-Executed"
	headerExpect      = "X-Tamarackcleat-Expect-Instance"
	headerInstance    = "X-Tamarackcleat-Instance-Id"
	headerLastEvent   = "Last-Event-Id"

	heartbeat = 1200 * time.Millisecond
	joinTime  = 200 * time.Millisecond
	openTime  = 300 * time.Millisecond
	// stallCheck is the time between two checks whether a group is complete.
	stallCheck = 50 * time.Millisecond
)

// Fleet is a store and the engines of a deployment.
type Fleet struct {
	Store  *Store
	Record *Record

	mu      sync.Mutex
	engines map[string]*Engine
	runs    map[string][]Run
}

// Run is one execution of a request.
type Run struct {
	Engine string
	At     time.Time
}

// NewFleet starts a store without engines.
func NewFleet(r *Record) (*Fleet, error) {
	store, err := NewStore()
	if err != nil {
		return nil, err
	}
	return &Fleet{Store: store, Record: r, engines: map[string]*Engine{}, runs: map[string][]Run{}}, nil
}

// PutConfig writes the operator's configuration.
func (f *Fleet) PutConfig(body []byte) { f.Store.Put("keyed.op", "config", body) }

// Close ends all engines and the store.
func (f *Fleet) Close() {
	f.mu.Lock()
	var engines []*Engine
	for _, e := range f.engines {
		engines = append(engines, e)
	}
	f.mu.Unlock()
	for _, e := range engines {
		if e.crashed {
			continue
		}
		close(e.done)
		// The process ends soon, so an error is irrelevant.
		_ = e.server.Close()
	}
	f.Store.Close()
}

// Runs returns the executions of the request with an id.
func (f *Fleet) Runs(id string) []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.runs[id])
}

// OpenGroups returns how many groups are open.
func (f *Fleet) OpenGroups() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		if e.group != nil && e.group.State == "open" {
			n++
		}
	}
	return n
}

// group is an engine's membership of a group, as engines report it.
type group struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// Engine is an engine. A model engine forms groups with the others of its domain; one
// without a domain serves a plain service.
type Engine struct {
	ID      string
	fleet   *Fleet
	service string
	domain  string
	address string
	server  *http.Server
	done    chan struct{}
	born    int64
	// answer writes the answer to a request.
	answer func(w http.ResponseWriter, r *http.Request, id string, after int)

	// The mutex of the fleet guards the fields below.

	group    *group
	members  []string
	model    string
	sequence int64
	fence    int64
	active   int
	// stalledSince is since when the group that the engine heads lacks a member; zero
	// if it lacks none.
	stalledSince time.Time
	crashed      bool
	// slow is the factor by which the engine's work takes longer; 0 stands for 1.
	slow    float64
	control controlFault
}

// SetSlow makes the engine's work take longer by a factor.
func (e *Engine) SetSlow(x float64) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.slow = x
}

// Pace returns the factor by which the work of the group that the engine heads takes
// longer: that of its slowest member.
func (e *Engine) Pace() float64 {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	pace := 1.0
	for _, id := range e.members {
		pace = max(pace, e.fleet.engines[id].slow)
	}
	return pace
}

// controlFault is what is wrong with an engine's answers to leave orders.
type controlFault struct {
	// lateBy is how long after its arrival a leave order is carried out, without an
	// answer; 0 for at once.
	lateBy time.Duration
	// copies says that the last answer on the connection is sent once more when a late
	// order arrives.
	copies bool
	// answers holds the last answer on each connection, by the address of the caller.
	answers map[string][]byte
}

// SpoilLeave makes the engine carry out leave orders late and without an answer. With
// copies it sends the last answer on the connection once more when such an order arrives.
func (e *Engine) SpoilLeave(lateBy time.Duration, copies bool) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.control.lateBy, e.control.copies = lateBy, copies
}

// Crash ends the engine for good. Its entry is removed after three heartbeats.
func (e *Engine) Crash() {
	e.fleet.mu.Lock()
	e.crashed, e.group, e.members = true, nil, nil
	e.fleet.mu.Unlock()
	close(e.done)
	// The engine is gone, so an error is irrelevant.
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() { e.fleet.Store.Put("keyed.servers", e.ID, nil) })
}

// OpenGroupMembers returns the members, head first, of each open group.
func (f *Fleet) OpenGroupMembers() [][]*Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out [][]*Engine
	for _, e := range f.engines {
		if e.group == nil || e.group.State != "open" {
			continue
		}
		var members []*Engine
		for _, id := range e.members {
			members = append(members, f.engines[id])
		}
		out = append(out, members)
	}
	return out
}

// Progressing reports whether the group that the engine heads is complete.
func (e *Engine) Progressing() bool {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.group != nil && e.complete()
}

// complete reports whether all members of the group that the engine heads are in it.
func (e *Engine) complete() bool {
	for _, id := range e.members {
		m := e.fleet.engines[id]
		if m.crashed || m.group == nil || m.group.Name != e.group.Name || m.group.Epoch != e.group.Epoch {
			return false
		}
	}
	return true
}

// checkStall marks the group that the engine heads as broken if it has lacked a member
// for StallTime.
func (e *Engine) checkStall(now time.Time) {
	if e.group == nil || e.group.Rank != 0 || e.group.State != "open" && e.group.State != "closing" || e.complete() {
		e.stalledSince = time.Time{}
		return
	}
	if e.stalledSince.IsZero() {
		e.stalledSince = now
	}
	if now.Sub(e.stalledSince) >= StallTime {
		e.group.State = "broken"
		e.fleet.Record.Add("%s, the head of %s, is broken", e.ID, e.group.Name)
		e.publish()
	}
}

// checkJoin records a violation of the rule TWO.
func (e *Engine) checkJoin(o order) {
	if e.group == nil || len(e.members) == 0 || e.group.Name == o.Group {
		return
	}
	head := e.fleet.engines[e.members[0]]
	if head.crashed || head.group == nil || head.group.Name != e.group.Name || head.group.Epoch != e.group.Epoch {
		return
	}
	if state := head.group.State; state == "open" || state == "closing" {
		e.fleet.Record.Violation("TWO: %s takes a join of %s while %s, the head of its group %s, is %s and not broken", e.ID, o.Group, head.ID, e.group.Name, state)
	}
}

// AddEngine starts an engine whose answers are written by answer; of a stream, the events
// after the one with the number after. Without a domain it serves a plain service.
func (f *Fleet) AddEngine(id, service, domain string, answer func(w http.ResponseWriter, r *http.Request, id string, after int)) (*Engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{
		ID: id, fleet: f, service: service, domain: domain, address: l.Addr().String(), answer: answer,
		done: make(chan struct{}), born: time.Now().UnixMilli(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/tamarackcleat/order", e.handleOrder)
	mux.HandleFunc("/tamarackcleat/report", e.handleReport)
	mux.HandleFunc("/", e.handleRequest)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	// The error says that the server was closed.
	go func() { _ = e.server.Serve(l) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[id] = e
	e.publish()
	go e.beat()
	return e, nil
}

// beat writes the engine's entry at each heartbeat and checks its group.
func (e *Engine) beat() {
	t := time.NewTicker(stallCheck)
	defer t.Stop()
	var published time.Time
	for {
		select {
		case <-e.done:
			return
		case now := <-t.C:
			e.fleet.mu.Lock()
			e.checkStall(now)
			if now.Sub(published) >= heartbeat {
				published = now
				e.publish()
			}
			e.fleet.mu.Unlock()
		}
	}
}

func (e *Engine) state() map[string]any {
	s := map[string]any{"born": e.born, "sequence": e.sequence, "models": []any{}, "staged": []string{}}
	if e.model != "" {
		s["models"] = []any{map[string]any{"name": e.model, "version": 1, "adapters": []string{}}}
		s["staged"] = []string{e.model}
	}
	if e.group != nil {
		s["group"] = *e.group
	}
	return s
}

func (e *Engine) publish() {
	if e.crashed {
		return
	}
	s := e.state()
	for name, value := range map[string]any{
		"service": e.service, "address": e.address, "zone": "zone-plateau", "version": "v1", "slots": 26, "state": "ready",
		"coldRemainingMs": 0,
	} {
		s[name] = value
	}
	if e.domain != "" {
		s["domain"], s["stage"] = e.domain, "both"
	}
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	e.fleet.Store.Put("keyed.servers", e.ID, data)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write needs no handling: the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func (e *Engine) handleReport(w http.ResponseWriter, r *http.Request) {
	e.fleet.mu.Lock()
	s := e.state()
	for name, value := range map[string]any{
		"stage": "both", "busy": false, "queued": 0, "active": e.active, "kvUsed": 0, "kvTotal": 2470000, "handles": 0, "pace": max(1, e.slow),
	} {
		s[name] = value
	}
	body, err := json.Marshal(s)
	e.noteAnswer(r, http.StatusOK, body)
	e.fleet.mu.Unlock()
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write needs no handling: the caller has disconnected.
	_, _ = w.Write(body)
}

// order is the body of an order.
type order struct {
	Op       string   `json:"op"`
	Group    string   `json:"group"`
	Epoch    int64    `json:"epoch"`
	Model    string   `json:"model"`
	Members  []string `json:"members"`
	Fence    *int64   `json:"fence"`
	Expected *int64   `json:"expected"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expect := r.Header.Get(headerExpect); expect != "" && expect != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.fleet.mu.Lock()
	if o.Op == "leave" && e.control.lateBy > 0 {
		e.answerLate(w, r, o)
		e.fleet.mu.Unlock()
		return
	}
	status := e.execute(o)
	e.noteAnswer(r, status, nil)
	e.fleet.Record.Add("%s %s %s answered %d", e.ID, o.Op, o.Group, status)
	e.fleet.mu.Unlock()
	w.WriteHeader(status)
}

// noteAnswer notes the last answer on a connection.
func (e *Engine) noteAnswer(r *http.Request, status int, body []byte) {
	if e.control.answers == nil {
		e.control.answers = map[string][]byte{}
	}
	e.control.answers[r.RemoteAddr] = fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), len(body), body)
}

// answerLate closes the connection without an answer to an order and carries the order out
// later.
func (e *Engine) answerLate(w http.ResponseWriter, r *http.Request, o order) {
	var answer []byte
	if e.control.copies {
		answer = e.control.answers[r.RemoteAddr]
	}
	e.fleet.Record.Add("%s %s %s gets no answer, is carried out later; bytes of the last answer come again: %d", e.ID, o.Op, o.Group, len(answer))
	time.AfterFunc(e.control.lateBy, func() {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		e.fleet.Record.Add("%s %s %s carried out late: %d", e.ID, o.Op, o.Group, e.execute(o))
	})
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	// The caller may have disconnected.
	_, _ = conn.Write(answer)
	_ = conn.Close()
}

// execute carries out an order and returns the status of the response.
func (e *Engine) execute(o order) int {
	if o.Fence != nil {
		if *o.Fence < e.fence {
			return http.StatusPreconditionFailed
		}
		e.fence = *o.Fence
	}
	current := e.group != nil && e.group.Name == o.Group && e.group.Epoch == o.Epoch
	switch {
	case o.Op == "join" && current && !slices.Equal(e.members, o.Members), o.Op == "join" && e.group != nil && o.Epoch < e.group.Epoch:
		return http.StatusPreconditionFailed
	case o.Op == "join" && current, o.Op == "leave" && e.group == nil, o.Op == "stage" && e.model == o.Model:
		return http.StatusOK
	case o.Expected != nil && *o.Expected != e.sequence:
		return http.StatusConflict
	}
	switch o.Op {
	case "join":
		e.checkJoin(o)
		e.group = &group{o.Group, o.Epoch, slices.Index(o.Members, e.ID), "joining"}
		e.members, e.model = o.Members, o.Model
		e.later(joinTime, e.group, "joining", "ready")
	case "open":
		if !current || e.group.State != "ready" {
			return http.StatusConflict
		}
		e.later(openTime, e.group, "ready", "open")
	case "close":
		if !current {
			return http.StatusConflict
		}
		e.group.State = "ready"
	case "leave":
		if !current {
			return http.StatusConflict
		}
		e.group, e.members = nil, nil
	case "stage":
		e.model = o.Model
	default:
		return http.StatusBadRequest
	}
	e.sequence++
	e.publish()
	return http.StatusAccepted
}

// later changes the state of a membership after a time, if it is still in another one.
func (e *Engine) later(d time.Duration, g *group, from, to string) {
	time.AfterFunc(d, func() {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		if e.group == g && g.State == from {
			g.State = to
			e.publish()
		}
	})
}

func (e *Engine) handleRequest(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	w.Header().Set(headerInstance, e.ID)
	if r.Header.Get(headerExpect) != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.fleet.mu.Lock()
	switch {
	case e.domain == "":
	case e.group != nil && e.group.Rank != 0:
		e.fleet.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case e.group == nil || e.group.State != "open":
		e.fleet.mu.Unlock()
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.fleet.runs[id] = append(e.fleet.runs[id], Run{e.ID, time.Now()})
	e.active++
	e.fleet.mu.Unlock()
	defer func() {
		e.fleet.mu.Lock()
		e.active--
		e.fleet.mu.Unlock()
	}()
	w.Header().Set(headerStamp, "stamp-"+e.ID)
	if e.domain != "" {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	// Without a valid event id the stream starts at the first event.
	after, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	e.fleet.Record.Add("%s runs %s after event %d tenant %s", e.ID, id, after, r.Header.Get("X-Tamarackcleat-Tenant"))
	e.answer(w, r, id, after)
}

// Event returns the nth event of the stream that answers a request; n counts from 1.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id) }

// EventNumbers returns the numbers of the pieces in the body of a stream, as their data
// names them.
func EventNumbers(id, body string) []int {
	var out []int
	for line := range strings.SplitSeq(body, "\n") {
		if rest, ok := strings.CutPrefix(line, "data: piece "); ok {
			text, _, _ := strings.Cut(rest, " of "+id)
			n, err := strconv.Atoi(text)
			if err != nil {
				n = -1
			}
			out = append(out, n)
		}
	}
	return out
}
