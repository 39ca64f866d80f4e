// Package engine is a stand-in of a model engine VM. It obeys orders, loads
// weights through the weight store's rate, batches requests continuously by
// priority, streams answers whose text is a pure function of the request, and
// reports its load with a lag.
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

// Settings of an engine VM.
type Settings struct {
	// VM names the VM.
	VM port.VMID
	// ChecksFencing makes the engine refuse orders with an old generation.
	ChecksFencing bool
	// Slots is the size of the continuous batch.
	Slots int
	// MaxQueue bounds the requests that wait for a slot.
	MaxQueue int
	// FirstToken is the time to the first token of a short prompt.
	FirstToken time.Duration
	// PrefillBlock is the time per block of the prompt that is not cached.
	PrefillBlock time.Duration
	// BetweenTokens is the time between two tokens.
	BetweenTokens time.Duration
	// LoadHeld is the time to load weights that the VM holds.
	LoadHeld time.Duration
	// WeightStore is the base URL of the weight store; when empty, all
	// weights count as held.
	WeightStore string
	// LoadLag is the age of the load figures in a report.
	LoadLag time.Duration
	// CachePrefixes bounds the cached prompt prefixes.
	CachePrefixes int
	// CacheLag is the time until a cache event is published.
	CacheLag time.Duration
	// MemberCheck is the time between rank 0's checks of its members; 0
	// means that it never checks them.
	MemberCheck time.Duration
	// Clock is the time of load reports and cache events.
	Clock func() time.Time
	// OnCrash replaces the crash of the VM; nil means that the VM drops
	// everything and starts anew within the process.
	OnCrash func()
}

// DefaultSettings returns the settings of a fast engine with a small batch.
func DefaultSettings(vm port.VMID) Settings {
	return Settings{
		VM:            vm,
		ChecksFencing: true,
		Slots:         8,
		MaxQueue:      64,
		FirstToken:    30 * time.Millisecond,
		PrefillBlock:  2 * time.Millisecond,
		BetweenTokens: 10 * time.Millisecond,
		LoadHeld:      200 * time.Millisecond,
		LoadLag:       500 * time.Millisecond,
		CachePrefixes: 512,
		CacheLag:      time.Second,
		Clock:         time.Now,
	}
}

// Service is the stand-in; it is an http.Handler.
type Service struct {
	// Faults are the fault switches.
	Faults *fault.Switches[Faults]

	settings Settings
	upstream *porthttp.Upstream
	router   *mux.Router
	batch    *batch
	cache    *cache
	load     *loadHistory
	chunks   chunkCounter
	running  runningSet
	closed   context.Context
	close    context.CancelFunc

	mu     sync.Mutex
	boot   string
	member membership
}

// New returns an idle engine VM.
func New(settings Settings) *Service {
	s := &Service{
		Faults:   fault.New[Faults](),
		settings: settings,
		upstream: porthttp.NewUpstream(nil),
		router:   mux.NewRouter(),
		batch:    newBatch(settings.Slots, settings.MaxQueue),
		cache:    newCache(settings.CachePrefixes, settings.CacheLag),
		load:     newLoadHistory(settings.LoadLag),
		boot:     uuid.NewString(),
		member:   newMembership(),
	}
	s.closed, s.close = context.WithCancel(context.Background())
	s.routes()
	return s
}

// Close ends the engine's background work.
func (s *Service) Close() { s.close() }

func (s *Service) routes() {
	s.router.Handle(fault.Path, s.Faults).Methods(http.MethodGet, http.MethodPost)
	work := s.router.NewRoute().Subrouter()
	work.Use(s.pausable)
	work.HandleFunc("/v1/report", s.report).Methods(http.MethodGet)
	work.HandleFunc("/v1/order", s.order).Methods(http.MethodPost)
	work.HandleFunc("/v1/generate", s.generate).Methods(http.MethodPost)
	work.HandleFunc("/v1/cancel", s.cancel).Methods(http.MethodPost)
	work.HandleFunc("/v1/cache-events", s.cacheEvents).Methods(http.MethodGet)
	work.HandleFunc(groupLeavingPath, s.groupLeaving).Methods(http.MethodPost)
	work.HandleFunc(groupRunningPath, s.groupRunning).Methods(http.MethodGet)
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// pausable holds requests back while the VM is paused.
func (s *Service) pausable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.unpaused(r.Context()) {
			next.ServeHTTP(w, r)
		}
	})
}

// unpaused waits while the VM is paused. It returns false if the context ended
// first.
func (s *Service) unpaused(ctx context.Context) bool {
	return s.Faults.WaitWhile(ctx, func(f Faults) bool { return f.Pause })
}

// sleep waits for a time that the slow factor stretches.
func (s *Service) sleep(ctx context.Context, d time.Duration) bool {
	factor := max(1, s.Faults.Get().SlowFactor)
	return fault.Sleep(ctx, time.Duration(float64(d)*factor)) && s.unpaused(ctx)
}

func (s *Service) report(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, s.Report())
}

// Report returns the VM's report with its lagging load figures.
func (s *Service) Report() port.Report {
	sample := s.load.at(s.settings.Clock())
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

// noteLoad records the load as it is now.
func (s *Service) noteLoad() {
	running, queued := s.batch.counts()
	s.load.note(s.settings.Clock(), running, queued)
}

// Crash drops everything as a process that dies does. Without OnCrash the VM
// comes back at once with another boot and without weights.
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
	s.running.cutAll(errCrashed)
}
