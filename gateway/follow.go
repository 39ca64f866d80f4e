package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/relay"
	"github.com/tamarackcleat/tamarackcleat/tunnel"
)

const (
	// configPause is the pause between reads of the configuration that brought
	// records, so that several changes in quick succession need few reads.
	configPause = 100 * time.Millisecond
	// vmPause is the pause between reads that brought reports of upstreams, so that
	// the reports of all upstreams need few reads. Nodes have seconds to stop using
	// an upstream that reports that it is leaving (see Bounds.DrainTime).
	// vmPauseHolder applies to the holder of the control lease, because each repair
	// of a replica waits for two reports. vmPauseMany applies to the other nodes
	// where there are many, in case all of them read the log themselves; it is
	// still shorter than the time for leaving upstreams.
	vmPause       = 300 * time.Millisecond
	vmPauseMany   = time.Second
	vmPauseHolder = 30 * time.Millisecond
	// controlPause is the pause between reads of the control stream that brought
	// records. Nodes that start together append their records within 0.3 s of each
	// other, and the pause lets one read return several of them. Its cost is that
	// it delays the read that confirms a claim of the lease.
	controlPause = 150 * time.Millisecond
	// nonHolderReadWait is how long the log may hold a read of a node that does not
	// hold the control lease. Such a node reads the log at its start and while no
	// node holds the lease. The copy of the log that it relays to its peers may be
	// stale by as much; peers read the log themselves only at a greater staleness.
	nonHolderReadWait = 800 * time.Millisecond
	// manyNodes is the number of live peers at and above which a node that does not
	// hold the control lease pauses for vmPauseMany instead of vmPause.
	manyNodes = 16
	// retryNodes is the number of nodes up to which each node retries an
	// unreachable log as often as a single node would. It is the number of nodes
	// that exchange messages directly (see package gossip).
	retryNodes = 8
	// relayHeaderTimeout bounds the time to read the header of a peer's poll.
	relayHeaderTimeout = time.Second
	// relayIdleTimeout is how long a peer's connection stays open without a poll.
	relayIdleTimeout = 10 * time.Second
)

// followedStream is a stream of the log that the node keeps up to date.
type followedStream struct {
	stream *keyed.Stream
	pause  func() time.Duration
	failed func()
}

// Follow makes the node keep a stream up to date and serve it to its peers. After a
// read of the log that brought records the node waits for the time that pause
// returns, or not at all if pause is nil. If failed is not nil it is called after each
// failed read. Call Follow before Run.
func (n *Node) Follow(s *keyed.Stream, pause func() time.Duration, failed func()) {
	n.followedStreams = append(n.followedStreams, followedStream{s, pause, failed})
}

// follow starts to read the streams, from the log or from a peer, until ctx ends.
func (n *Node) follow(ctx context.Context) {
	var streams []*keyed.Stream
	for _, f := range n.followedStreams {
		streams = append(streams, f.stream)
	}
	relayed := func(string) bool { return false }
	maxRetryDelay := func() time.Duration { return keyed.MaxRetryDelay }
	if n.peers != nil {
		go n.peers.Run(ctx)
		go n.serveRelay(ctx, streams)
		subscriber := relay.NewSubscriber(streams, n.relaySource, n.logger)
		go subscriber.Run(ctx)
		relayed = subscriber.Relayed
		maxRetryDelay = func() time.Duration { return n.maxRetryDelay(subscriber.Connected()) }
	}
	for _, f := range n.followedStreams {
		follower := &keyed.Follower{
			Log: n.deps.Log, Stream: f.stream, ReadWait: n.readWait, BatchDelay: f.pause, Logger: n.logger,
			Relayed: func() bool { return !n.isHolder() && relayed(f.stream.Name) },
			OnError: func(err error) { n.readFailed(f, err) }, MaxRetryDelay: maxRetryDelay,
		}
		go follower.Run(ctx)
	}
}

// readWait returns how long the log may hold a read of this node that brings no
// records.
func (n *Node) readWait() time.Duration {
	if n.isHolder() {
		return relay.LogReadWait
	}
	return nonHolderReadWait
}

// ControlPause returns the pause between reads of the control stream. All nodes read
// the stream as they start; without a pause the record that each of them appends would
// end a read of every other node.
func (n *Node) ControlPause() time.Duration {
	if n.isHolder() {
		return 0
	}
	return controlPause
}

// maxRetryDelay returns the longest delay after a failed read of the log. A node that
// is connected to a peer which relays the streams gets the records through that peer
// once the log is back, so it retries less often than others. Otherwise all nodes
// would retry at the full rate during an outage of the log.
func (n *Node) maxRetryDelay(connected bool) time.Duration {
	if !connected || n.isHolder() {
		return keyed.MaxRetryDelay
	}
	return keyed.MaxRetryDelay * time.Duration(max(1, n.peers.LiveCount()/retryNodes))
}

// RecordEra logs and counts that the log shows a later era, and makes the node read all streams
// anew; before is 0 if the log showed none before.
func (n *Node) RecordEra(era, before int64) {
	for _, f := range n.followedStreams {
		f.stream.RecordEra(era)
	}
	n.count("log.eras")
	n.logger.Info(decisions.LogEra, "era", era, "before", before)
}

// readFailed logs and counts a failed read of a stream.
func (n *Node) readFailed(f followedStream, err error) {
	n.count("log.read_failed")
	next, _ := f.stream.Next()
	n.logger.Warn(decisions.LogReadFailed, "stream", f.stream.Name, "next", next.Offset, "era", next.Era, "age_ms", f.stream.Staleness().Milliseconds(), "error", err)
	if f.failed != nil {
		f.failed()
	}
}

// relaySource returns the peer that relays the streams to this node; false if the
// node reads the log itself.
func (n *Node) relaySource() (relay.Peer, bool) {
	return relay.Source(n.Self(), n.peers.Peers(), n.holder())
}

// Yields reports whether this node should give up the control lease because a
// reachable node has more processor cores.
func (n *Node) Yields() bool { return n.peers != nil && !relay.Largest(n.Self(), n.peers.Peers()) }

// serveRelay serves peers' polls for the streams until ctx ends. If this node can't
// listen, its peers read the log themselves.
func (n *Node) serveRelay(ctx context.Context, streams []*keyed.Stream) {
	l, err := net.Listen("tcp", n.PeerAddress().String())
	if err != nil {
		n.logger.Error(decisions.RelayFailed, "address", n.PeerAddress().String(), "error", err)
		return
	}
	server := &http.Server{
		Handler: n.peerHandler(streams), ReadHeaderTimeout: relayHeaderTimeout, IdleTimeout: relayIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: n.httpErrorLog(),
	}
	context.AfterFunc(ctx, func() {
		// The process ends and its peers poll another node, so an error in
		// closing the server is irrelevant.
		_ = server.Close()
	})
	if err := n.serveLimited(ctx, "peers", peerLimits(*n.Settings()), server, l); ctx.Err() == nil {
		n.logger.Error(decisions.RelayFailed, "address", n.PeerAddress().String(), "error", err)
	}
}

// peerHandler returns the handler of what peers ask this node for.
func (n *Node) peerHandler(streams []*keyed.Stream) http.Handler {
	r := mux.NewRouter()
	r.Handle(tunnel.Path, n.tunnelServer).Methods(http.MethodGet)
	r.Handle(tunnel.PausePath, tunnel.PauseHandler(n.pausedForPeer)).Methods(http.MethodPost)
	r.PathPrefix("/").Handler(relay.Handler(streams, n.state.configInForce))
	return r
}

// isHolder reports whether this node holds the control lease, and so reads the log for
// the other nodes.
func (n *Node) isHolder() bool { return n.holder() == n.id }

// configPause returns the pause after a read of the configuration's stream that
// brought records.
func (n *Node) configPause() time.Duration { return configPause }

// vmPause returns the pause after a read of the upstreams' stream that brought
// reports.
func (n *Node) vmPause() time.Duration {
	switch {
	case n.isHolder():
		return vmPauseHolder
	case n.peers != nil && n.peers.LiveCount() >= manyNodes:
		return vmPauseMany
	}
	return vmPause
}
