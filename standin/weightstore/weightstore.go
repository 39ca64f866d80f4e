// Package weightstore is a stand-in of the platform's weight store. All readers
// share its rate: a reader reserves the bytes of a model and is told how long
// the transfer takes with those reserved before it.
package weightstore

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
	"github.com/tamarackcleat/tamarackcleat/standin/web"
)

// Settings of a weight store.
type Settings struct {
	// List is what the store can serve and its rate.
	List port.ModelList
	// Clock is the time of reservations.
	Clock func() time.Time
}

// Reservation is the answer of GET /v1/weights/{model}.
type Reservation struct {
	// WaitMillis is the time until the weights have been transferred.
	WaitMillis int64 `json:"wait_ms"`
}

// Faults are the fault switches.
type Faults struct {
	// Outage refuses models and reservations.
	Outage bool `json:"outage"`
	// SlowFactor, when over 1, divides the rate.
	SlowFactor float64 `json:"slow_factor"`
}

// Service is the stand-in; it is an http.Handler.
type Service struct {
	// Faults are the fault switches.
	Faults *fault.Switches[Faults]

	settings Settings
	router   *mux.Router

	mu     sync.Mutex
	freeAt time.Time
}

// New returns a weight store without reservations.
func New(settings Settings) *Service {
	s := &Service{
		Faults:   fault.New[Faults](),
		settings: settings,
		router:   mux.NewRouter(),
	}
	s.router.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/weights/{model}", s.weights).Methods(http.MethodGet)
	s.router.Handle(fault.Path, s.Faults).Methods(http.MethodGet, http.MethodPost)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Reserve queues the transfer of a number of bytes and returns the time until
// it is done.
func (s *Service) Reserve(bytes int64) time.Duration {
	rate := float64(s.settings.List.BytesPerSecond) / max(1, s.Faults.Get().SlowFactor)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Clock()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	return s.freeAt.Sub(now)
}

func (s *Service) models(w http.ResponseWriter, r *http.Request) {
	if s.Faults.Get().Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	web.WriteTagged(w, r, s.settings.List)
}

func (s *Service) weights(w http.ResponseWriter, r *http.Request) {
	if s.Faults.Get().Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	name := mux.Vars(r)["model"]
	for _, m := range s.settings.List.Models {
		if m.Name == name {
			web.WriteJSON(w, http.StatusOK, Reservation{WaitMillis: s.Reserve(m.WeightBytes).Milliseconds()})
			return
		}
	}
	http.Error(w, "unknown model", http.StatusNotFound)
}
