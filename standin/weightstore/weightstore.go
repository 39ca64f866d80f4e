// Package weightstore is a stand-in for the platform's weight store. All readers
// share its transfer rate: a reader reserves the transfer of a model's weights
// and gets the time until it ends, after all transfers that were reserved before.
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
	// List holds the models that the store serves and its transfer rate.
	ModelList port.ModelList
	// Clock gives the time of reservations.
	Clock func() time.Time
}

// Reservation is the answer to GET /v1/weights/{model}.
type Reservation struct {
	// WaitMillis is the time until the transfer ends, in milliseconds.
	WaitMillis int64 `json:"wait_ms"`
}

// Faults are the fault switches.
type Faults struct {
	// Outage makes reads of the models and reservations fail with status 503.
	Outage bool `json:"outage"`
	// SlowFactor divides the transfer rate if it is over 1.
	SlowFactor float64 `json:"slow_factor"`
}

// Service is the stand-in for the weight store. It is an http.Handler and safe for
// concurrent use.
type Service struct {
	// Faults are the fault switches.
	Faults *fault.Switches[Faults]

	settings Settings
	router   *mux.Router

	mu sync.Mutex
	// transfersEndAt is when the last reserved transfer ends.
	transfersEndAt time.Time
}

// New returns a weight store without reservations.
func New(settings Settings) *Service {
	s := &Service{
		Faults:   fault.New[Faults](),
		settings: settings,
		router:   mux.NewRouter(),
	}
	s.router.HandleFunc("/v1/models", s.serveModels).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/weights/{model}", s.serveReservation).Methods(http.MethodGet)
	s.router.Handle(fault.Path, s.Faults).Methods(http.MethodGet, http.MethodPost)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Reserve reserves the transfer of a number of bytes and returns the time until
// it ends.
func (s *Service) Reserve(bytes int64) time.Duration {
	rate := float64(s.settings.ModelList.BytesPerSecond) / max(1, s.Faults.Get().SlowFactor)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Clock()
	if s.transfersEndAt.Before(now) {
		s.transfersEndAt = now
	}
	s.transfersEndAt = s.transfersEndAt.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	return s.transfersEndAt.Sub(now)
}

// serveModels handles GET /v1/models.
func (s *Service) serveModels(w http.ResponseWriter, r *http.Request) {
	if s.Faults.Get().Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	web.WriteWithETag(w, r, s.settings.ModelList)
}

// serveReservation handles GET /v1/weights/{model}.
func (s *Service) serveReservation(w http.ResponseWriter, r *http.Request) {
	if s.Faults.Get().Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	name := mux.Vars(r)["model"]
	for _, m := range s.settings.ModelList.Models {
		if m.Name == name {
			web.WriteJSON(w, http.StatusOK, Reservation{WaitMillis: s.Reserve(m.WeightBytes).Milliseconds()})
			return
		}
	}
	http.Error(w, "unknown model", http.StatusNotFound)
}
