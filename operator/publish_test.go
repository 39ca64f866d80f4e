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

// other is a document that another operator publishes.
var other = strings.Replace(document, "5s", "9s", 1)

// rival publishes other as version 5.
func rival(v *api.ConfigView) {
	*v = api.ConfigView{Version: 5, Document: other, Author: "moussa"}
}

var (
	logDown = &api.ErrorDetail{Code: 503, Reason: verdict.ReasonLogUnavailable, Verdict: verdict.NotRun, Message: "the log is out"}
	unsure  = &api.ErrorDetail{Code: 504, Reason: verdict.ReasonLogUnavailable, Verdict: verdict.MayHaveRun, Message: "no answer"}
)

var _ = Describe("publish", func() {
	var e *entry
	BeforeEach(func() { e = newEntry() })

	publish := func(args ...string) outcome {
		return run(e.URL, append(append([]string{"publish"}, args...), "-")...)
	}

	It("publishes against the current version and shows the changes", func() {
		rival(&e.view)
		o := publish("--author", "awa")
		Expect(o.code).To(Equal(operator.ExitOK), o.stderr)
		Expect(o.stdout).To(ContainSubstring("~ class confirm targets.answered_within: 9s -> 5s"))
		Expect(o.stdout).To(ContainSubstring("version 6 is in force on 2 entry VMs"))
		Expect(e.publications()).To(HaveLen(1))
		Expect(e.publications()[0].Base).To(BeEquivalentTo(5))
		Expect(e.publications()[0].Author).To(Equal("awa"))
		Expect(e.publications()[0].Document).To(Equal(document))
	})

	It("gives one JSON object", func() {
		o := publish("--output", "json")
		Expect(o.code).To(Equal(operator.ExitOK))
		var r operator.PublishResult
		Expect(json.Unmarshal([]byte(o.stdout), &r)).To(Succeed())
		Expect(r.Version).To(BeEquivalentTo(1))
		Expect(r.Changes).To(HaveLen(2))
		Expect(r.InForce).To(HaveLen(2))
	})

	It("sends nothing when the same document is in force", func() {
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
		Entry("answer lost after the effect", []fault{{judged: true}}, 2),
		Entry("connection cut before the effect", []fault{{}, {}}, 3),
		Entry("outcome unknown after the effect", []fault{{judged: true, reply: unsure}}, 2),
		Entry("log out for a moment", []fault{{reply: logDown}, {reply: logDown}}, 3),
	)

	It("says that the outcome is unknown and how to go on with the same id", func() {
		e.faults = []fault{{judged: true}, {}, {reply: logDown}, {reply: logDown}, {reply: logDown}}
		o := publish()
		Expect(o.code).To(Equal(operator.ExitUnknown))
		Expect(o.stderr).To(ContainSubstring("publish --id " + e.publications()[0].ID + " --base 0 -"))
		Expect(e.publications()).To(HaveLen(5))
		again := publish("--id", e.publications()[0].ID, "--base", "0")
		Expect(again.code).To(Equal(operator.ExitOK))
		Expect(e.current().Version).To(BeEquivalentTo(1))
	})

	It("never reports a conflict for what may have been accepted and replaced", func() {
		e.faults = []fault{{judged: true}, {}, {}, {}, {}}
		Expect(publish().code).To(Equal(operator.ExitUnknown))
		e.set(func() { e.view.Version, e.view.Document, e.view.Author, e.accepted = 2, other, "moussa", "later" })
		o := publish("--id", e.publications()[0].ID, "--base", "0")
		Expect(o.code).To(Equal(operator.ExitUnknown))
		Expect(o.stderr).To(ContainSubstring("version 2 by moussa is in force"))
		Expect(o.stderr).To(ContainSubstring("whether your publication was version 1"))
		Expect(e.current().Document).To(Equal(other))
	})

	It("reports a conflict after lost answers when the next version is another's", func() {
		e.faults = []fault{{}}
		e.beforePublish = func(v *api.ConfigView) { *v = api.ConfigView{Version: 1, Document: other, Author: "moussa"} }
		o := publish()
		Expect(o.code).To(Equal(operator.ExitConflict))
		Expect(e.publications()).To(HaveLen(2))
	})

	It("fails without change while the log is out", func() {
		down := fault{reply: logDown}
		e.faults = []fault{down, down, down, down, down}
		o := publish()
		Expect(o.code).To(Equal(operator.ExitFailure))
		Expect(o.stderr).To(ContainSubstring("wait until the platform's log is back"))
	})

	It("names who published in between and never overwrites", func() {
		e.view = api.ConfigView{Version: 3, Document: strings.Replace(document, "5s", "7s", 1), Author: "awa"}
		e.beforePublish = rival
		o := publish()
		Expect(o.code).To(Equal(operator.ExitConflict))
		Expect(o.stderr).To(ContainSubstring("version 5 by moussa was published after version 3"))
		Expect(o.stderr).To(ContainSubstring("in between:\n  ~ class confirm targets.answered_within: 7s -> 9s"))
		Expect(o.stderr).To(ContainSubstring("against version 5:\n  ~ class confirm targets.answered_within: 9s -> 5s"))
		Expect(o.stderr).To(ContainSubstring("publish --base 5 -"))
		Expect(e.current().Document).To(Equal(other))
	})

	It("refuses a base that was superseded before", func() {
		rival(&e.view)
		o := publish("--base", "3")
		Expect(o.code).To(Equal(operator.ExitConflict))
		Expect(e.publications()).To(BeEmpty())
	})

	It("takes the base from the line that targets prints, and doesn't publish the line", func() {
		rival(&e.view)
		e.view.Author = "awa"
		shown := run(e.URL, "targets").stdout
		path := filepath.Join(GinkgoT().TempDir(), "doc.yaml")
		Expect(os.WriteFile(path, []byte(strings.Replace(shown, "9s", "7s", 1)), 0o600)).To(Succeed())
		Expect(run(e.URL, "publish", path).code).To(Equal(operator.ExitOK))
		Expect(e.publications()[0].Base).To(BeEquivalentTo(5))
		Expect(e.current().Document).To(Equal(strings.Replace(document, "5s", "7s", 1)))
		Expect(run(e.URL, "publish", path).code).To(Equal(operator.ExitOK))
		e.set(func() { e.view.Version, e.view.Document = 7, other })
		Expect(run(e.URL, "publish", path).code).To(Equal(operator.ExitConflict))
		Expect(e.publications()).To(HaveLen(1))
	})

	It("waits for entry VMs that lag", func() {
		e.inForceAfter = 4
		Expect(publish().code).To(Equal(operator.ExitOK))
	})

	It("names the entry VMs that still lag at the end", func() {
		e.inForceAfter = 1 << 30
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
