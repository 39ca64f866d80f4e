// Package gateway is the data path of an entry VM on a platform whose
// upstreams report themselves in a keyed log: it takes callers' requests, sends
// them to upstreams and passes the answers on.
//
// The guarantees: a request that may not be repeated is sent again only after
// a proof that it did not run; a refusal that says so is never given to a
// request that may have run; an answer is passed on as complete only if the
// upstream's was; a key is honoured only while the configuration is proved to
// be current.
package gateway

import (
	"context"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/exchange"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/gossip"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/retry"
)

const (
	// dialUpstream bounds the time to connect to an upstream; connections
	// take a few milliseconds, and one lost packet costs 200 ms or more.
	dialUpstream = 400 * time.Millisecond
	// userTimeout gives up a connection whose bytes stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// watchEvery is how often upstreams are checked for silence.
	watchEvery = 50 * time.Millisecond
	// sweepEvery is how often idle connections are checked.
	sweepEvery = time.Second
	// maxHeader bounds a request's header before a configuration says more.
	maxHeader = 64 << 10
)

// Streams names the keyed streams of the log.
type Streams struct {
	// Config holds the configuration under ConfigKey, VMs the reports of
	// upstreams under their ids.
	Config, ConfigKey, VMs string
}

// Outside is what the node needs of the outside world.
type Outside struct {
	Protocol Protocol
	Decoder  Decoder
	Log      keyed.Log
	Streams  Streams
}

// idDigits is the number of digits that tell one process of a VM from another;
// ids are in each message between nodes.
const idDigits = 8

// Node is one entry VM's process.
type Node struct {
	id string
	// settings holds the settings in force; addresses stay those of the start.
	settings atomic.Pointer[Settings]
	outside  Outside
	logger   *slog.Logger
	registry metrics.Registry
	state    *state
	balancer *dispatch.Balancer
	pool     *exchange.Pool
	flights  *flights
	crashes  *crashes
	onSilent func(vm string)
	dead     func() []string
	ending   func() []string
	peers    *gossip.Gossip
	// followed holds the streams of the log, holder names the node that reads
	// them for the others.
	followed []followed
	holder   func() string
	// asked says that this node or a peer was asked by a caller.
	asked    atomic.Bool
	draining atomic.Bool
	// drainStart is when the process was told to stop.
	drainStart atomic.Pointer[time.Time]
	active     atomic.Int64

	timesMu sync.Mutex
	times   map[string]*hdrhistogram.Histogram

	budgetMu sync.Mutex
	budgets  map[string]*retry.Window
}

// New assembles a node; nothing runs before Run.
func New(s Settings, o Outside, logger *slog.Logger) *Node {
	n := &Node{
		id:       s.Node + "/" + uuid.NewString()[:idDigits],
		outside:  o,
		logger:   logger,
		registry: metrics.NewRegistry(),
		state:    newState(o.Decoder, o.Streams.ConfigKey, logger),
		balancer: dispatch.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		flights:  newFlights(),
		crashes:  newCrashes(),
		onSilent: func(string) {},
		dead:     func() []string { return nil },
		ending:   func() []string { return nil },
		holder:   func() string { return "" },
		budgets:  map[string]*retry.Window{},
		times:    map[string]*hdrhistogram.Histogram{},
	}
	n.settings.Store(&s)
	n.Follow(keyed.NewStream(o.Streams.Config, n.state.applyConfig), n.configPause, nil)
	n.Follow(keyed.NewStream(o.Streams.VMs, n.state.applyVMs), n.vmPause, n.state.readFailed)
	n.pool = exchange.NewPool(exchange.Options{
		DialTimeout: dialUpstream,
		UserTimeout: userTimeout,
		Opened:      func() { n.count("upstream.connections") },
	})
	return n
}

// View returns what the node believes now.
func (n *Node) View() *fleet.View { return n.state.View() }

// OnSilent calls f with the VM of an upstream that stands still; it is set
// before Run.
func (n *Node) OnSilent(f func(vm string)) { n.onSilent = f }

// count adds one to a counter.
func (n *Node) count(name string) { metrics.GetOrRegisterCounter(name, n.registry).Inc(1) }

// Holder tells the node the id of the holder of the control lease, which reads
// the log for the others; it is set before Run.
func (n *Node) Holder(f func() string) { n.holder = f }

// OnChange calls f when what the node believes has changed; f must not block. It
// is set before Run.
func (n *Node) OnChange(f func()) { n.state.changed = f }

// TellDead makes the node tell its peers of the VMs that f returns; it is set
// before Run.
func (n *Node) TellDead(f func() []string) { n.dead = f }

// TellClosing makes the node tell its peers of the replicas whose heads f
// returns: they are being ended and take no new requests. It is set before Run.
func (n *Node) TellClosing(f func() []string) { n.ending = f }

// Settings returns the settings in force.
func (n *Node) Settings() *Settings { return n.settings.Load() }

// Reload replaces the bounds; addresses stay those of the start.
func (n *Node) Reload(s Settings) {
	before := n.Settings()
	after := *before
	after.Bounds = s.Bounds
	n.settings.Store(&after)
	n.logger.Info(decisions.SettingsReloaded, "changed", before.Bounds != after.Bounds)
}

// ID returns the id of this process.
func (n *Node) ID() string { return n.id }

// Asked reports whether this node or a peer had a request of a caller.
func (n *Node) Asked() bool { return n.asked.Load() }

// Run serves until the context ends and then drains.
func (n *Node) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", n.Settings().ListenCaller)
	if err != nil {
		return errors.Wrap(err, "listening for callers")
	}
	ready, err := net.Listen("tcp", n.Settings().ListenReady)
	if err != nil {
		return errors.Wrap(err, "listening for the balancer")
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	n.follow(background)
	go n.watch(background)
	front := n.callerServer()
	health := &http.Server{Handler: n.readyHandler(), ErrorLog: n.httpErrors()}
	failed := make(chan error, 2)
	go func() { failed <- front.Serve(callers) }()
	go func() { failed <- health.Serve(ready) }()
	n.logger.Info(decisions.NodeStarted, "callers", n.Settings().ListenCaller, "zone", n.Settings().Zone)
	select {
	case err := <-failed:
		return errors.Wrap(err, "serving")
	case <-ctx.Done():
		n.drain()
		return nil
	}
}

// callerServer serves callers' requests.
func (n *Node) callerServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(n.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          n.httpErrors(),
	}
}

const (
	// headerTimeout ends the wait for a slow caller's header; it lies above
	// what configurations allow, which is checked besides.
	headerTimeout = 5 * time.Second
	// idleTimeout closes callers' idle connections; callers reuse them for
	// up to four fifths of the configured time, which lies below.
	idleTimeout = 60 * time.Second
)

// httpErrors takes what the HTTP server has to say of broken connections.
func (n *Node) httpErrors() *log.Logger {
	return slog.NewLogLogger(n.logger.Handler(), slog.LevelDebug)
}

// readyHandler answers the balancer.
func (n *Node) readyHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(n.outside.Protocol.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}).Methods(http.MethodGet)
	return r
}

// ready reports whether the balancer should send new connections.
func (n *Node) ready() bool {
	return !n.draining.Load() && n.state.View().Config != nil && !n.stale()
}

// stale reports whether keys may not be honoured for want of a proof that the
// configuration is current.
func (n *Node) stale() bool {
	return n.Settings().Bounds.Revoke > 0 && n.state.configAge() > n.Settings().Bounds.Revoke-revokeMargin
}

// revokeMargin is the time that a request may take between the check of its key
// and the upstream.
const revokeMargin = 300 * time.Millisecond

// watch looks for silent upstreams and idle connections.
func (n *Node) watch(ctx context.Context) {
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			n.cancelSilent(now)
			if now.Sub(swept) >= sweepEvery {
				swept = now
				n.pool.Sweep()
			}
		}
	}
}

const (
	// drainNotice is how long the balancer takes to see that the node is not
	// ready: two questions, a second apart, and one more.
	drainNotice = 2500 * time.Millisecond
	// drainShare is the part of the grace period after which the process
	// ends with requests still in flight.
	drainShare = 0.95
	// drainPoll is how often the end of the last request is looked for.
	drainPoll = 50 * time.Millisecond
)

// drainLimit is how long after SIGTERM the process ends at the latest.
func (n *Node) drainLimit() time.Duration {
	return time.Duration(drainShare * float64(n.Settings().Bounds.Grace))
}

// closing reports whether the process ends before an answer that may take this
// long.
func (n *Node) closing(needs time.Duration) bool {
	started := n.drainStart.Load()
	if started == nil {
		return false
	}
	at := time.Since(*started)
	return at > drainNotice && at+needs > n.drainLimit()
}

// drain waits until the balancer has taken the node out and requests in flight
// have ended.
func (n *Node) drain() {
	n.draining.Store(true)
	started := time.Now()
	n.logger.Info(decisions.NodeDraining, "in_flight", n.active.Load())
	n.drainStart.Store(&started)
	for time.Since(started) < n.drainLimit() {
		if time.Since(started) > drainNotice && n.active.Load() == 0 {
			break
		}
		time.Sleep(drainPoll)
	}
	n.logger.Info(decisions.NodeStopped, "in_flight", n.active.Load(), "after_ms", since(started))
}
