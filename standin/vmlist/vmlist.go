// Package vmlist is a stand-in of the platform's list of live and leaving VMs.
// The list lags: a change becomes visible only after a delay.
package vmlist

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
	"github.com/tamarackcleat/tamarackcleat/standin/web"
)

// Settings of a VM list.
type Settings struct {
	// Lag is the time until a change becomes visible.
	Lag time.Duration
	// Clock is the time by which changes become visible.
	Clock func() time.Time
}

// DefaultSettings returns the settings of a list that lags by two seconds.
func DefaultSettings() Settings {
	return Settings{Lag: 2 * time.Second, Clock: time.Now}
}

// ChangeVerb is what a Change does.
type ChangeVerb string

const (
	// Register adds a VM or replaces its line.
	Register ChangeVerb = "register"
	// Leave marks a VM as leaving.
	Leave ChangeVerb = "leaving"
	// Remove takes a VM off the list.
	Remove ChangeVerb = "remove"
)

// Change is the body of POST /v1/vms. Leave and Remove need only the VM's id.
type Change struct {
	// Verb is what to do.
	Verb ChangeVerb `json:"verb"`
	// VM is the line concerned.
	VM port.VM `json:"vm"`
}

// Faults are the fault switches.
type Faults struct {
	// Outage refuses reads of the list.
	Outage bool `json:"outage"`
	// Hang leaves reads without an answer.
	Hang bool `json:"hang"`
	// Freeze keeps changes from becoming visible.
	Freeze bool `json:"freeze"`
}

// Service is the stand-in; it is an http.Handler.
type Service struct {
	// Faults are the fault switches.
	Faults *fault.Switches[Faults]

	settings Settings
	router   *mux.Router

	mu      sync.Mutex
	visible map[port.VMID]port.VM
	pending []pendingChange
}

// pendingChange is a change that is not visible yet.
type pendingChange struct {
	at time.Time
	Change
}

// New returns an empty VM list.
func New(settings Settings) *Service {
	s := &Service{
		Faults:   fault.New[Faults](),
		settings: settings,
		router:   mux.NewRouter(),
		visible:  map[port.VMID]port.VM{},
	}
	s.router.HandleFunc("/v1/vms", s.list).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/vms", s.change).Methods(http.MethodPost)
	s.router.Handle(fault.Path, s.Faults).Methods(http.MethodGet, http.MethodPost)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Apply makes a change that becomes visible after the lag.
func (s *Service) Apply(c Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, pendingChange{s.settings.Clock().Add(s.settings.Lag), c})
}

// VMs returns the list as it is visible now, by id.
func (s *Service) VMs() []port.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(s.settings.Clock())
	vms := make([]port.VM, 0, len(s.visible))
	for _, vm := range s.visible {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b port.VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}

// publish makes the changes visible that are due.
func (s *Service) publish(now time.Time) {
	if s.Faults.Get().Freeze {
		return
	}
	for len(s.pending) > 0 && !s.pending[0].at.After(now) {
		s.apply(s.pending[0].Change)
		s.pending = s.pending[1:]
	}
}

func (s *Service) apply(c Change) {
	switch c.Verb {
	case Register:
		s.visible[c.VM.ID] = c.VM
	case Leave:
		if vm, ok := s.visible[c.VM.ID]; ok {
			vm.Leaving = true
			s.visible[c.VM.ID] = vm
		}
	case Remove:
		delete(s.visible, c.VM.ID)
	}
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	if !s.Faults.WaitWhile(r.Context(), func(f Faults) bool { return f.Hang }) {
		return
	}
	if s.Faults.Get().Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	web.WriteTagged(w, r, port.VMList{VMs: s.VMs()})
}

func (s *Service) change(w http.ResponseWriter, r *http.Request) {
	var c Change
	if !web.ReadJSON(w, r, &c) {
		return
	}
	known := c.Verb == Register || c.Verb == Leave || c.Verb == Remove
	if !known || c.VM.ID == "" {
		http.Error(w, "a change needs a verb and the id of a VM", http.StatusBadRequest)
		return
	}
	s.Apply(c)
	web.WriteJSON(w, http.StatusOK, c)
}
