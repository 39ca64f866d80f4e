// Package vmlist is a stand-in for the platform's list of live and leaving VMs.
// A change becomes visible in the list only after a delay.
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
	// Lag is the delay after which a change becomes visible.
	Lag time.Duration
	// Clock gives the time that the lag is measured by.
	Clock func() time.Time
}

// DefaultSettings returns settings with a lag of two seconds.
func DefaultSettings() Settings {
	return Settings{Lag: 2 * time.Second, Clock: time.Now}
}

// ChangeVerb is the kind of a Change.
type ChangeVerb string

const (
	// Register adds a VM to the list or replaces its entry.
	Register ChangeVerb = "register"
	// Leave marks a VM as leaving.
	Leave ChangeVerb = "leaving"
	// Remove removes a VM from the list.
	Remove ChangeVerb = "remove"
)

// Change is a change of the list and the body of POST /v1/vms.
type Change struct {
	// Verb is the kind of the change.
	Verb ChangeVerb `json:"verb"`
	// VM is the new entry for Register; Leave and Remove need only its ID.
	VM port.VM `json:"vm"`
}

// Faults are the fault switches.
type Faults struct {
	// Outage makes reads of the list fail with status 503.
	Outage bool `json:"outage"`
	// Hang holds back the answers to reads of the list.
	Hang bool `json:"hang"`
	// Freeze keeps changes from becoming visible.
	Freeze bool `json:"freeze"`
}

// Service is the stand-in for the VM list. It is an http.Handler and safe for
// concurrent use.
type Service struct {
	// Faults are the fault switches.
	Faults *fault.Switches[Faults]

	settings Settings
	router   *mux.Router

	mu      sync.Mutex
	visible map[port.VMID]port.VM
	// pending holds the changes that are not visible yet, in the order in
	// which they were made.
	pending []pendingChange
}

// pendingChange is a change with the time from which it is visible.
type pendingChange struct {
	visibleAt time.Time
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
	s.router.HandleFunc("/v1/vms", s.serveList).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/vms", s.serveChange).Methods(http.MethodPost)
	s.router.Handle(fault.Path, s.Faults).Methods(http.MethodGet, http.MethodPost)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Apply makes a change, which becomes visible after the lag.
func (s *Service) Schedule(c Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, pendingChange{s.settings.Clock().Add(s.settings.Lag), c})
}

// VMs returns the visible list, sorted by id.
func (s *Service) VMs() []port.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDue(s.settings.Clock())
	vms := make([]port.VM, 0, len(s.visible))
	for _, vm := range s.visible {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b port.VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}

// applyDue applies the pending changes that are due at a time, unless Freeze is set.
// The caller holds mu.
func (s *Service) applyDue(now time.Time) {
	if s.Faults.Get().Freeze {
		return
	}
	for len(s.pending) > 0 && !s.pending[0].visibleAt.After(now) {
		s.apply(s.pending[0].Change)
		s.pending = s.pending[1:]
	}
}

// apply makes a change visible. The caller holds mu.
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

// serveList handles GET /v1/vms.
func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	if !s.Faults.WaitWhile(r.Context(), func(f Faults) bool { return f.Hang }) {
		return
	}
	if s.Faults.Get().Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	web.WriteWithETag(w, r, port.VMList{VMs: s.VMs()})
}

// serveChange handles POST /v1/vms.
func (s *Service) serveChange(w http.ResponseWriter, r *http.Request) {
	var c Change
	if !web.ReadJSON(w, r, &c) {
		return
	}
	known := c.Verb == Register || c.Verb == Leave || c.Verb == Remove
	if !known || c.VM.ID == "" {
		http.Error(w, "a change needs a verb and the id of a VM", http.StatusBadRequest)
		return
	}
	s.Schedule(c)
	web.WriteJSON(w, http.StatusOK, c)
}
