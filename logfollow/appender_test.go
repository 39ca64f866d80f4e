package logfollow

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

func TestLogfollow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Logfollow Suite")
}

// Guards against a claim that is taken for not appended, and so is never released,
// although it may still appear on the log.
var _ = Describe("A record that the log does not confirm in time", func() {
	errLost := errors.New("the response was lost")

	DescribeTable("is reported as not appended only if no append of it may have had an effect",
		func(results []error, notAppended bool) {
			now := time.Unix(0, 0)
			a := &appender{stream: "s"}
			r := record.Record{ID: "r", Release: &record.CallRelease{Key: "k", Attempt: "a"}}
			Expect(a.enqueue(AppendRecord{Stream: "s", Record: r, From: "sender", Deadline: now.Add(time.Minute)})).To(Succeed())
			for _, err := range results {
				now = now.Add(2 * maxAppendRetryDelay)
				Expect(a.canSend(now)).To(BeTrue())
				Expect(a.nextEntry(now)).NotTo(BeEmpty())
				a.handleResult(now, err)
			}
			Expect(a.expire(now.Add(time.Hour))).To(ConsistOf(kernel.Send{
				To: "sender", Msg: AppendAbandoned{Stream: "s", Record: r, NotAppended: notAppended},
			}))
		},
		Entry("never sent", nil, true),
		Entry("refused", []error{port.ErrNotAppended}, true),
		Entry("refused twice", []error{port.ErrRateLimited, port.ErrNotAppended}, true),
		Entry("lost", []error{errLost}, false),
		Entry("refused, then lost", []error{port.ErrNotAppended, errLost}, false),
		Entry("lost, then refused", []error{errLost, port.ErrNotAppended}, false),
		Entry("lost, then refused by the rate limit", []error{errLost, port.ErrRateLimited}, false),
		Entry("confirmed", []error{nil}, false),
	)
})
