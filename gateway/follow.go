package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

const (
	// configPause separates the reads of configurations in quick succession.
	configPause = 100 * time.Millisecond
	// vmPause collects the reports of all upstreams into few reads; bounds on
	// leaving upstreams are seconds. The holder of the control lease reads
	// more often, because each repair waits for two reports. Many nodes that
	// all read the log for themselves do so more rarely, within those bounds.
	vmPause       = 300 * time.Millisecond
	vmPauseMany   = time.Second
	vmPauseHolder = 30 * time.Millisecond
	// controlPause collects the records of nodes that start together, within 0.3 s
	// of each other; a claim of the lease is read back that much later.
	controlPause = 150 * time.Millisecond
	// ownLogWait is how long the log holds a read of a node that is not the
	// holder: between two holders, or at a start. The proof that such a node hands
	// on gets that old, which leaves room below what makes others read the log.
	ownLogWait = 800 * time.Millisecond
	// manyNodes is the number of nodes from which each that reads the log for
	// itself does so less often.
	manyNodes = 16
	// retryNodes is the number of nodes that may try an unreachable log as
	// often as one alone would: as many as tell each other directly (gossip).
	retryNodes = 8
	// relayHeaderTimeout bounds the wait for a peer's header.
	relayHeaderTimeout = time.Second
	// relayIdle closes peers' connections without polls.
	relayIdle = 10 * time.Second
)

// followed is a stream that the node keeps up to date.
type followed struct {
	stream *keyed.Stream
	pause  func() time.Duration
	failed func()
}

// Follow makes the node keep a stream up to date and hand it on to peers; it is
// called before Run. Pause returns the time between reads of the log that brought
// records, nil for none; failed is told of failed reads, and may be nil.
func (n *Node) Follow(s *keyed.Stream, pause func() time.Duration, failed func()) {
	n.followed = append(n.followed, followed{s, pause, failed})
}

// follow starts to read the streams, from the log or from a peer.
func (n *Node) follow(ctx context.Context) {
	var streams []*keyed.Stream
	for _, f := range n.followed {
		streams = append(streams, f.stream)
	}
	relayed := func(string) bool { return false }
	retryMost := func() time.Duration { return keyed.RetryMost }
	if n.peers != nil {
		go n.peers.Run(ctx)
		go n.serveRelay(ctx, streams)
		subscriber := relay.NewSubscriber(streams, n.source, n.logger)
		go subscriber.Run(ctx)
		relayed = subscriber.Serves
		retryMost = func() time.Duration { return n.retryMost(subscriber.Connected()) }
	}
	for _, f := range n.followed {
		follower := &keyed.Follower{
			Log: n.outside.Log, Stream: f.stream, Wait: n.logWait, Pause: f.pause, Logger: n.logger,
			Relayed: func() bool { return !n.isHolder() && relayed(f.stream.Name) },
			Failed:  func(err error) { n.readFailed(f, err) }, RetryMost: retryMost,
		}
		go follower.Run(ctx)
	}
}

// logWait returns how long the log may hold a read of this node.
func (n *Node) logWait() time.Duration {
	if n.isHolder() {
		return relay.LogWait
	}
	return ownLogWait
}

// ControlPause returns the pause between reads of the control stream. All nodes
// read it as they start, and each one's record there would end every read of all
// others.
func (n *Node) ControlPause() time.Duration {
	if n.isHolder() {
		return 0
	}
	return controlPause
}

// retryMost returns the longest pause between reads of the log that fail. A node
// that hears from the log through a peer, once the log is back, leaves most tries
// to others: in an outage all nodes would ask it otherwise.
func (n *Node) retryMost(connected bool) time.Duration {
	if !connected || n.isHolder() {
		return keyed.RetryMost
	}
	return keyed.RetryMost * time.Duration(max(1, n.peers.Live()/retryNodes))
}

// readFailed notes a failed read of the log.
func (n *Node) readFailed(f followed, err error) {
	n.count("log.read_failed")
	n.logger.Warn(decisions.LogReadFailed, "stream", f.stream.Name, "age_ms", f.stream.Age().Milliseconds(), "error", err)
	if f.failed != nil {
		f.failed()
	}
}

// source returns the peer that hands the streams on to this node.
func (n *Node) source() (relay.Peer, bool) {
	return relay.Source(n.Self(), n.peers.Peers(), n.holder())
}

// Yields reports whether larger nodes should hold the control lease.
func (n *Node) Yields() bool { return n.peers != nil && !relay.Largest(n.Self(), n.peers.Peers()) }

// serveRelay serves peers' polls of streams until the context ends. Peers
// read the log where this node can't listen.
func (n *Node) serveRelay(ctx context.Context, streams []*keyed.Stream) {
	l, err := net.Listen("tcp", n.PeerAddress().String())
	if err != nil {
		n.logger.Error(decisions.RelayFailed, "address", n.PeerAddress().String(), "error", err)
		return
	}
	server := &http.Server{
		Handler: relay.Handler(streams), ReadHeaderTimeout: relayHeaderTimeout, IdleTimeout: relayIdle, ErrorLog: n.httpErrors(),
	}
	context.AfterFunc(ctx, func() {
		// The process ends; peers ask another node.
		_ = server.Close()
	})
	if err := server.Serve(l); ctx.Err() == nil {
		n.logger.Error(decisions.RelayFailed, "address", n.PeerAddress().String(), "error", err)
	}
}

// isHolder reports whether this node reads the log for the others.
func (n *Node) isHolder() bool { return n.holder() == n.id }

// configPause returns the pause between reads of the configuration.
func (n *Node) configPause() time.Duration { return configPause }

// vmPause returns the pause between reads of the upstreams' reports.
func (n *Node) vmPause() time.Duration {
	switch {
	case n.isHolder():
		return vmPauseHolder
	case n.peers != nil && n.peers.Live() >= manyNodes:
		return vmPauseMany
	}
	return vmPause
}
