package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/configuration"
	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// maxPublishBytes limits the size of a published configuration's body.
	maxPublishBytes = 1 << 20
	// operatorTimeout limits how long a request that reads or publishes state
	// waits for the kernel.
	operatorTimeout = 6 * time.Second
	// localOnlyParam is the query parameter that keeps a node from asking its peers.
	localOnlyParam = "local"
)

// serveConfig handles GET /v1/config.
func (n *Node) serveConfig(w http.ResponseWriter, r *http.Request) {
	var view api.ConfigView
	hasBase := false
	read := n.readState(r.Context(), func(now time.Time) {
		view = n.configView(now)
		hasBase = n.log.HasBase(record.StreamConfig)
	})
	if !read || !hasBase {
		n.refuseNotCaughtUp(w)
		return
	}
	writeJSON(w, http.StatusOK, view)
}

// refuseNotCaughtUp refuses a request for state that the node has not read from the
// log yet or that the kernel did not return in time.
func (n *Node) refuseNotCaughtUp(w http.ResponseWriter) {
	writeFailure(w, newRequestID(n.id), verdict.Refuse(verdict.ReasonNotCaughtUp,
		"this node has not read the log yet; ask again").WithRetryAfter(time.Second))
}

// servePublish handles POST /v1/config.
func (n *Node) servePublish(w http.ResponseWriter, r *http.Request) {
	id := newRequestID(n.id)
	w.Header().Set(api.HeaderRequestID, id)
	view, failure := n.publish(w, r)
	if failure != nil {
		n.stats.count("publish.refused." + string(failure.Reason))
		writeFailure(w, id, failure)
		return
	}
	writeJSON(w, http.StatusOK, view)
}

// publish appends the configuration in a request's body and waits until it is
// accepted or refused.
func (n *Node) publish(w http.ResponseWriter, r *http.Request) (api.ConfigView, *verdict.Error) {
	var view api.ConfigView
	body, failure := n.readBody(w, r, maxPublishBytes)
	if failure != nil {
		return view, failure
	}
	var req api.PublishRequest
	if err := json.Unmarshal(body, &req); err != nil || req.ID == "" || req.BaseVersion < 0 {
		return view, verdict.Refuse(verdict.ReasonBadRequest, "the body is not a publication with an id and a base")
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	msg, err := n.kernel.Ask(ctx, configuration.Name, func(ask kernel.AskID) kernel.Message {
		return configuration.Publish{Ask: ask, Request: req}
	})
	if err != nil {
		return view, verdict.New(verdict.MayHaveRun, verdict.ReasonLogUnavailable, "no answer in time; publish again with the same id")
	}
	if refused, ok := msg.(*verdict.Error); ok {
		return view, refused
	}
	n.readState(ctx, func(now time.Time) { view = n.configView(now) })
	return view, nil
}

// configView returns the accepted configuration and the version that each live
// node has in force.
func (n *Node) configView(now time.Time) api.ConfigView {
	state := n.log.Ledgers().Config.State()
	return api.ConfigView{
		Version:  state.Version,
		Document: state.Document,
		Author:   state.Author,
		InForce:  n.nodeStatuses(now),
	}
}

// nodeStatuses returns the states of this node and its live peers and the
// configuration versions in force on them.
func (n *Node) nodeStatuses(now time.Time) []api.NodeStatus {
	self := n.Heartbeat(now)
	out := []api.NodeStatus{{Node: self.Node, Zone: self.Zone, Version: self.ConfigVersion, Ready: self.Ready}}
	for _, p := range n.peers.LivePeers(now) {
		out = append(out, api.NodeStatus{Node: p.Node, Zone: p.Zone, Version: p.ConfigVersion, Ready: p.Ready})
	}
	return out
}

// readState runs fn between two messages of the kernel, so that fn can read the
// services' state. It reports whether fn ran within operatorTimeout.
func (n *Node) readState(ctx context.Context, fn func(now time.Time)) bool {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return n.kernel.Do(ctx, fn) == nil
}

// serveStatus handles GET /v1/status.
func (n *Node) serveStatus(w http.ResponseWriter, r *http.Request) {
	var s api.Status
	if !n.readState(r.Context(), func(now time.Time) { s = n.status(now) }) {
		n.refuseNotCaughtUp(w)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

func (n *Node) status(now time.Time) api.Status {
	control := n.log.Ledgers().Control
	eligible := n.health.Eligible()
	s := api.Status{
		Node:                 n.id,
		ConfigVersion:        n.configuration.InForce().Version,
		LogReachable:         n.log.Reachable(now),
		LeaseHolder:          control.Lease().Holder,
		Classes:              []api.ClassStatus{},
		Nodes:                n.nodeStatuses(now),
		Models:               n.modelStatus(control.Replicas(), eligible),
		StrandedAccelerators: strandedAccelerators(n.health.Observations(), control),
	}
	if doc := n.configuration.InForce().Document; doc != nil {
		for _, c := range doc.Classes {
			class := n.stats.status(c)
			class.Obstacles = obstacles(c, eligible, s.LogReachable)
			s.Classes = append(s.Classes, class)
		}
	}
	return s
}

// modelStatus counts the replicas of each model.
func (n *Node) modelStatus(replicas []ledger.Replica, eligible []health.Upstream) []api.ModelStatus {
	serving := map[string]bool{}
	for _, u := range eligible {
		serving[u.ID] = true
	}
	byModel := map[string]*api.ModelStatus{}
	for _, r := range replicas {
		m, ok := byModel[r.Model]
		if !ok {
			m = &api.ModelStatus{Model: r.Model}
			byModel[r.Model] = m
		}
		m.Replicas++
		switch {
		case serving[r.Name]:
			m.Serving++
		case n.health.Watches(r.Name):
			m.Forming++
		}
	}
	out := []api.ModelStatus{}
	for _, model := range sortedKeys(byModel) {
		out = append(out, *byModel[model])
	}
	return out
}

// strandedAccelerators counts the accelerators of the engine VMs in the VM list
// that belong to no replica.
func strandedAccelerators(vms []health.Observation, control *ledger.Control) int {
	count := 0
	for _, o := range vms {
		if _, owned := control.ReplicaOf(o.VM.ID); o.Listed && o.VM.Kind == port.KindEngine && !owned {
			count += o.VM.Accelerators
		}
	}
	return count
}

// obstacles returns texts for operators that say why requests of a class can't
// be served.
func obstacles(c dynamic.Class, eligible []health.Upstream, logReachable bool) []string {
	out := []string{}
	if !hasUpstream(c, eligible) {
		out = append(out, "no complete replica or ready VM serves this class")
	}
	if c.Kind == dynamic.KindCall && !c.Repeatable && !logReachable {
		out = append(out, "the platform's log is unreachable; calls that may not be repeated are refused")
	}
	return out
}

// hasUpstream reports whether any eligible upstream serves a class.
func hasUpstream(c dynamic.Class, eligible []health.Upstream) bool {
	for _, u := range eligible {
		if u.Plain && c.Kind == dynamic.KindCall && u.Pool == c.Service {
			return true
		}
		if !u.Plain && c.Kind == dynamic.KindGenerate && u.Pool == c.Model {
			return true
		}
	}
	return false
}

// serveExplain handles GET /v1/requests/{id}. If this node has no trace of the
// request, it asks the node whose id is part of the request id.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	if ex, ok := n.traces.explain(id); ok {
		writeJSON(w, http.StatusOK, ex)
		return
	}
	if r.URL.Query().Get(localOnlyParam) == "" {
		if ex, ok := n.explainFromPeer(r.Context(), id); ok {
			writeJSON(w, http.StatusOK, ex)
			return
		}
	}
	writeFailure(w, id, verdict.Refuse(verdict.ReasonUnknownRequest,
		"no live node remembers this request; nodes remember their latest %d", maxTraces))
}

// explainFromPeer asks the node that served a request to explain it.
func (n *Node) explainFromPeer(ctx context.Context, id string) (api.RequestTrace, bool) {
	node, ok := nodeFromRequestID(id)
	if !ok {
		return api.RequestTrace{}, false
	}
	address := ""
	n.readState(ctx, func(now time.Time) {
		for _, p := range n.peers.LivePeers(now) {
			if p.Node == node {
				address = p.Address
			}
		}
	})
	if address == "" {
		return api.RequestTrace{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	ex, err := n.peerClient.explain(ctx, address, id)
	return ex, err == nil
}

// serveModels handles GET /v1/models. It lists the classes of kind generate as
// models, for clients of the chat API.
func (n *Node) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	if doc := n.document(); doc != nil {
		for _, c := range doc.Classes {
			if c.Kind == dynamic.KindGenerate {
				list.Data = append(list.Data, modelEntry{ID: c.Name, Object: "model", OwnedBy: doc.Deployment})
			}
		}
	}
	writeJSON(w, http.StatusOK, list)
}

// modelList is the chat API's list of models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry is one entry of a modelList.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
