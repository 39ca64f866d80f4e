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

// entry is a fake entry VM that follows the rules of publication.
type entry struct {
	*httptest.Server
	mu   sync.Mutex
	view api.ConfigView
	// faults are applied to publications in turn; nil is none.
	faults []fault
	// beforePublish runs once, before a publication is judged.
	beforePublish func(v *api.ConfigView)
	// inForceAfter is the number of looks until nothing lags.
	inForceAfter int
	status       api.Status
	statusDown   bool
	sent         []api.PublishRequest
	// accepted is the id of the current version.
	accepted string
}

// fault answers instead of, or after, judging a publication.
type fault struct {
	// judged says that the publication takes effect before the fault.
	judged bool
	// reply answers; nil cuts the connection.
	reply *api.ErrorDetail
}

func newEntry() *entry {
	e := &entry{}
	e.Server = httptest.NewServer(e)
	DeferCleanup(e.Close)
	return e
}

// ServeHTTP implements http.Handler.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.URL.Path == api.PathConfig && r.Method == http.MethodPost:
		e.publish(w, r)
	case r.URL.Path == api.PathConfig:
		answer(w, e.look())
	case r.URL.Path == api.PathStatus && e.statusDown:
		refuse(w, api.ErrorDetail{Code: 503, Reason: verdict.ReasonNotCaughtUp, Verdict: verdict.NotRun, Message: "starting"})
	case r.URL.Path == api.PathStatus:
		answer(w, e.status)
	case r.URL.Path == api.PathRequests+"req-1":
		answer(w, explanation)
	default:
		refuse(w, api.ErrorDetail{Code: 404, Reason: verdict.ReasonBadRequest, Verdict: verdict.NotRun, Message: "no such request"})
	}
}

// look returns the view with the first node lagging for a while.
func (e *entry) look() api.ConfigView {
	v := e.view
	behind := v.Version
	if e.inForceAfter > 0 {
		e.inForceAfter--
		behind--
	}
	v.InForce = []api.NodeVersion{{Node: "n1", Zone: "a", Version: behind, Ready: true}, {Node: "n2", Zone: "b", Version: v.Version, Ready: true}}
	return v
}

func (e *entry) publish(w http.ResponseWriter, r *http.Request) {
	var p api.PublishRequest
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		refuse(w, api.ErrorDetail{Code: 400, Reason: verdict.ReasonBadRequest, Verdict: verdict.NotRun})
		return
	}
	e.sent = append(e.sent, p)
	if e.beforePublish != nil {
		e.beforePublish(&e.view)
		e.beforePublish = nil
	}
	if len(e.faults) > 0 {
		f := e.faults[0]
		e.faults = e.faults[1:]
		if f.judged {
			e.judge(p)
		}
		e.inject(w, f)
		return
	}
	if !e.judge(p) {
		refuse(w, api.ErrorDetail{Code: 409, Reason: verdict.ReasonConflict, Verdict: verdict.NotRun, Message: "superseded"})
		return
	}
	answer(w, e.look())
}

// judge accepts a publication if its base is the current version. It knows
// the current version's id again, and no earlier one.
func (e *entry) judge(p api.PublishRequest) bool {
	if p.ID == e.accepted {
		return true
	}
	if p.Base != e.view.Version {
		return false
	}
	e.accepted = p.ID
	e.view = api.ConfigView{Version: e.view.Version + 1, Document: p.Document, Author: p.Author}
	return true
}

func (e *entry) inject(w http.ResponseWriter, f fault) {
	if f.reply != nil {
		refuse(w, *f.reply)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	Expect(err).NotTo(HaveOccurred())
	_ = conn.Close()
}

func answer(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v)
}

func refuse(w http.ResponseWriter, d api.ErrorDetail) {
	w.WriteHeader(d.Code)
	answer(w, api.ErrorBody{Error: d})
}

// outcome is what one command line did.
type outcome struct {
	code           operator.ExitCode
	stdout, stderr string
}

// run performs a command line against a server.
func run(server string, args ...string) outcome {
	GinkgoHelper()
	return runContext(context.Background(), server, &bytes.Buffer{}, args...)
}

func runContext(ctx context.Context, server string, stdout interface {
	Write([]byte) (int, error)
	String() string
}, args ...string) outcome {
	var stderr bytes.Buffer
	p := operator.New(strings.NewReader(document), stdout, &stderr)
	p.RetryInterval = time.Millisecond
	p.PollInterval = time.Millisecond
	line := append([]string{"tamarackcleat", "--server", server}, args...)
	code := p.Run(ctx, line)
	return outcome{code: code, stdout: stdout.String(), stderr: stderr.String()}
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

var explanation = api.Explanation{
	RequestID: "req-1", Node: "n1", Class: "confirm", Team: "clerks",
	Events: []api.TraceEvent{
		{At: time.UnixMilli(1000), Step: "admitted"},
		{At: time.UnixMilli(1250), Step: "refused", Upstream: "vm-3", Verdict: verdict.NotRun, Reason: verdict.ReasonConnect},
	},
}

// set changes the fake while it serves.
func (e *entry) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// page answers every request alike.
func page(status int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})
}

// bufferString gives a gbytes.Buffer the String method of other buffers.
type bufferString struct{ *gbytes.Buffer }

// String returns everything that was written.
func (b bufferString) String() string { return string(b.Contents()) }

// publications returns what was sent so far.
func (e *entry) publications() []api.PublishRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.sent)
}

// current returns the configuration that is accepted now.
func (e *entry) current() api.ConfigView {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}
