// Package plainservice is a stand-in of a plain service's VM. It counts how
// often each key took effect, so that tests can tell a lost call from a doubled
// one.
package plainservice

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
	"github.com/tamarackcleat/tamarackcleat/standin/web"
)

// EffectsPath is where the service tells the effects that it had.
const EffectsPath = "/effects"

// Values of port.Refusal.Reason.
const (
	refusedLeaving = "leaving"
	refusedFault   = "not_ready"
)

// Settings of a plain service's VM.
type Settings struct {
	// VM names the VM.
	VM port.VMID
	// Latency is the time that a call takes.
	Latency time.Duration
	// Slots is the number of calls that the report names as capacity.
	Slots int
	// Clock is the time of load reports.
	Clock func() time.Time
	// OnCrash replaces the crash of the VM; nil means that the VM cuts its
	// connections and comes back with another boot.
	OnCrash func()
}

// DefaultSettings returns the settings of a fast service.
func DefaultSettings(vm port.VMID) Settings {
	return Settings{VM: vm, Latency: 20 * time.Millisecond, Slots: 32, Clock: time.Now}
}

// Faults are the fault switches. The counts are of coming calls.
type Faults struct {
	// Pause freezes the VM.
	Pause bool `json:"pause"`
	// SlowMillis delays every call.
	SlowMillis int `json:"slow_ms"`
	// LoseAnswers calls take effect and then lose their connection.
	LoseAnswers int `json:"lose_answers"`
	// HangAnswers calls take effect and are never answered.
	HangAnswers int `json:"hang_answers"`
	// RefuseNext calls are refused as not run.
	RefuseNext int `json:"refuse_next"`
	// CrashBefore calls crash the VM before their effect.
	CrashBefore int `json:"crash_before"`
	// CrashAfter calls crash the VM after their effect.
	CrashAfter int `json:"crash_after"`
}

// Effects is the answer of GET /effects.
type Effects struct {
	// ByKey counts the effects of each key.
	ByKey map[string]int `json:"by_key"`
	// Unkeyed counts the effects of calls without a key.
	Unkeyed int `json:"unkeyed"`
}

// Answer is the body of an answered call.
type Answer struct {
	// Effect is the number of the key's effects on this VM so far.
	Effect int `json:"effect"`
	// VM ran the call.
	VM port.VMID `json:"vm"`
	// Request is the caller's body once more.
	Request json.RawMessage `json:"request"`
}

// Service is the stand-in; it is an http.Handler.
type Service struct {
	// Faults are the fault switches.
	Faults *fault.Switches[Faults]

	settings Settings
	router   *mux.Router

	mu      sync.Mutex
	boot    string
	leaving bool
	running int
	idle    chan struct{}
	effects Effects
}

// New returns a plain service's VM without effects.
func New(settings Settings) *Service {
	s := &Service{
		Faults:   fault.New[Faults](),
		settings: settings,
		router:   mux.NewRouter(),
		boot:     uuid.NewString(),
		effects:  Effects{ByKey: map[string]int{}},
	}
	s.router.Handle(fault.Path, s.Faults).Methods(http.MethodGet, http.MethodPost)
	s.router.HandleFunc(EffectsPath, s.serveEffects).Methods(http.MethodGet)
	work := s.router.NewRoute().Subrouter()
	work.Use(s.pausable)
	work.HandleFunc("/v1/report", s.report).Methods(http.MethodGet)
	work.HandleFunc("/v1/call", s.call).Methods(http.MethodPost)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// pausable holds requests back while the VM is paused.
func (s *Service) pausable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Faults.WaitWhile(r.Context(), func(f Faults) bool { return f.Pause }) {
			next.ServeHTTP(w, r)
		}
	})
}

func (s *Service) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := port.EngineReady
	if s.leaving {
		state = port.EngineLeaving
	}
	web.WriteJSON(w, http.StatusOK, port.Report{
		VM:      s.settings.VM,
		Boot:    s.boot,
		State:   state,
		Running: s.running,
		Slots:   s.settings.Slots,
		LoadAt:  s.settings.Clock().UnixMilli(),
	})
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	var req port.CallRequest
	if !web.ReadJSON(w, r, &req) {
		return
	}
	if !s.enter() {
		web.Refuse(w, http.StatusServiceUnavailable, refusedLeaving)
		return
	}
	defer s.leave()
	if s.take(func(f *Faults) *int { return &f.RefuseNext }) {
		web.Refuse(w, http.StatusServiceUnavailable, refusedFault)
		return
	}
	s.crashIf(func(f *Faults) *int { return &f.CrashBefore })
	// The effect does not depend on whether the sender still waits.
	fault.Sleep(context.WithoutCancel(r.Context()), s.latency())
	answer := s.effect(req)
	s.crashIf(func(f *Faults) *int { return &f.CrashAfter })
	if s.take(func(f *Faults) *int { return &f.HangAnswers }) {
		<-r.Context().Done()
	}
	if s.take(func(f *Faults) *int { return &f.LoseAnswers }) {
		fault.Cut()
	}
	s.answer(w, req, answer)
}

// enter registers a call unless the VM is leaving.
func (s *Service) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	s.running++
	return true
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// take counts a switch down and reports whether it was on.
func (s *Service) take(counter func(*Faults) *int) bool {
	return s.Faults.Take(func(f *Faults) bool {
		n := counter(f)
		if *n <= 0 {
			return false
		}
		*n--
		return true
	})
}

// crashIf crashes the VM if a switch is on; it does not return then.
func (s *Service) crashIf(counter func(*Faults) *int) {
	if !s.take(counter) {
		return
	}
	if s.settings.OnCrash != nil {
		s.settings.OnCrash()
	}
	s.mu.Lock()
	s.boot = uuid.NewString()
	s.mu.Unlock()
	fault.Cut()
}

func (s *Service) latency() time.Duration {
	return s.settings.Latency + time.Duration(s.Faults.Get().SlowMillis)*time.Millisecond
}

// effect counts the effect of a call.
func (s *Service) effect(req port.CallRequest) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := Answer{VM: s.settings.VM, Request: req.Body, Effect: 1}
	if req.Key == "" {
		s.effects.Unkeyed++
		return answer
	}
	s.effects.ByKey[req.Key]++
	answer.Effect = s.effects.ByKey[req.Key]
	return answer
}

func (s *Service) answer(w http.ResponseWriter, req port.CallRequest, a Answer) {
	body, err := json.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	web.WriteJSON(w, http.StatusOK, port.CallResponse{RequestID: req.RequestID, Body: body})
}

// Effects returns a copy of the effects so far.
func (s *Service) Effects() Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Effects{ByKey: map[string]int{}, Unkeyed: s.effects.Unkeyed}
	for key, n := range s.effects.ByKey {
		out.ByKey[key] = n
	}
	return out
}

func (s *Service) serveEffects(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, s.Effects())
}

// Leave makes the VM refuse new calls and returns once none is in flight.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	idle := make(chan struct{})
	if s.running == 0 {
		close(idle)
	} else {
		s.idle = idle
	}
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
