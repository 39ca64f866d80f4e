package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/peers"
	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// maxHeartbeatBytes limits the size of a peer's heartbeat.
const maxHeartbeatBytes = 64 << 10

// Heartbeat implements peers.Self. It returns the state that this node reports
// to its peers.
func (n *Node) Heartbeat(now time.Time) peers.Heartbeat {
	offsets := map[string]int64{}
	for _, stream := range []string{record.StreamConfig, record.StreamControl, record.StreamSuspects} {
		offsets[stream] = n.log.NextOffset(stream)
	}
	return peers.Heartbeat{
		Node:          n.id,
		Address:       n.settings.Advertise,
		Zone:          n.settings.Zone,
		Ready:         n.readiness(now) == "",
		ConfigVersion: n.configuration.InForce().Version,
		Through:       offsets,
		Suspects:      n.quarantine.LocalSuspects(),
	}
}

// serveHeartbeat receives a peer's heartbeat and replies with this node's.
func (n *Node) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, failure := n.readBody(w, r, maxHeartbeatBytes)
	var heartbeat peers.Heartbeat
	if failure == nil && json.Unmarshal(body, &heartbeat) != nil {
		failure = verdict.Refuse(verdict.ReasonBadRequest, "the body is not a heartbeat")
	}
	if failure != nil {
		writeFailure(w, "", failure)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), heartbeatTimeout)
	defer cancel()
	answer, failure := n.ask(ctx, peers.Name, func(id kernel.AskID) kernel.Message {
		return peers.Received{Ask: id, Heartbeat: heartbeat}
	})
	if failure != nil {
		writeFailure(w, "", failure)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// serveSnapshots sends snapshots of this node's ledgers to a peer.
func (n *Node) serveSnapshots(w http.ResponseWriter, r *http.Request) {
	snapshots := []logfollow.Snapshot{}
	n.readState(r.Context(), func(time.Time) { snapshots = append(snapshots, n.log.Snapshots()...) })
	writeJSON(w, http.StatusOK, snapshots)
}

// serveHealthz reports that the process is running.
func (n *Node) serveHealthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// serveReadyz tells the load balancer whether to send callers to this node, and
// the reason if not.
func (n *Node) serveReadyz(w http.ResponseWriter, r *http.Request) {
	reason := "the node does not answer"
	n.readState(r.Context(), func(now time.Time) { reason = n.readiness(now) })
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// readiness returns the reason why callers should not be sent to this node; empty
// if they should.
func (n *Node) readiness(now time.Time) string {
	switch {
	case n.draining.Load():
		return "draining"
	case n.configuration.InForce().Document == nil:
		return "no configuration is in force"
	case n.log.Reachable(now) && !n.log.ReachedHead(record.StreamConfig):
		return "the log of configuration is still being read"
	case n.peers.Isolated(now):
		return "neither the log nor a peer was heard of lately"
	default:
		return ""
	}
}
