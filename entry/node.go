// Package entry assembles an entry VM's process: the kernel with all services,
// the drivers that bind them to the outside, and the HTTP interfaces towards
// callers, operators and the other entry VMs.
//
// All entry VMs run the same process; none is set aside for control. The
// control lease decides which of them forms replicas.
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
	"github.com/tamarackcleat/tamarackcleat/calls"
	"github.com/tamarackcleat/tamarackcleat/config/static"
	"github.com/tamarackcleat/tamarackcleat/configuration"
	"github.com/tamarackcleat/tamarackcleat/controller"
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
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
	// headerTimeout ends the wait for a slow caller's header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes idle connections of callers.
	idleTimeout = 60 * time.Second
	// crashProbeTimeout ends the question whether an upstream crashed.
	crashProbeTimeout = time.Second
)

// Node is one entry VM's process.
type Node struct {
	id       record.NodeID
	settings static.Settings
	logger   *slog.Logger
	registry metrics.Registry

	kernel        *kernel.Node
	log           *logfollow.Service
	health        *health.Service
	peers         *peers.Service
	configuration *configuration.Service
	quarantine    *quarantine.Service

	upstream   *porthttp.Upstream
	peerClient *peerClient
	flights    *flights
	trials     *trials
	traces     *traces
	stats      *stats
	inForce    atomic.Pointer[configuration.Changed]
	draining   atomic.Bool
	drained    chan struct{}
}

// New assembles a node; nothing runs before Run.
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
		flights:    newFlights(),
		trials:     newTrials(),
		traces:     newTraces(id),
		drained:    make(chan struct{}),
	}
	n.stats = newStats(n.registry)
	n.kernel.OnUnhandled = func(what any) { n.logger.Error("unhandled message or effect", "what", what) }
	return n, n.assemble(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// assemble creates the services and lets them find each other.
func (n *Node) assemble(rng *rand.Rand) error {
	ledgers := logfollow.NewLedgers(configuration.Validate)
	n.log = logfollow.New(ledgers, rng, newID)
	holder := func() record.NodeID { return ledgers.Control.Lease().Holder }
	observes := func(now time.Time) bool { return holder() == n.id || !n.isLive(now, holder()) }
	n.health = health.New(n.id, n.nodeNames, observes, ledgers.Control, rng)
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
	})
	selection := router.New(router.Config{Node: string(n.id), Zone: n.settings.Zone, Rand: rng, Metrics: n.registry})
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
		&bridge{nodes: n.liveNodes, health: n.health, router: selection, pools: map[string]bool{}},
		&configSink{node: n},
		&drainSink{drained: n.drained},
	}
	for _, s := range services {
		if err := n.kernel.Register(s); err != nil {
			return errors.Wrap(err, "assembling the node")
		}
	}
	return nil
}

// subscribe connects the services that publish state with those that use it.
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

// liveNodes counts this node and its live peers.
func (n *Node) liveNodes(now time.Time) int { return 1 + len(n.peers.LivePeers(now)) }

// isLive reports whether a peer was heard of lately.
func (n *Node) isLive(now time.Time, id record.NodeID) bool {
	return slices.ContainsFunc(n.peers.LivePeers(now), func(p peers.Peer) bool { return p.Node == id })
}

// nodeNames lists this node and its live peers.
func (n *Node) nodeNames(now time.Time) []string {
	names := []string{string(n.id)}
	for _, p := range n.peers.LivePeers(now) {
		names = append(names, string(p.Node))
	}
	return names
}

// bind connects the services' effects to the outside.
func (n *Node) bind(ctx context.Context) {
	client := porthttp.NewHTTPClient()
	p := n.settings.Platform
	n.kernel.Bind(&logDriver{ctx: ctx, log: porthttp.NewLog(p.Log, client), post: n.kernel.Post})
	n.kernel.Bind(&healthDriver{
		ctx:       ctx,
		inventory: porthttp.NewInventory(p.VMs, p.Weights, client),
		upstream:  n.upstream,
		post:      n.kernel.Post,
	})
	n.kernel.Bind(&orderDriver{ctx: ctx, upstream: n.upstream, post: n.kernel.Post})
	n.kernel.Bind(&peerDriver{ctx: ctx, client: n.peerClient, post: n.kernel.Post})
	n.kernel.Bind(n.flights)
}

// Run serves until the context ends, then drains: the balancer is told first,
// requests in flight finish, and the control lease is handed over.
func (n *Node) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	n.bind(background)
	go n.kernel.Run(background)
	server := &http.Server{
		Handler:           n.handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.logger.Handler(), slog.LevelDebug),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	n.logger.Info("serving", "address", listener.Addr().String(), "zone", n.settings.Zone)
	select {
	case err := <-served:
		return errors.Wrap(err, "serving")
	case <-ctx.Done():
		return n.drain(server)
	}
}

// handler routes the HTTP interfaces.
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

// serveUnknown refuses paths and methods that are not served.
func (n *Node) serveUnknown(w http.ResponseWriter, r *http.Request) {
	id := newRequestID(n.id)
	w.Header().Set(api.HeaderRequestID, id)
	e := verdict.Refuse(verdict.ReasonBadRequest, "%s %.128s is not served", r.Method, r.URL.Path)
	n.stats.refused("", e)
	writeRefusal(w, id, e)
}

// serveMetrics answers GET /metrics.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(n.registry, w)
}

// suspectUpstream tells health checking that an upstream failed a request in a
// way that says it can't take others.
func (n *Node) suspectUpstream(id string, failure *verdict.Error) {
	switch failure.Reason {
	case verdict.ReasonConnect, verdict.ReasonUpstreamRefused, verdict.ReasonUpstreamLost:
		n.kernel.Post(health.Name, health.Suspected{Upstream: id})
	}
}

// hasCrashed reports whether an upstream whose stream broke has crashed: its
// process is gone, or no longer a member of the replica. An upstream that
// can't be reached at all has not shown a crash.
func (n *Node) hasCrashed(u balance.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	for {
		report, err := n.upstream.Report(ctx, u.Address)
		switch {
		case err == nil:
			return report.Replica != u.ID || report.Generation != u.Generation
		case ctx.Err() != nil:
			return false
		case verdict.FromError(err).Reason == verdict.ReasonConnect:
			return true
		}
		// A process that ends closes its connections before its port, so the
		// question may still have been taken and then cut.
		time.Sleep(crashProbeGap)
	}
}

// crashProbeGap is the time between two questions to a VM whose process may be
// ending just now; the end takes some milliseconds.
const crashProbeGap = 10 * time.Millisecond

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
