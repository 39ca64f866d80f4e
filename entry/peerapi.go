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

// maxHeartbeatBytes bounds a peer's heartbeat.
const maxHeartbeatBytes = 64 << 10

// Heartbeat implements peers.Self.
func (n *Node) Heartbeat(now time.Time) peers.Heartbeat {
	through := map[string]int64{}
	for _, stream := range []string{record.StreamConfig, record.StreamControl, record.StreamSuspects} {
		through[stream] = n.log.Next(stream)
	}
	return peers.Heartbeat{
		Node:          n.id,
		Address:       n.settings.Advertise,
		Zone:          n.settings.Zone,
		Ready:         n.readiness(now) == "",
		ConfigVersion: n.configuration.InForce().Version,
		Through:       through,
		Suspects:      n.quarantine.LocalSuspects(),
	}
}

// serveHeartbeat takes a peer's heartbeat and answers with its own.
func (n *Node) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, failure := n.readBody(w, r, maxHeartbeatBytes)
	var beat peers.Heartbeat
	if failure == nil && json.Unmarshal(body, &beat) != nil {
		failure = verdict.Refuse(verdict.ReasonBadRequest, "the body is not a heartbeat")
	}
	if failure != nil {
		writeRefusal(w, "", failure)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), heartbeatTimeout)
	defer cancel()
	answer, failure := n.ask(ctx, peers.Name, func(id kernel.AskID) kernel.Message {
		return peers.Received{Ask: id, Heartbeat: beat}
	})
	if failure != nil {
		writeRefusal(w, "", failure)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// serveSnapshots gives the ledgers to a peer.
func (n *Node) serveSnapshots(w http.ResponseWriter, r *http.Request) {
	snapshots := []logfollow.Snapshot{}
	n.read(r.Context(), func(time.Time) { snapshots = append(snapshots, n.log.Snapshots()...) })
	writeJSON(w, http.StatusOK, snapshots)
}

// serveHealthz says that the process runs.
func (n *Node) serveHealthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// serveReadyz says whether the balancer should send callers here.
func (n *Node) serveReadyz(w http.ResponseWriter, r *http.Request) {
	why := "the node does not answer"
	n.read(r.Context(), func(now time.Time) { why = n.readiness(now) })
	if why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// readiness returns why the node should get no callers, empty if it should.
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
