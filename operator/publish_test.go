package operator_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/operator"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// otherDoc is a document that another operator has published.
var otherDoc = strings.Replace(document, "5s", "9s", 1)

// publishOther makes otherDoc the current version 5, published by moussa.
func publishOther(v *api.ConfigView) {
	*v = api.ConfigView{Version: 5, Document: otherDoc, Author: "moussa"}
}

var (
	logDown        = &api.ErrorDetail{Code: 503, Reason: verdict.ReasonLogUnavailable, Verdict: verdict.NotRun, Message: "the log is out"}
	unknownOutcome = &api.ErrorDetail{Code: 504, Reason: verdict.ReasonLogUnavailable, Verdict: verdict.MayHaveRun, Message: "no answer"}
)

var _ = Describe("publish", func() {
	var e *fakeEntry
	BeforeEach(func() { e = newFakeEntry() })

	publish := func(args ...string) cmdResult {
		return run(e.URL, append(append([]string{"publish"}, args...), "-")...)
	}

	It("publishes against the current version and shows the changes", func() {
		publishOther(&e.view)
		o := publish("--author", "awa")
		Expect(o.code).To(Equal(operator.ExitOK), o.stderr)
		Expect(o.stdout).To(ContainSubstring("~ class confirm targets.answered_within: 9s -> 5s"))
		Expect(o.stdout).To(ContainSubstring("version 6 is in force on 2 entry VMs"))
		Expect(e.publications()).To(HaveLen(1))
		Expect(e.publications()[0].BaseVersion).To(BeEquivalentTo(5))
		Expect(e.publications()[0].Author).To(Equal("awa"))
		Expect(e.publications()[0].Document).To(Equal(document))
	})

	It("prints one JSON object as its result", func() {
		o := publish("--output", "json")
		Expect(o.code).To(Equal(operator.ExitOK))
		var r operator.PublishResult
		Expect(json.Unmarshal([]byte(o.stdout), &r)).To(Succeed())
		Expect(r.Version).To(BeEquivalentTo(1))
		Expect(r.Changes).To(HaveLen(2))
		Expect(r.InForce).To(HaveLen(2))
	})

	It("sends nothing when the same document is already published", func() {
		e.view = api.ConfigView{Version: 5, Document: document, Author: "moussa"}
		o := publish()
		Expect(o.code).To(Equal(operator.ExitOK))
		Expect(o.stdout).To(ContainSubstring("published already, as version 5 by moussa"))
		Expect(e.publications()).To(BeEmpty())
	})

	DescribeTable("sends the same id again until the outcome is known",
		func(faults []fault, tries int) {
			e.faults = faults
			o := publish()
			Expect(o.code).To(Equal(operator.ExitOK), o.stderr)
			Expect(e.publications()).To(HaveLen(tries))
			for _, p := range e.publications() {
				Expect(p).To(Equal(e.publications()[0]))
			}
			Expect(e.current().Version).To(BeEquivalentTo(1))
		},
		Entry("answer lost after the effect", []fault{{applied: true}}, 2),
		Entry("connection cut before the effect", []fault{{}, {}}, 3),
		Entry("outcome unknown after the effect", []fault{{applied: true, reply: unknownOutcome}}, 2),
		Entry("log briefly unavailable", []fault{{reply: logDown}, {reply: logDown}}, 3),
	)

	It("reports an unknown outcome and the command that repeats the publication with the same id", func() {
		e.faults = []fault{{applied: true}, {}, {reply: logDown}, {reply: logDown}, {reply: logDown}}
		o := publish()
		Expect(o.code).To(Equal(operator.ExitOutcomeUnknown))
		Expect(o.stderr).To(ContainSubstring("publish --id " + e.publications()[0].ID + " --base 0 -"))
		Expect(e.publications()).To(HaveLen(5))
		again := publish("--id", e.publications()[0].ID, "--base", "0")
		Expect(again.code).To(Equal(operator.ExitOK))
		Expect(e.current().Version).To(BeEquivalentTo(1))
	})

	It("reports an unknown outcome, not a conflict, when the publication may have been accepted and replaced", func() {
		e.faults = []fault{{applied: true}, {}, {}, {}, {}}
		Expect(publish().code).To(Equal(operator.ExitOutcomeUnknown))
		e.set(func() { e.view.Version, e.view.Document, e.view.Author, e.acceptedID = 2, otherDoc, "moussa", "later" })
		o := publish("--id", e.publications()[0].ID, "--base", "0")
		Expect(o.code).To(Equal(operator.ExitOutcomeUnknown))
		Expect(o.stderr).To(ContainSubstring("version 2 by moussa is in force"))
		Expect(o.stderr).To(ContainSubstring("whether your publication was version 1"))
		Expect(e.current().Document).To(Equal(otherDoc))
	})

	It("reports a conflict after a lost answer when the version after the base holds another document", func() {
		e.faults = []fault{{}}
		e.beforePublish = func(v *api.ConfigView) { *v = api.ConfigView{Version: 1, Document: otherDoc, Author: "moussa"} }
		o := publish()
		Expect(o.code).To(Equal(operator.ExitConflict))
		Expect(e.publications()).To(HaveLen(2))
	})

	It("fails and changes nothing while the log is unavailable", func() {
		down := fault{reply: logDown}
		e.faults = []fault{down, down, down, down, down}
		o := publish()
		Expect(o.code).To(Equal(operator.ExitFailure))
		Expect(o.stderr).To(ContainSubstring("wait until the platform's log is back"))
	})

	It("reports who published a version after the base and doesn't replace that version", func() {
		e.view = api.ConfigView{Version: 3, Document: strings.Replace(document, "5s", "7s", 1), Author: "awa"}
		e.beforePublish = publishOther
		o := publish()
		Expect(o.code).To(Equal(operator.ExitConflict))
		Expect(o.stderr).To(ContainSubstring("version 5 by moussa was published after version 3"))
		Expect(o.stderr).To(ContainSubstring("in between:\n  ~ class confirm targets.answered_within: 7s -> 9s"))
		Expect(o.stderr).To(ContainSubstring("against version 5:\n  ~ class confirm targets.answered_within: 9s -> 5s"))
		Expect(o.stderr).To(ContainSubstring("publish --base 5 -"))
		Expect(e.current().Document).To(Equal(otherDoc))
	})

	It("sends nothing when the base is not the current version", func() {
		publishOther(&e.view)
		o := publish("--base", "3")
		Expect(o.code).To(Equal(operator.ExitConflict))
		Expect(e.publications()).To(BeEmpty())
	})

	It("takes the base from the first line of the output of targets and doesn't publish that line", func() {
		publishOther(&e.view)
		e.view.Author = "awa"
		printed := run(e.URL, "targets").stdout
		path := filepath.Join(GinkgoT().TempDir(), "doc.yaml")
		Expect(os.WriteFile(path, []byte(strings.Replace(printed, "9s", "7s", 1)), 0o600)).To(Succeed())
		Expect(run(e.URL, "publish", path).code).To(Equal(operator.ExitOK))
		Expect(e.publications()[0].BaseVersion).To(BeEquivalentTo(5))
		Expect(e.current().Document).To(Equal(strings.Replace(document, "5s", "7s", 1)))
		Expect(run(e.URL, "publish", path).code).To(Equal(operator.ExitOK))
		e.set(func() { e.view.Version, e.view.Document = 7, otherDoc })
		Expect(run(e.URL, "publish", path).code).To(Equal(operator.ExitConflict))
		Expect(e.publications()).To(HaveLen(1))
	})

	It("waits until lagging entry VMs have the version in force", func() {
		e.laggingReads = 4
		Expect(publish().code).To(Equal(operator.ExitOK))
	})

	It("names the entry VMs that still lag when the wait ends", func() {
		e.laggingReads = 1 << 30
		o := publish("--wait", "20ms")
		Expect(o.code).To(Equal(operator.ExitNotInForce))
		Expect(o.stderr).To(ContainSubstring("not in force on 1 of 2"))
		Expect(o.stderr).To(ContainSubstring("node n1 in a has version 0"))
	})

	It("reports a server that can't be reached", func() {
		e.Close()
		o := publish()
		Expect(o.code).To(Equal(operator.ExitUnreachable))
		Expect(o.stderr).To(ContainSubstring("TAMARACKCLEAT_SERVER"))
	})
})
