// Package gateway is the data path of an entry VM: it accepts callers' requests,
// sends them to upstreams and relays the answers. The configuration and the
// upstreams' reports of themselves come from a log with keyed records.
//
// The package guarantees that
//   - a request that may not be repeated is sent again only if it is proved not
//     to have run;
//   - a refusal that says that the request has not run is never the answer to a
//     request that may have run;
//   - an answer is relayed as complete only if the upstream's answer was
//     complete;
//   - an API key is accepted only while the configuration is proved to be
//     current.
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

	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/callerlimit"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/drain"
	"github.com/tamarackcleat/tamarackcleat/exchange"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/gossip"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/quorum"
	"github.com/tamarackcleat/tamarackcleat/relay"
	"github.com/tamarackcleat/tamarackcleat/retry"
	"github.com/tamarackcleat/tamarackcleat/slowstart"
	"github.com/tamarackcleat/tamarackcleat/tunnel"
)

const (
	// upstreamDialTimeout bounds the time to connect to an upstream.
	// Connections take a few milliseconds, and one lost packet costs 200 ms or
	// more.
	upstreamDialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long bytes sent to an upstream may stay
	// unacknowledged before the connection is closed.
	tcpUserTimeout = 1500 * time.Millisecond
	// silenceCheckInterval is how often upstreams are checked for silence.
	silenceCheckInterval = 50 * time.Millisecond
	// poolSweepInterval is how often idle connections to upstreams are checked.
	poolSweepInterval = time.Second
	// maxHeaderBytes bounds the header of a caller's request. It does not depend
	// on the configuration, which a node may not have yet.
	maxHeaderBytes = 64 << 10
)

// Streams names the streams of the log that a node reads.
type Streams struct {
	// Config names the stream that holds the configuration under the key
	// ConfigKey. VMs names the stream that holds the upstreams' reports, each
	// under the id of its VM.
	Config, ConfigKey, VMs string
	// EvacuationPrefix begins the keys of the configuration's stream that name
	// evacuated zones; empty if there are none.
	EvacuationPrefix string
}

// Dependencies holds the dependencies of a node: the platform's protocol, the
// decoder of its records and its log.
type Dependencies struct {
	Protocol Protocol
	Decoder  Decoder
	Log      keyed.Log
	Streams  Streams
}

// processIDDigits is the length of the random part of a node's id, which tells
// apart the processes that run on one VM. It is short because each message
// between nodes holds ids.
const processIDDigits = 8

// Node is the gateway process of one entry VM.
type Node struct {
	id string
	// settings holds the settings in force. Reload replaces only the bounds.
	settings atomic.Pointer[Settings]
	deps     Dependencies
	logger   *slog.Logger
	registry metrics.Registry
	state    *state
	balancer *dispatch.Balancer
	pool     *exchange.Pool
	// answersMemory bounds the memory of the answers that are being received.
	answersMemory *bounded.Budget
	// callers counts what callers hold; nil before Run.
	callers         atomic.Pointer[callerlimit.Account]
	runningAttempts *attemptRegistry
	firstEvents     *firstEvents
	silence         *silenceRecord
	parts           *partTable
	pauseLines      *pauseLines
	callerTimeouts  *callerTimeouts
	onSilent        func(vm string)
	deadVMs         func() []string
	closingHeads    func() []string
	peers           *gossip.Gossip
	// configFetch governs the fetches of a configuration from peers.
	configFetch  configFetch
	configClient *relay.ConfigurationClient
	path         *upstreamPath
	tunnels      *tunnelChoice
	tunnelServer *tunnel.Server
	// followedStreams holds the streams of the log that the node keeps up to
	// date. holder returns the id of the node that holds the control lease and
	// reads the streams for the other nodes.
	followedStreams []followedStream
	holder          func() string
	// requestSeen says that this node or a peer has received a request from a
	// caller.
	requestSeen atomic.Bool
	draining    atomic.Bool
	// drainStart is when the process was told to stop; nil before that.
	drainStart atomic.Pointer[time.Time]
	inFlight   atomic.Int64
	// requestsEnd ends when the node ends the requests that are still in flight, by
	// endRequests.
	requestsEnd context.Context
	endRequests context.CancelFunc

	durationsMu sync.Mutex
	durations   map[string]*hdrhistogram.Histogram

	// nodesMu guards what the node knows of others: how many it sees, and its permits for
	// cold upstreams, which depend on them.
	nodesMu   sync.Mutex
	quorum    *quorum.Quorum
	coldStart *slowstart.Limiter
	// toldCold holds until when upstreams are cold that told this node so.
	toldCold map[fleet.Incarnation]time.Duration

	retryBudgetMu sync.Mutex
	retryBudgets  map[string]*retry.Window
}

// New returns a node. It starts nothing; Run does.
func New(s Settings, deps Dependencies, logger *slog.Logger) *Node {
	n := &Node{
		id:              s.Node + "/" + uuid.NewString()[:processIDDigits],
		deps:            deps,
		logger:          logger,
		registry:        metrics.NewRegistry(),
		state:           newState(deps.Decoder, deps.Streams, logger),
		balancer:        dispatch.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		runningAttempts: newAttemptRegistry(),
		firstEvents:     newFirstEvents(logger),
		silence:         newSilenceRecord(),
		pauseLines:      newPauseLines(),
		callerTimeouts:  newCallerTimeouts(),
		onSilent:        func(string) {},
		deadVMs:         func() []string { return nil },
		closingHeads:    func() []string { return nil },
		holder:          func() string { return "" },
		retryBudgets:    map[string]*retry.Window{},
		toldCold:        map[fleet.Incarnation]time.Duration{},
		durations:       map[string]*hdrhistogram.Histogram{},
		configClient:    relay.NewConfigurationClient(),
		answersMemory:   bounded.NewBudget(limitAnswersMemory, answersMemoryBytes),
		path:            newUpstreamPath(),
		tunnels:         newTunnelChoice(),
	}
	n.quorum = &quorum.Quorum{}
	n.coldStart = slowstart.New(s.Node, n.quorum)
	n.requestsEnd, n.endRequests = context.WithCancel(context.Background())
	n.parts = newPartTable(n.id)
	n.settings.Store(&s)
	if !n.PeerAddress().IsValid() {
		n.Registered()
	}
	n.OnChange(func() {})
	n.balancer.OnPlace(n.pauseLines.wakeFirst)
	n.state.count = n.count
	n.state.detailed = n.isHolder
	n.state.inUse = n.balancer.HasRequests
	n.Follow(keyed.NewStream(deps.Streams.Config, n.state.applyConfig), n.configPause, nil)
	n.Follow(keyed.NewStream(deps.Streams.VMs, n.state.applyVMs), n.vmPause, n.state.readFailed)
	n.pool = exchange.NewPool(exchange.Options{
		DialTimeout: upstreamDialTimeout,
		UserTimeout: tcpUserTimeout,
		MaxOpen:     n.maxOwnConnections,
		OnOpen:      func() { n.count("upstream.connections") },
		OnRead:      n.path.alive,
		DialContext: s.DialUpstream,
	})
	n.tunnelServer = n.newTunnelServer()
	return n
}

// View returns the node's current view of the configuration and the upstreams.
func (n *Node) View() *fleet.View { return n.state.View() }

// ReportsVerifiedAt returns the time, by the boot clock, at which the read was sent that
// proved the upstreams' reports in the view to be current.
func (n *Node) ReportsVerifiedAt() time.Duration {
	return time.Duration(n.state.vmsVerifiedAt.Load())
}

// OnSilent sets a function to call with the id of a VM whose upstream has stopped
// making progress. Call OnSilent before Run.
func (n *Node) OnSilent(f func(vm string)) { n.onSilent = f }

// count adds one to a counter.
func (n *Node) count(name string) { n.countMany(name, 1) }

// countMany adds a number to a counter.
func (n *Node) countMany(name string, by int64) {
	metrics.GetOrRegisterCounter(name, n.registry).Inc(by)
}

// SetLeaseHolder sets the function that returns the id of the node that holds the
// control lease; that node reads the log for the other nodes. Call SetLeaseHolder
// before Run.
func (n *Node) SetLeaseHolder(f func() string) { n.holder = f }

// OnChange sets a function to call when the node's view has changed; f must not
// block. Call OnChange before Run.
func (n *Node) OnChange(f func()) {
	n.state.changed = func() {
		n.pauseLines.wakeAll()
		f()
	}
}

// SetDeadVMs sets the function that returns the ids of VMs that don't answer
// probes; the node reports them to its peers. Call SetDeadVMs before Run.
func (n *Node) SetDeadVMs(f func() []string) { n.deadVMs = f }

// SetClosingHeads sets the function that returns the head VMs of replicas that
// are being ended and take no new requests; the node reports them to its peers.
// Call SetClosingHeads before Run.
func (n *Node) SetClosingHeads(f func() []string) { n.closingHeads = f }

// Settings returns the settings in force.
func (n *Node) Settings() *Settings { return n.settings.Load() }

// Reload replaces the bounds by those of s. All other settings, addresses
// included, keep the values that the node was started with.
func (n *Node) Reload(s Settings) {
	before := n.Settings()
	after := *before
	after.Bounds = s.Bounds
	n.settings.Store(&after)
	n.logger.Info(decisions.SettingsReloaded, "changed", before.Bounds != after.Bounds)
}

// ID returns the id of this node, which is unique to the process.
func (n *Node) ID() string { return n.id }

// RequestSeen reports whether this node or a peer has received a request from a
// caller.
func (n *Node) RequestSeen() bool { return n.requestSeen.Load() }

// Run serves callers and the load balancer's readiness probes until ctx ends, and
// then drains the node.
func (n *Node) Run(ctx context.Context) error {
	callerListener, err := net.Listen("tcp", n.Settings().ListenCaller)
	if err != nil {
		return errors.Wrap(err, "listening for callers")
	}
	readyListener, err := net.Listen("tcp", n.Settings().ListenReady)
	if err != nil {
		return errors.Wrap(err, "listening for the balancer")
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	n.follow(background)
	go n.watchUpstreams(background)
	callers := callerlimit.NewAccount(background, callerLimits(*n.Settings()), n.noteCallers("callers"))
	n.callers.Store(callers)
	server := n.newCallerServer()
	callerServer := drain.New(server, callers.Listen(callerListener))
	callers.Attach(server)
	readyServer := &http.Server{
		Handler: n.readyHandler(), ReadHeaderTimeout: callerHeaderTimeout, WriteTimeout: callerHeaderTimeout,
		IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: n.httpErrorLog(),
	}
	failed := make(chan error, 2)
	go func() { failed <- callerServer.Serve() }()
	go func() { failed <- n.ServeProbes(background, "readiness", readyServer, readyListener) }()
	n.logger.Info(decisions.NodeStarted, "callers", n.Settings().ListenCaller, "zone", n.Settings().Zone)
	select {
	case err := <-failed:
		return errors.Wrap(err, "serving")
	case <-ctx.Done():
		n.drain(callerServer)
		return nil
	}
}

// newCallerServer returns the HTTP server for callers' requests.
func (n *Node) newCallerServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(n.serve),
		ReadHeaderTimeout: callerHeaderTimeout,
		WriteTimeout:      defaultTimeout + writeGrace,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          n.httpErrorLog(),
	}
}

const (
	// callerHeaderTimeout bounds the time to read the header of a caller's
	// request. It is longer than any header timeout that a configuration sets.
	callerHeaderTimeout = 5 * time.Second
	// callerIdleTimeout is how long an idle connection of a caller stays open.
	// Callers reuse a connection for up to four fifths of the configured idle
	// time, which is shorter than callerIdleTimeout.
	callerIdleTimeout = 60 * time.Second
	// writeGrace is how long after its deadline the answer to a request may still be
	// written. A caller that reads nothing then loses its connection.
	writeGrace = 2 * time.Second
)

// httpErrorLog returns a logger for the errors of HTTP servers, such as broken
// connections. It logs them at debug level.
func (n *Node) httpErrorLog() *log.Logger {
	return slog.NewLogLogger(n.logger.Handler(), slog.LevelDebug)
}

// readyHandler returns the handler of the load balancer's readiness probes.
func (n *Node) readyHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(n.deps.Protocol.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}).Methods(http.MethodGet)
	return r
}

// ready reports whether the load balancer should send new connections to this
// node.
func (n *Node) ready() bool {
	return !n.draining.Load() && n.state.View().Config != nil && !n.tooOldForKeys(n.state.configAge()) && !n.cutOff()
}

// tooOldForKeys reports whether API keys must not be accepted because the proof that the
// configuration is current has the given age.
func (n *Node) tooOldForKeys(age time.Duration) bool {
	return n.Settings().Bounds.RevocationTime > 0 && age > n.Settings().Bounds.RevocationTime-arrivalMargin
}

// arrivalMargin is the time that may pass between the check of a request's API key, or of
// its upstream's zone, and the arrival of the request at an upstream.
const arrivalMargin = 300 * time.Millisecond

// watchUpstreams checks for silent upstreams and for idle connections until ctx
// ends.
func (n *Node) watchUpstreams(ctx context.Context) {
	t := time.NewTicker(silenceCheckInterval)
	defer t.Stop()
	lastSweep := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			n.moveFromSilent(now)
			n.recheckPath()
			if now.Sub(lastSweep) >= poolSweepInterval {
				lastSweep = now
				n.observeNodes()
				n.pool.CloseExpired()
				n.expireNotices(now)
			}
		}
	}
}

const (
	// drainNoticeTime is how long the load balancer takes to notice that the
	// node is not ready: it probes once a second and needs two failed probes;
	// the rest allows for one more probe.
	drainNoticeTime = 2500 * time.Millisecond
	// drainGraceShare is the part of the grace period after which the requests still
	// in flight are ended, and finalGraceShare that after which the process ends even
	// if their answers have not been written.
	drainGraceShare = 0.95
	finalGraceShare = 0.97
	// drainPollInterval is how often a draining node checks whether the last
	// request has ended.
	drainPollInterval = 50 * time.Millisecond
	// firstRequestWait is how long an accepted connection may take to send its first
	// request after the listener was closed. Callers send it at once.
	firstRequestWait = 500 * time.Millisecond
)

// drainLimit returns the longest time from SIGTERM until requests in flight are ended.
func (n *Node) drainLimit() time.Duration { return n.graceShare(drainGraceShare) }

func (n *Node) graceShare(share float64) time.Duration {
	return time.Duration(share * float64(n.Settings().Bounds.ShutdownGrace))
}

// cannotFinish reports whether the node is draining and ends its requests before the time
// at which a request ends at the latest. It returns false until the load balancer has had
// time to notice that the node is not ready.
func (n *Node) cannotFinish(latestEnd time.Time) bool {
	started := n.drainStart.Load()
	return started != nil && time.Since(*started) > drainNoticeTime && latestEnd.After(started.Add(n.drainLimit()))
}

// drain marks the node as not ready and waits until the load balancer has noticed and
// no request is in flight, or until too little time is left for further requests. Then
// it closes the listener and the idle connections and waits for the requests of the
// connections that were accepted before that. Those that are in flight at drainLimit are
// ended; the ones whose answer has not begun get an answer that says so.
func (n *Node) drain(server *drain.Server) {
	n.draining.Store(true)
	started := time.Now()
	n.logger.Info(decisions.NodeDraining, "in_flight", n.inFlight.Load())
	n.drainStart.Store(&started)
	endRequests := time.AfterFunc(n.drainLimit(), n.endRequests)
	defer endRequests.Stop()
	busy := func() bool { return n.inFlight.Load()+n.tunnelServer.Open() > 0 }
	for time.Since(started) < min(drainNoticeTime, n.drainLimit()) || busy() && !n.cannotFinish(time.Now().Add(streamAnswerTime)) {
		time.Sleep(drainPollInterval)
	}
	n.callers.Load().Stop()
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(n.graceShare(finalGraceShare)))
	defer cancel()
	if err := server.Shutdown(ctx, firstRequestWait); err != nil {
		n.logger.Warn(decisions.NodeCutRequests, "in_flight", n.inFlight.Load(), "error", err)
	}
	for n.tunnelServer.Open() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	n.logger.Info(decisions.NodeStopped, "in_flight", n.inFlight.Load(), "after_ms", millisSince(started))
}
