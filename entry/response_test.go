package entry

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Guards against callers being told to send a request again, as with 429 and 503, although
// an upstream may have run it.
var _ = DescribeTable("The status of a failure", func(v verdict.Verdict, r verdict.Reason, want int) {
	e := verdict.New(v, r, "")
	Expect(httpStatus(e)).To(Equal(want))
	Expect(errorBody("r1", e).Error.Code).To(Equal(want))
},
	Entry("that ended a request at its deadline, after it was sent", verdict.MayHaveRun, verdict.ReasonDeadline, http.StatusGatewayTimeout),
	Entry("that ended a request at its deadline, before it was sent", verdict.NotRun, verdict.ReasonDeadline, http.StatusTooManyRequests),
	Entry("by an answer that breaks the protocol", verdict.MayHaveRun, verdict.ReasonBadAnswer, http.StatusBadGateway),
	Entry("for lack of an upstream", verdict.NotRun, verdict.ReasonNoReplica, http.StatusServiceUnavailable),
	Entry("of an upstream that refused the request", verdict.NotRun, verdict.ReasonUpstreamRefused, http.StatusServiceUnavailable),
)
