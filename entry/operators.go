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
	// maxPublishBytes bounds the body of a publication.
	maxPublishBytes = 1 << 20
	// operatorTimeout ends the wait for the kernel on behalf of an operator.
	operatorTimeout = 6 * time.Second
	// localOnly is the query parameter that keeps a node from asking peers.
	localOnly = "local"
)

// serveConfig answers GET /v1/config.
func (n *Node) serveConfig(w http.ResponseWriter, r *http.Request) {
	var view api.ConfigView
	based := false
	read := n.read(r.Context(), func(now time.Time) {
		view = n.configView(now)
		based = n.log.Based(record.StreamConfig)
	})
	if !read || !based {
		n.refuseRead(w)
		return
	}
	writeJSON(w, http.StatusOK, view)
}

// refuseRead answers an operator whose question can't be answered now.
func (n *Node) refuseRead(w http.ResponseWriter) {
	writeRefusal(w, newRequestID(n.id), verdict.Refuse(verdict.ReasonNotCaughtUp,
		"this node has not read the log yet; ask again").WithRetryAfter(time.Second))
}

// servePublish answers POST /v1/config.
func (n *Node) servePublish(w http.ResponseWriter, r *http.Request) {
	id := newRequestID(n.id)
	w.Header().Set(api.HeaderRequestID, id)
	view, failure := n.publish(w, r)
	if failure != nil {
		n.stats.count("publish.refused." + string(failure.Reason))
		writeRefusal(w, id, failure)
		return
	}
	writeJSON(w, http.StatusOK, view)
}

func (n *Node) publish(w http.ResponseWriter, r *http.Request) (api.ConfigView, *verdict.Error) {
	var view api.ConfigView
	body, failure := n.readBody(w, r, maxPublishBytes)
	if failure != nil {
		return view, failure
	}
	var req api.PublishRequest
	if err := json.Unmarshal(body, &req); err != nil || req.ID == "" || req.Base < 0 {
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
	n.read(ctx, func(now time.Time) { view = n.configView(now) })
	return view, nil
}

// configView describes the accepted configuration and where it is in force.
func (n *Node) configView(now time.Time) api.ConfigView {
	state := n.log.Ledgers().Config.State()
	return api.ConfigView{
		Version:  state.Version,
		Document: state.Document,
		Author:   state.Author,
		InForce:  n.nodeVersions(now),
	}
}

// nodeVersions lists this node and its live peers.
func (n *Node) nodeVersions(now time.Time) []api.NodeVersion {
	self := n.Heartbeat(now)
	out := []api.NodeVersion{{Node: self.Node, Zone: self.Zone, Version: self.ConfigVersion, Ready: self.Ready}}
	for _, p := range n.peers.LivePeers(now) {
		out = append(out, api.NodeVersion{Node: p.Node, Zone: p.Zone, Version: p.ConfigVersion, Ready: p.Ready})
	}
	return out
}

// read runs fn between messages of the kernel and reports whether it ran.
func (n *Node) read(ctx context.Context, fn func(now time.Time)) bool {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return n.kernel.Do(ctx, fn) == nil
}

// serveStatus answers GET /v1/status.
func (n *Node) serveStatus(w http.ResponseWriter, r *http.Request) {
	var s api.Status
	if !n.read(r.Context(), func(now time.Time) { s = n.status(now) }) {
		n.refuseRead(w)
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
		Nodes:                n.nodeVersions(now),
		Models:               n.modelStatus(control.Replicas(), eligible),
		StrandedAccelerators: stranded(n.health.Observations(), control),
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

// modelStatus counts replicas by model.
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

// stranded counts accelerators of listed engine VMs in no replica.
func stranded(vms []health.Observation, control *ledger.Control) int {
	count := 0
	for _, o := range vms {
		if _, owned := control.Owner(o.VM.ID); o.Listed && o.VM.Kind == port.KindEngine && !owned {
			count += o.VM.Accelerators
		}
	}
	return count
}

// obstacles says what stands in the way of a class.
func obstacles(c dynamic.Class, eligible []health.Upstream, logReachable bool) []string {
	out := []string{}
	if !served(c, eligible) {
		out = append(out, "no complete replica or ready VM serves this class")
	}
	if c.Kind == dynamic.KindCall && !c.Repeatable && !logReachable {
		out = append(out, "the platform's log is unreachable; calls that may not be repeated are refused")
	}
	return out
}

// served reports whether any upstream serves a class.
func served(c dynamic.Class, eligible []health.Upstream) bool {
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

// serveExplain answers GET /v1/requests/{id}; the node that served the request
// is inside its id.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	if ex, ok := n.traces.explain(id); ok {
		writeJSON(w, http.StatusOK, ex)
		return
	}
	if r.URL.Query().Get(localOnly) == "" {
		if ex, ok := n.explainByPeer(r.Context(), id); ok {
			writeJSON(w, http.StatusOK, ex)
			return
		}
	}
	writeRefusal(w, id, verdict.Refuse(verdict.ReasonUnknownRequest,
		"no live node remembers this request; nodes remember their latest %d", tracedRequests))
}

func (n *Node) explainByPeer(ctx context.Context, id string) (api.Explanation, bool) {
	node, ok := nodeOf(id)
	if !ok {
		return api.Explanation{}, false
	}
	address := ""
	n.read(ctx, func(now time.Time) {
		for _, p := range n.peers.LivePeers(now) {
			if p.Node == node {
				address = p.Address
			}
		}
	})
	if address == "" {
		return api.Explanation{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	ex, err := n.peerClient.explain(ctx, address, id)
	return ex, err == nil
}

// serveModels answers GET /v1/models with the classes that generate, for
// clients of the chat API.
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
