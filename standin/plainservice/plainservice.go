// Package plainservice is a stand-in for one VM of a plain service. It counts
// how often calls with each idempotency key took effect, so that tests detect
// lost and repeated calls.
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

// EffectsPath is the URL path at which the service returns Effects.
const EffectsPath = "/effects"

// Values of port.Refusal.Reason.
const (
	reasonLeaving  = "leaving"
	reasonNotReady = "not_ready"
)

// Settings of a plain service's VM.
type Settings struct {
	// VM is the id of the VM.
	VM port.VMID
	// Latency is how long a call takes.
	Latency time.Duration
	// Slots is the capacity, in concurrent calls, that the VM's reports contain.
	// It is not enforced.
	Slots int
	// Clock gives the time of reports.
	Clock func() time.Time
	// OnCrash is called when a fault switch crashes the VM. If it is nil or
	// returns, the connection of the call is closed and the VM gets a new boot
	// id.
	OnCrash func()
}

// DefaultSettings returns settings with a latency of 20 ms and 32 slots.
func DefaultSettings(vm port.VMID) Settings {
	return Settings{VM: vm, Latency: 20 * time.Millisecond, Slots: 32, Clock: time.Now}
}

// Faults are the fault switches. Each field that is a number of calls applies to
// that many of the next calls.
type Faults struct {
	// Pause holds back all calls and reports.
	Pause bool `json:"pause"`
	// SlowMillis is an extra delay of every call, in milliseconds.
	SlowMillis int `json:"slow_ms"`
	// LoseAnswers is the number of calls that take effect, but whose connections
	// are closed without an answer.
	LoseAnswers int `json:"lose_answers"`
	// HangAnswers is the number of calls that take effect, but get no answer
	// until their senders give up.
	HangAnswers int `json:"hang_answers"`
	// Endless is the part of the answers to calls that does not end.
	Endless fault.EndlessPart `json:"endless"`
	// RefuseNext is the number of calls that are refused as not run.
	RefuseNext int `json:"refuse_next"`
	// AnnounceLeaving makes all answers say that the VM is leaving, while it serves on
	// and its reports don't say so. A VM that leaves says so in any case.
	AnnounceLeaving bool `json:"announce_leaving"`
	// PauseMillis, if over 0, is the length in milliseconds of a pause that begins with
	// the next request: the VM refuses all requests in it and says for how long.
	PauseMillis int `json:"pause_ms"`
	// CrashBefore is the number of calls that crash the VM before they take effect.
	CrashBefore int `json:"crash_before"`
	// CrashAfter is the number of calls that crash the VM after they take effect.
	CrashAfter int `json:"crash_after"`
}

// Effects counts the effects of calls. It is the answer to GET /effects.
type Effects struct {
	// ByKey holds the number of effects of each idempotency key.
	ByKey map[string]int `json:"by_key"`
	// Unkeyed is the number of effects of calls without a key.
	Unkeyed int `json:"unkeyed"`
}

// Answer is the body of the answer to a call.
type Answer struct {
	// Effect is the number of effects of the call's key on this VM so far,
	// with this one; 1 for a call without a key.
	Effect int `json:"effect"`
	// VM is the id of the VM that ran the call.
	VM port.VMID `json:"vm"`
	// Request is the body of the call.
	Request json.RawMessage `json:"request"`
}

// Service is the stand-in for a VM of a plain service. It is an http.Handler and
// safe for concurrent use.
type Service struct {
	// Faults are the fault switches.
	Faults *fault.Switches[Faults]

	settings Settings
	router   *mux.Router
	notices  fault.Notices

	mu sync.Mutex
	// boot is the boot id in the VM's reports; a crash changes it.
	boot    string
	leaving bool
	// running is the number of calls in flight.
	running int
	// idle is closed when running becomes 0; nil unless Leave waits for it.
	idle    chan struct{}
	effects Effects
}

// New returns a VM of a plain service, without effects.
func New(settings Settings) *Service {
	s := &Service{
		Faults:   fault.New[Faults](),
		settings: settings,
		router:   mux.NewRouter(),
		boot:     uuid.NewString(),
		effects:  Effects{ByKey: map[string]int{}},
	}
	s.router.Handle(fault.Path, s.Faults).Methods(http.MethodGet, http.MethodPost)
	s.router.Handle(fault.NoticesPath, &s.notices).Methods(http.MethodGet)
	s.router.HandleFunc(EffectsPath, s.serveEffects).Methods(http.MethodGet)
	vmRoutes := s.router.NewRoute().Subrouter()
	vmRoutes.Use(s.holdWhilePaused, web.EchoAttempt, s.announce)
	vmRoutes.HandleFunc("/v1/report", s.serveReport).Methods(http.MethodGet)
	vmRoutes.HandleFunc("/v1/call", s.serveCall).Methods(http.MethodPost)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// holdWhilePaused holds requests back while Pause is set. Requests whose senders
// give up meanwhile have no effect.
func (s *Service) holdWhilePaused(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Faults.WaitWhile(r.Context(), func(f Faults) bool { return f.Pause }) {
			next.ServeHTTP(w, r)
		}
	})
}

// announce adds what the VM says of itself to the header of each answer.
func (s *Service) announce(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		boot, leaving := s.boot, s.leaving
		s.mu.Unlock()
		s.notices.Announce(w.Header(), boot, leaving || s.Faults.Get().AnnounceLeaving)
		next.ServeHTTP(w, r)
	})
}

// beginPause returns the length of a pause that begins now, 0 for none.
func (s *Service) beginPause() (d time.Duration) {
	s.Faults.Consume(func(f *Faults) bool {
		d, f.PauseMillis = time.Duration(f.PauseMillis)*time.Millisecond, 0
		return true
	})
	return d
}

// serveReport handles GET /v1/report.
func (s *Service) serveReport(w http.ResponseWriter, _ *http.Request) {
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

// serveCall handles POST /v1/call.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	var req port.CallRequest
	if !web.ReadJSON(w, r, &req) {
		return
	}
	if s.notices.Refuse(w, s.beginPause) {
		return
	}
	if !s.beginCall() {
		web.WriteRefusal(w, http.StatusServiceUnavailable, reasonLeaving)
		return
	}
	defer s.endCall()
	if s.consume(func(f *Faults) *int { return &f.RefuseNext }) {
		web.WriteRefusal(w, http.StatusServiceUnavailable, reasonNotReady)
		return
	}
	s.crashIfSet(func(f *Faults) *int { return &f.CrashBefore })
	// The call takes effect even if its sender has given up.
	fault.Sleep(context.WithoutCancel(r.Context()), s.latency())
	answer := s.recordEffect(req)
	s.crashIfSet(func(f *Faults) *int { return &f.CrashAfter })
	if s.consume(func(f *Faults) *int { return &f.HangAnswers }) {
		<-r.Context().Done()
	}
	if s.consume(func(f *Faults) *int { return &f.LoseAnswers }) {
		fault.AbortConnection()
	}
	if part := s.Faults.Get().Endless; part != "" {
		fault.ServeEndless(w, part, "")
		return
	}
	s.writeAnswer(w, req, answer)
}

// beginCall counts a new call. It returns false if the VM is leaving.
func (s *Service) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	s.running++
	return true
}

// endCall counts the end of a call, and wakes Leave after the last one.
func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// consume counts a fault switch down and reports whether it was above 0.
func (s *Service) consume(counter func(*Faults) *int) bool {
	return s.Faults.Consume(func(f *Faults) bool {
		n := counter(f)
		if *n <= 0 {
			return false
		}
		*n--
		return true
	})
}

// crashIfSet crashes the VM, and does not return, if a fault switch is above 0, which
// it counts down.
func (s *Service) crashIfSet(counter func(*Faults) *int) {
	if !s.consume(counter) {
		return
	}
	if s.settings.OnCrash != nil {
		s.settings.OnCrash()
	}
	s.mu.Lock()
	s.boot = uuid.NewString()
	s.mu.Unlock()
	fault.AbortConnection()
}

func (s *Service) latency() time.Duration {
	return s.settings.Latency + time.Duration(s.Faults.Get().SlowMillis)*time.Millisecond
}

// recordEffect counts the effect of a call and returns its answer.
func (s *Service) recordEffect(req port.CallRequest) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := Answer{VM: s.settings.VM, Request: req.Body, Effect: 1}
	if req.IdempotencyKey == "" {
		s.effects.Unkeyed++
		return answer
	}
	s.effects.ByKey[req.IdempotencyKey]++
	answer.Effect = s.effects.ByKey[req.IdempotencyKey]
	return answer
}

func (s *Service) writeAnswer(w http.ResponseWriter, req port.CallRequest, a Answer) {
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

// serveEffects handles GET /effects.
func (s *Service) serveEffects(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, s.Effects())
}

// Leave makes the VM refuse new calls. It returns once no call is in flight or the
// context has ended.
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
