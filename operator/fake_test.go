package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/operator"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// fakeEntry is a fake entry VM. It accepts and refuses publications as a real
// one does.
type fakeEntry struct {
	*httptest.Server
	mu   sync.Mutex
	view api.ConfigView
	// faults are applied to publications one after the other; without a fault
	// left, publications are handled normally.
	faults []fault
	// beforePublish runs once, before the next publication is handled.
	beforePublish func(v *api.ConfigView)
	// laggingReads is the number of future reads of the configuration whose
	// response shows node n1 with the version before the current one.
	laggingReads int
	status       api.Status
	statusDown   bool
	received     []api.PublishRequest
	// acceptedID is the id of the publication that is the current version.
	acceptedID string
}

// fault replaces the response to one publication.
type fault struct {
	// applied says that the publication is handled before the fault occurs.
	applied bool
	// reply is the error response; nil closes the connection without one.
	reply *api.ErrorDetail
}

func newFakeEntry() *fakeEntry {
	e := &fakeEntry{}
	e.Server = httptest.NewServer(e)
	DeferCleanup(e.Close)
	return e
}

// ServeHTTP implements http.Handler.
func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.URL.Path == api.PathConfig && r.Method == http.MethodPost:
		e.publish(w, r)
	case r.URL.Path == api.PathConfig:
		writeJSON(w, e.configView())
	case r.URL.Path == api.PathStatus && e.statusDown:
		writeRefusal(w, api.ErrorDetail{Code: 503, Reason: verdict.ReasonNotCaughtUp, Verdict: verdict.NotRun, Message: "starting"})
	case r.URL.Path == api.PathStatus:
		writeJSON(w, e.status)
	case r.URL.Path == api.PathRequests+"req-1":
		writeJSON(w, trace)
	default:
		writeRefusal(w, api.ErrorDetail{Code: 404, Reason: verdict.ReasonBadRequest, Verdict: verdict.NotRun, Message: "no such request"})
	}
}

// configView returns the current view, in which node n1 has the version before
// the current one for the next laggingReads calls.
func (e *fakeEntry) configView() api.ConfigView {
	v := e.view
	behind := v.Version
	if e.laggingReads > 0 {
		e.laggingReads--
		behind--
	}
	v.InForce = []api.NodeStatus{{Node: "n1", Zone: "a", Version: behind, Ready: true}, {Node: "n2", Zone: "b", Version: v.Version, Ready: true}}
	return v
}

func (e *fakeEntry) publish(w http.ResponseWriter, r *http.Request) {
	var p api.PublishRequest
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		writeRefusal(w, api.ErrorDetail{Code: 400, Reason: verdict.ReasonBadRequest, Verdict: verdict.NotRun})
		return
	}
	e.received = append(e.received, p)
	if e.beforePublish != nil {
		e.beforePublish(&e.view)
		e.beforePublish = nil
	}
	if len(e.faults) > 0 {
		f := e.faults[0]
		e.faults = e.faults[1:]
		if f.applied {
			e.accept(p)
		}
		e.applyFault(w, f)
		return
	}
	if !e.accept(p) {
		writeRefusal(w, api.ErrorDetail{Code: 409, Reason: verdict.ReasonConflict, Verdict: verdict.NotRun, Message: "superseded"})
		return
	}
	writeJSON(w, e.configView())
}

// accept makes a publication the current version if its base is the current
// version, and reports whether it is accepted. A repeat of the publication that
// is already the current version is accepted without effect. The ids of earlier
// versions are not remembered.
func (e *fakeEntry) accept(p api.PublishRequest) bool {
	if p.ID == e.acceptedID {
		return true
	}
	if p.BaseVersion != e.view.Version {
		return false
	}
	e.acceptedID = p.ID
	e.view = api.ConfigView{Version: e.view.Version + 1, Document: p.Document, Author: p.Author}
	return true
}

// applyFault answers a publication with the fault.
func (e *fakeEntry) applyFault(w http.ResponseWriter, f fault) {
	if f.reply != nil {
		writeRefusal(w, *f.reply)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	Expect(err).NotTo(HaveOccurred())
	_ = conn.Close()
}

func writeJSON(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v)
}

func writeRefusal(w http.ResponseWriter, d api.ErrorDetail) {
	w.WriteHeader(d.Code)
	writeJSON(w, api.ErrorBody{Error: d})
}

// cmdResult holds the exit code and the output of one command line.
type cmdResult struct {
	code           operator.ExitCode
	stdout, stderr string
}

// run executes a command line against a server. The command's standard input is
// the constant document.
func run(server string, args ...string) cmdResult {
	GinkgoHelper()
	return runContext(context.Background(), server, &bytes.Buffer{}, args...)
}

func runContext(ctx context.Context, server string, stdout interface {
	Write([]byte) (int, error)
	String() string
}, args ...string) cmdResult {
	var stderr bytes.Buffer
	p := operator.New(strings.NewReader(document), stdout, &stderr)
	p.RetryInterval = time.Millisecond
	p.PollInterval = time.Millisecond
	cmdLine := append([]string{"tamarackcleat", "--server", server}, args...)
	code := p.Run(ctx, cmdLine)
	return cmdResult{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

const document = `deployment: agency
classes:
  - name: confirm
    kind: call
    service: bookings
    targets:
      answered_within: 5s
      for: 99 in 100
`

var trace = api.RequestTrace{
	RequestID: "req-1", Node: "n1", Class: "confirm", Team: "clerks",
	Events: []api.TraceEvent{
		{At: time.UnixMilli(1000), Step: "admitted"},
		{At: time.UnixMilli(1250), Step: "refused", Upstream: "vm-3", Verdict: verdict.NotRun, Reason: verdict.ReasonConnect},
	},
}

// set changes fields of the fake while it serves requests.
func (e *fakeEntry) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// fixedResponse returns a handler that gives every request the same response.
func fixedResponse(status int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})
}

// stringBuffer adds a String method to a gbytes.Buffer, as bytes.Buffer has one.
type stringBuffer struct{ *gbytes.Buffer }

// String returns everything that was written to the buffer.
func (b stringBuffer) String() string { return string(b.Contents()) }

// publications returns the publications received so far.
func (e *fakeEntry) publications() []api.PublishRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

// current returns the current configuration.
func (e *fakeEntry) current() api.ConfigView {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}
