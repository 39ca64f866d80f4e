// Package engine is a stand-in for a model engine VM, for tests. It obeys the
// controller's orders to join and leave replicas, loads weights at the weight
// store's rate, batches requests continuously by priority and reports load
// figures that are Settings.LoadLag old. The text of an answer is a pure
// function of the request, so any two engines give the same answer.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
	"github.com/tamarackcleat/tamarackcleat/standin/web"
)

// Settings configures an engine VM.
type Settings struct {
	// VM names the VM.
	VM port.VMID
	// ChecksFencing makes the engine refuse an order whose generation is lower
	// than the highest that it has seen.
	ChecksFencing bool
	// Slots is the size of the continuous batch, in requests.
	Slots int
	// MaxQueue bounds the requests that wait for a slot.
	MaxQueue int
	// FirstTokenTime is the time to the first token of a short prompt.
	FirstTokenTime time.Duration
	// PrefillBlockTime is the time that each prompt block of
	// port.PrefixBlockBytes that is not cached adds to FirstTokenTime.
	PrefillBlockTime time.Duration
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// LocalLoadTime is the time to load weights that are on the VM already.
	LocalLoadTime time.Duration
	// WeightStore is the base URL of the weight store. If it is empty, the
	// weights of every model count as being on the VM.
	WeightStore string
	// LoadLag is the age of the counts of running and queued requests in a
	// report.
	LoadLag time.Duration
	// MaxCachedPrefixes bounds the number of cached prompt prefixes.
	MaxCachedPrefixes int
	// CacheLag is the time from a change of the cache until its event is
	// published.
	CacheLag time.Duration
	// MemberCheckInterval is the interval at which rank 0 checks the other
	// members of its replica; 0 disables the checks.
	MemberCheckInterval time.Duration
	// Clock returns the current time for load figures and cache events.
	Clock func() time.Time
	// OnCrash is called in place of a crash, for instance to end the
	// process. If it is nil, the VM loses its state and restarts within the
	// process.
	OnCrash func()
}

// DefaultSettings returns the settings of a fast engine that has a small batch and
// refuses orders with an old generation.
func DefaultSettings(vm port.VMID) Settings {
	return Settings{
		VM:                vm,
		ChecksFencing:     true,
		Slots:             8,
		MaxQueue:          64,
		FirstTokenTime:    30 * time.Millisecond,
		PrefillBlockTime:  2 * time.Millisecond,
		TokenInterval:     10 * time.Millisecond,
		LocalLoadTime:     200 * time.Millisecond,
		LoadLag:           500 * time.Millisecond,
		MaxCachedPrefixes: 512,
		CacheLag:          time.Second,
		Clock:             time.Now,
	}
}

// Service is an engine VM; it is an http.Handler.
type Service struct {
	// Faults holds the VM's fault switches.
	Faults *fault.Switches[Faults]

	settings    Settings
	upstream    *porthttp.Upstream
	router      *mux.Router
	batch       *batch
	cache       *cache
	loadHistory *loadHistory
	chunks      chunkCounter
	requests    requestSet
	notices     fault.Notices
	closed      context.Context
	close       context.CancelFunc

	mu     sync.Mutex
	boot   string
	member membership
}

// New returns an engine VM that is idle: it belongs to no replica.
func New(settings Settings) *Service {
	s := &Service{
		Faults:      fault.New[Faults](),
		settings:    settings,
		upstream:    porthttp.NewUpstream(nil),
		router:      mux.NewRouter(),
		batch:       newBatch(settings.Slots, settings.MaxQueue),
		cache:       newCache(settings.MaxCachedPrefixes, settings.CacheLag),
		loadHistory: newLoadHistory(settings.LoadLag),
		boot:        uuid.NewString(),
		member:      newMembership(),
	}
	s.closed, s.close = context.WithCancel(context.Background())
	s.routes()
	return s
}

// Close ends the engine's background work: loading, draining and checks of
// members.
func (s *Service) Close() { s.close() }

func (s *Service) routes() {
	s.router.Handle(fault.Path, s.Faults).Methods(http.MethodGet, http.MethodPost)
	s.router.Handle(fault.NoticesPath, &s.notices).Methods(http.MethodGet)
	work := s.router.NewRoute().Subrouter()
	work.Use(s.holdWhilePaused, web.EchoAttempt, s.announce)
	work.HandleFunc("/v1/report", s.handleReport).Methods(http.MethodGet)
	work.HandleFunc("/v1/order", s.handleOrder).Methods(http.MethodPost)
	work.HandleFunc("/v1/generate", s.handleGenerate).Methods(http.MethodPost)
	work.HandleFunc("/v1/cancel", s.handleCancel).Methods(http.MethodPost)
	work.HandleFunc("/v1/cache-events", s.handleCacheEvents).Methods(http.MethodGet)
	work.HandleFunc(groupLeavingPath, s.handleMemberLeaving).Methods(http.MethodPost)
	work.HandleFunc(groupRunningPath, s.handleRunningCount).Methods(http.MethodGet)
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// holdWhilePaused is a middleware that holds requests back while the VM is
// paused by a fault switch.
func (s *Service) holdWhilePaused(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.waitUnpaused(r.Context()) {
			next.ServeHTTP(w, r)
		}
	})
}

// announce is a middleware that adds what the VM says of itself to the header of each
// answer.
func (s *Service) announce(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		boot, leaving := s.boot, s.member.stopping
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

// waitUnpaused waits while the VM is paused. It returns false if the context
// ended first.
func (s *Service) waitUnpaused(ctx context.Context) bool {
	return s.Faults.WaitWhile(ctx, func(f Faults) bool { return f.Pause })
}

// sleep waits for d, multiplied by Faults.SlowFactor, and then while the VM is
// paused. It returns false if the context ended first.
func (s *Service) sleep(ctx context.Context, d time.Duration) bool {
	factor := max(1, s.Faults.Get().SlowFactor)
	return fault.Sleep(ctx, time.Duration(float64(d)*factor)) && s.waitUnpaused(ctx)
}

func (s *Service) handleReport(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, s.Report())
}

// Report returns the VM's current state with load figures that are
// Settings.LoadLag old.
func (s *Service) Report() port.Report {
	sample := s.loadHistory.lagged(s.settings.Clock())
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.member.report()
	report.VM = s.settings.VM
	report.Boot = s.boot
	report.Slots = s.settings.Slots
	report.Running = sample.running
	report.Queued = sample.queued
	report.LoadAt = sample.at.UnixMilli()
	return report
}

// recordLoad adds the current counts of running and queued requests to the load
// history.
func (s *Service) recordLoad() {
	running, queued := s.batch.counts()
	s.loadHistory.record(s.settings.Clock(), running, queued)
}

// Crash loses the VM's state as a crash of its process does. Without
// Settings.OnCrash the VM is back at once with a new boot identifier, in no
// replica, without weights, and with all requests cut off.
func (s *Service) Crash() {
	if s.settings.OnCrash != nil {
		s.settings.OnCrash()
		return
	}
	s.mu.Lock()
	s.boot = uuid.NewString()
	s.member = newMembership()
	s.mu.Unlock()
	s.cache.reset()
	s.requests.cancelAll(errCrashed)
}
