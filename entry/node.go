// Package entry implements the process of an entry VM: the kernel, an event loop
// that runs all services, the drivers that perform the services' I/O, and the HTTP
// interfaces for callers, operators and the other entry VMs.
//
// All entry VMs run the same process; none is dedicated to control. The node
// that holds the control lease forms the replicas.
package entry

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/admission"
	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/callerlimit"
	"github.com/tamarackcleat/tamarackcleat/calls"
	"github.com/tamarackcleat/tamarackcleat/config/static"
	"github.com/tamarackcleat/tamarackcleat/configuration"
	"github.com/tamarackcleat/tamarackcleat/controller"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/drain"
	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/peers"
	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/quarantine"
	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/retry"
	"github.com/tamarackcleat/tamarackcleat/router"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 16 << 10
	// headerTimeout limits the time to read a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may be idle.
	idleTimeout = 60 * time.Second
	// crashProbeTimeout limits the time that hasCrashed probes an upstream.
	crashProbeTimeout = time.Second
)

// Node is one entry VM's process.
type Node struct {
	id       record.NodeID
	settings static.Settings
	logger   *slog.Logger
	registry metrics.Registry
	// callers counts what callers, operators and other entry VMs hold; nil before Run.
	callers *callerlimit.Account

	kernel        *kernel.Node
	log           *logfollow.Service
	health        *health.Service
	peers         *peers.Service
	configuration *configuration.Service
	quarantine    *quarantine.Service

	upstream   *porthttp.Upstream
	listener   *listener
	peerClient *peerClient
	streams    *streamRegistry
	trials     *trials
	traces     *traces
	stats      *stats
	inForce    atomic.Pointer[configuration.Changed]
	draining   atomic.Bool
	drained    chan struct{}
}

// New creates a node with its services. Nothing runs before Run. It returns an
// error if a service can't be registered with the kernel.
func New(settings static.Settings, logger *slog.Logger) (*Node, error) {
	id := newNodeID()
	n := &Node{
		id:         id,
		settings:   settings,
		logger:     logger.With("node", string(id)),
		registry:   metrics.NewRegistry(),
		kernel:     kernel.NewNode(time.Now),
		upstream:   porthttp.NewUpstream(nil),
		peerClient: &peerClient{client: porthttp.NewHTTPClient()},
		streams:    newStreamRegistry(),
		trials:     newTrials(),
		traces:     newTraces(id),
		drained:    make(chan struct{}),
	}
	n.stats = newStats(n.registry)
	n.listener = &listener{post: n.kernel.Post, stats: n.stats, logger: n.logger}
	n.kernel.OnUnhandled = func(what any) { n.logger.Error("unhandled message or effect", "what", what) }
	return n, n.assemble(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// assemble creates the services, subscribes them to each other and registers
// them with the kernel.
func (n *Node) assemble(rng *rand.Rand) error {
	ledgers := logfollow.NewLedgers(configuration.Validate)
	n.log = logfollow.New(ledgers, rng, newID)
	holder := func() record.NodeID { return ledgers.Control.Lease().Holder }
	// mayControl reports whether this node holds the control lease or may claim it.
	mayControl := func(now time.Time) bool { return holder() == n.id || !n.isLive(now, holder()) }
	n.health = health.New(n.id, n.nodeNames, mayControl, ledgers.Control, rng)
	n.health.Logger = n.logger
	n.peers = peers.New(n.settings.Advertise, n, n.log, n.health, holder, rng)
	n.configuration = configuration.New(n.log)
	n.quarantine = quarantine.New(n.id, n.log, n.isLive, newID)
	control := controller.New(controller.Settings{
		Node:    n.id,
		Control: ledgers.Control,
		Log:     n.log,
		Policy:  placement.DefaultPolicy(),
		Rand:    rng,
		NewID:   newID,
		Metrics: n.registry,
		Logger:  n.logger,
	})
	selection := router.New(router.Config{Node: string(n.id), Zone: n.settings.Zone, Rand: rng, Metrics: n.registry, Logger: n.logger})
	n.subscribe()
	services := []kernel.Service{
		n.log,
		n.health,
		n.peers,
		n.configuration,
		n.quarantine,
		control,
		calls.New(n.id, n.log, n.isLive, newID),
		selection,
		admission.New(n.registry),
		retry.NewService(retry.NewPolicy(rng, retry.DefaultBudgetConfig(), n.registry)),
		&bridge{liveNodes: n.liveNodes, health: n.health, router: selection, knownPools: map[string]bool{}},
		&configSink{node: n},
		&drainSink{drained: n.drained},
	}
	for _, s := range services {
		if err := n.kernel.Register(s); err != nil {
			return errors.Wrap(err, "registering a service with the kernel")
		}
	}
	return nil
}

// subscribe subscribes each service to the log streams and state changes that
// it uses.
func (n *Node) subscribe() {
	n.log.Subscribe(record.StreamConfig, configuration.Name)
	n.log.Subscribe(record.StreamControl, controller.Name)
	n.log.Subscribe(record.StreamSuspects, quarantine.Name)
	for _, stream := range calls.Streams() {
		n.log.Subscribe(stream, calls.Name)
	}
	n.health.Subscribe(bridgeName)
	n.health.Observe(controller.Name)
	n.configuration.Subscribe(bridgeName)
	n.configuration.Subscribe(controller.Name)
	n.configuration.Subscribe((&configSink{}).Name())
}

// liveNodes returns the number of live nodes, this one included.
func (n *Node) liveNodes(now time.Time) int { return 1 + len(n.peers.LivePeers(now)) }

// isLive reports whether a node is a live peer, that is, whether a heartbeat of
// it arrived within peers.LivenessTimeout.
func (n *Node) isLive(now time.Time, id record.NodeID) bool {
	return slices.ContainsFunc(n.peers.LivePeers(now), func(p peers.Peer) bool { return p.Node == id })
}

// nodeNames returns the ids of this node and its live peers.
func (n *Node) nodeNames(now time.Time) []string {
	names := []string{string(n.id)}
	for _, p := range n.peers.LivePeers(now) {
		names = append(names, string(p.Node))
	}
	return names
}

// bind registers the drivers that perform the services' effects. Their I/O is
// canceled when ctx ends.
func (n *Node) bind(ctx context.Context) {
	client := porthttp.NewHTTPClient()
	p := n.settings.Platform
	inventory := porthttp.NewInventory(p.VMs, p.Weights, client)
	inventory.Logger = n.logger
	n.kernel.Bind(&logDriver{ctx: ctx, log: porthttp.NewLog(p.Log, client), post: n.kernel.Post})
	n.kernel.Bind(&healthDriver{
		ctx:       ctx,
		inventory: inventory,
		upstream:  n.upstream,
		listener:  n.listener,
		post:      n.kernel.Post,
	})
	n.kernel.Bind(&orderDriver{ctx: ctx, upstream: n.upstream, listener: n.listener, post: n.kernel.Post})
	n.kernel.Bind(&peerDriver{ctx: ctx, client: n.peerClient, post: n.kernel.Post})
	n.kernel.Bind(n.streams)
}

// Run serves until ctx ends and then shuts down: the node first reports to the
// load balancer that it is not ready, requests in flight finish, and the control
// lease is given up. It returns an error if listening, serving or the shutdown of
// the HTTP server fails.
func (n *Node) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	n.bind(background)
	go n.kernel.Run(background)
	n.callers = callerlimit.NewAccount(background, callerLimits(n.settings.Limits), n.noteCallers)
	httpServer := &http.Server{
		Handler:           n.handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.logger.Handler(), slog.LevelDebug),
	}
	server := drain.New(httpServer, n.callers.Listen(listener))
	n.callers.Attach(httpServer)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	n.logger.Info("serving", "address", listener.Addr().String(), "zone", n.settings.Zone)
	select {
	case err := <-served:
		return errors.Wrap(err, "serving")
	case <-ctx.Done():
		return n.shutDown(server)
	}
}

// handler returns the router of the HTTP interfaces.
func (n *Node) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", n.serveChat).Methods(http.MethodPost)
	r.HandleFunc("/v1/calls/{class}", n.serveCall).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", n.serveModels).Methods(http.MethodGet)
	r.HandleFunc(api.PathConfig, n.serveConfig).Methods(http.MethodGet)
	r.HandleFunc(api.PathConfig, n.servePublish).Methods(http.MethodPost)
	r.HandleFunc(api.PathStatus, n.serveStatus).Methods(http.MethodGet)
	r.HandleFunc(api.PathRequests+"{id}", n.serveExplain).Methods(http.MethodGet)
	r.HandleFunc(api.PathHeartbeat, n.serveHeartbeat).Methods(http.MethodPost)
	r.HandleFunc(api.PathSnapshot, n.serveSnapshots).Methods(http.MethodGet)
	r.HandleFunc("/healthz", n.serveHealthz).Methods(http.MethodGet)
	r.HandleFunc("/readyz", n.serveReadyz).Methods(http.MethodGet)
	r.HandleFunc("/metrics", n.serveMetrics).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(n.serveUnknown)
	r.MethodNotAllowedHandler = http.HandlerFunc(n.serveUnknown)
	return r
}

// serveUnknown refuses requests for unknown paths and unsupported methods.
func (n *Node) serveUnknown(w http.ResponseWriter, r *http.Request) {
	id := newRequestID(n.id)
	w.Header().Set(api.HeaderRequestID, id)
	e := verdict.Refuse(verdict.ReasonBadRequest, "%s %.128s is not served", r.Method, r.URL.Path)
	n.stats.countRefused("", e)
	writeFailure(w, id, e)
}

// serveMetrics handles GET /metrics.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(n.registry, w)
}

// suspectUpstream reports an upstream to health checking if it failed a request
// for a reason that would also fail other requests: no connection, a refusal or
// a lost connection.
func (n *Node) suspectUpstream(id string, failure *verdict.Error) {
	switch failure.Reason {
	case verdict.ReasonConnect, verdict.ReasonUpstreamRefused, verdict.ReasonUpstreamLost:
		n.kernel.Post(health.Name, health.Suspected{Upstream: id})
	}
}

// hasCrashed reports whether an upstream whose stream broke crashed, and logs the
// finding.
func (n *Node) hasCrashed(u balance.Upstream) bool {
	began := time.Now()
	crashed, probes, err := n.probeForCrash(u)
	n.logger.Info(decisions.UpstreamProbed, "upstream", u.ID, "generation", u.Generation, "crashed", crashed,
		"probes", probes, "took_ms", time.Since(began).Milliseconds(), "error", err)
	return crashed
}

// probeForCrash probes an upstream and reports whether it crashed: no connection to
// its process can be opened, or the process reports another replica or generation.
// It reports false if there is no result within crashProbeTimeout, because silence
// does not prove a crash. It also returns the number of probes and the error of the
// last one.
func (n *Node) probeForCrash(u balance.Upstream) (crashed bool, probes int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	for probes = 1; ; probes++ {
		report, err := n.upstream.Report(n.listener.listen(ctx, u.Process), u.Address)
		switch {
		case err == nil:
			return report.Replica != u.ID || report.Generation != u.Generation, probes, nil
		case ctx.Err() != nil:
			return false, probes, err
		case verdict.FromError(err).Reason == verdict.ReasonConnect:
			return true, probes, err
		}
		// A process that is ending closes its connections before its port, so it
		// may have accepted the probe's connection and then cut it.
		time.Sleep(crashProbeInterval)
	}
}

// crashProbeInterval is the time between two probes of a VM whose process may be
// ending, which takes some milliseconds.
const crashProbeInterval = 10 * time.Millisecond

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
