package operator_test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/operator"
)

var status = api.Status{
	Node: "n1", ConfigVersion: 1024, LogReachable: false, LeaseHolder: "n2",
	Classes: []api.ClassStatus{
		{Class: "drafting", Target: "answered within 3m for 95 in 100", Answered: 40, Refused: 2, WithinTargetPercent: 97.5, FirstTokenMillis: 310, AnswerMillis: 41500, Obstacles: []string{"no complete replica of draft-70b"}},
		{Class: "confirm", Target: "answered within 5s for 99 in 100", WithinTargetPercent: -1},
	},
	Nodes:                []api.NodeStatus{{Node: "n1", Zone: "a", Version: 1024, Ready: true}, {Node: "n2", Zone: "b", Version: 512}},
	Models:               []api.ModelStatus{{Model: "draft-70b", Replicas: 1, Serving: 0, Forming: 1}},
	StrandedAccelerators: 1,
}

var _ = Describe("commands", func() {
	var e *fakeEntry
	BeforeEach(func() { e = newFakeEntry() })

	writeFile := func(text string) string {
		path := filepath.Join(GinkgoT().TempDir(), "doc.yaml")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}

	It("validates a document without a server", func() {
		o := run("http://127.0.0.1:1", "validate", writeFile(document))
		Expect(o.code).To(Equal(operator.ExitOK))
		Expect(o.stdout).To(ContainSubstring("is valid: 1 class\n"))
	})

	It("reports the problems of an invalid document and sends nothing", func() {
		path := writeFile(strings.Replace(document, "5s", "5", 1))
		o := run(e.URL, "validate", path)
		Expect(o.code).To(Equal(operator.ExitInvalid))
		Expect(o.stderr).To(ContainSubstring("doc.yaml:7:7: classes[0].targets.answered_within"))
		o = run(e.URL, "--output", "json", "publish", path)
		Expect(o.code).To(Equal(operator.ExitInvalid))
		var body struct{ Error operator.Failure }
		Expect(json.Unmarshal([]byte(o.stdout), &body)).To(Succeed())
		Expect(body.Error.Kind).To(Equal("invalid"))
		Expect(body.Error.Problems).To(HaveExactElements(HaveField("Line", 7)))
		Expect(e.publications()).To(BeEmpty())
	})

	It("shows what publishing would change", func() {
		e.view = api.ConfigView{Version: 5, Document: otherDoc}
		o := run(e.URL, "diff", "-")
		Expect(o.stdout).To(Equal("against version 5:\n  ~ class confirm targets.answered_within: 9s -> 5s\n"))
		e.view.Document = document
		Expect(run(e.URL, "diff", "-", "--output", "json").stdout).To(MatchJSON(`{"version": 5, "changes": []}`))
	})

	It("shows the published document without control characters", func() {
		Expect(run(e.URL, "targets").stdout).To(ContainSubstring("knows no published document"))
		e.view = api.ConfigView{Version: 5, Document: document, Author: "awa\x1b[2J"}
		o := run(e.URL, "targets")
		Expect(o.stdout).To(Equal("# version 5, published by awa[2J\n" + document))
	})

	It("shows the target, the measurements and the obstacles of each class", func() {
		e.status = status
		o := run(e.URL, "status")
		Expect(o.code).To(Equal(operator.ExitOK))
		Expect(o.stdout).To(Equal(`configuration  version 1024 as node n1 has it
platform log   NOT REACHABLE: no new versions, replicas or non-repeatable calls until it is back
entry VMs      2 live; node n2 in b is not ready; node n2 in b still has version 512
replicas       draft-70b 1 (0 serving by way of this node, 1 forming); formed by node n2
stranded       1 accelerator

drafting
  target      answered within 3m for 95 in 100
  measured    97.5 in 100 within target of 40 answered, first token 310ms, whole answer 41.5s; 2 refused
  in the way  no complete replica of draft-70b

confirm
  target      answered within 5s for 99 in 100
  measured    no answers yet; 0 refused
  in the way  nothing
`))
		var s api.Status
		Expect(json.Unmarshal([]byte(run(e.URL, "status", "--output", "json").stdout), &s)).To(Succeed())
		Expect(s).To(Equal(status))
	})

	It("shows the events of a request", func() {
		o := run(e.URL, "explain", "req-1")
		Expect(o.stdout).To(Equal("request req-1: class confirm, team clerks, served by node n1\n" +
			"         +0s  admitted\n      +250ms  refused  vm-3  not_run  connect_failed\n"))
		o = run(e.URL, "explain", "req/2")
		Expect(o.code).To(Equal(operator.ExitFailure))
		Expect(o.stderr).To(ContainSubstring("no such request"))
	})

	It("shows the status whenever it changes and goes on after a failed request", func() {
		e.status = status
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		out := gbytes.NewBuffer()
		done := make(chan cmdResult)
		go func() { done <- runContext(ctx, e.URL, stringBuffer{out}, "watch", "--interval", "1ms") }()
		Eventually(out).Should(gbytes.Say("version 1024"))
		e.set(func() { e.statusDown = true })
		Eventually(out).Should(gbytes.Say("log_not_caught_up"))
		e.set(func() { e.statusDown, e.status.ConfigVersion = false, 2048 })
		Eventually(out).Should(gbytes.Say("version 2048"))
		cancel()
		var o cmdResult
		Eventually(done).Should(Receive(&o))
		Expect(o.code).To(Equal(operator.ExitOK))
		Expect(strings.Count(o.stdout, "version 1024 as")).To(Equal(1))
	})

	DescribeTable("refuses invalid command lines", func(message string, args ...string) {
		o := run(e.URL, args...)
		Expect(o.code).To(Equal(operator.ExitInvalid))
		Expect(o.stderr).To(ContainSubstring(message))
	},
		Entry("no command", "a command is missing"),
		Entry("unknown command", `"drain" is not a command`, "drain"),
		Entry("unknown flag", "weight", "status", "--weight", "3"),
		Entry("missing file", "exactly one file", "publish"),
		Entry("file that does not exist", "no such file", "validate", "/nowhere/doc.yaml"),
		Entry("two files", "exactly one file", "diff", "a", "b"),
		Entry("unexpected argument", "takes no arguments", "status", "drafting"),
		Entry("unknown output", "not an output format", "status", "--output", "xml"),
		Entry("invalid wait", "positive time", "publish", "--wait", "0s", "-"),
		Entry("invalid id", "not the id", "publish", "--id", "7", "-"),
		Entry("id without base", "needs --base", "publish", "--id", "0192d2f0-0000-7000-8000-000000000000", "-"),
		Entry("invalid base", "not a version", "publish", "--base", "-7", "-"),
	)

	DescribeTable("fails with a message if the response is not from an entry VM", func(status int, body string) {
		e.Config.Handler = fixedResponse(status, body)
		o := run(e.URL, "status")
		Expect(o.code).To(Equal(operator.ExitFailure))
		Expect(o.stderr).NotTo(BeEmpty())
	},
		Entry("the error page of a load balancer", 502, "<html>"),
		Entry("a page that is not JSON", 200, "<html>"),
	)

	It("completes commands and prints completion scripts", func() {
		// The completion code of the cli library reads os.Args, not the arguments
		// passed to Run.
		originalArgs := os.Args
		DeferCleanup(func() { os.Args = originalArgs })
		os.Args = []string{"tamarackcleat", "--generate-shell-completion"}
		Expect(run(e.URL, "--generate-shell-completion").stdout).To(ContainSubstring("publish"))
		Expect(run(e.URL, "completion", "bash").stdout).To(ContainSubstring("tamarackcleat"))
	})
})
