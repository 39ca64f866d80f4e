package porthttp_test

import (
	"context"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
)

// errUnknownOutcome stands for every error after which the entry may have been
// appended.
var errUnknownOutcome = errors.New("unknown outcome")

// errorKind returns port.ErrRateLimited, port.ErrNotAppended or errUnknownOutcome
// for the error of an append, and nil for no error.
func errorKind(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, port.ErrRateLimited):
		return port.ErrRateLimited
	case errors.Is(err, port.ErrNotAppended):
		return port.ErrNotAppended
	}
	return errUnknownOutcome
}

var _ = Describe("the log client", func() {
	ctx := context.Background()

	DescribeTable("returns ErrNotAppended or ErrRateLimited only if the entry was not appended", func(address func() string, want error) {
		_, err := porthttp.NewLog("http://"+address(), nil).Append(ctx, "s", []byte(`{}`))
		if want == nil {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(errorKind(err)).To(Equal(want))
	},
		Entry("appended", serverStarter(fixedResponse(200, "application/json", `{"offset":0}`)), nil),
		Entry("rate limit", serverStarter(fixedResponse(429, "application/json", `{}`)), port.ErrRateLimited),
		Entry("refused dial", closedPort, port.ErrNotAppended),
		Entry("503 that says not appended", serverStarter(fixedResponse(503, "application/json", `{"appended":false}`)), port.ErrNotAppended),
		Entry("503 that says nothing of the append", serverStarter(fixedResponse(503, "application/json", `{}`)), errUnknownOutcome),
		Entry("503 that says appended", serverStarter(fixedResponse(503, "application/json", `{"appended":true}`)), errUnknownOutcome),
		Entry("500 that says not appended", serverStarter(fixedResponse(500, "application/json", `{"appended":false}`)), errUnknownOutcome),
		Entry("response without an offset", serverStarter(fixedResponse(200, "application/json", `{}`)), errUnknownOutcome),
		Entry("truncated response", serverStarter(fixedResponse(200, "application/json", `{"offs`)), errUnknownOutcome),
		Entry("closed after the request", serverStarter(closeConnection), errUnknownOutcome),
		Entry("closed before a byte was read", acceptAndClose, errUnknownOutcome),
	)

	It("does not send an append again when a reused connection breaks", func() {
		address, requests := closeOnSecondRequest("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":0}")
		log := porthttp.NewLog("http://"+address, nil)
		_, err := log.Append(ctx, "s", []byte(`{}`))
		Expect(err).NotTo(HaveOccurred())
		_, err = log.Append(ctx, "s", []byte(`{}`))
		Expect(errorKind(err)).To(Equal(errUnknownOutcome))
		Expect(requests.Load()).To(BeEquivalentTo(2))
	})

	DescribeTable("accepts a read only if its offsets are consistent", func(body string, valid bool) {
		address, _ := startServer(fixedResponse(200, "application/json", body))
		result, err := porthttp.NewLog("http://"+address, nil).Read(ctx, "s", 2, 0)
		Expect(err == nil).To(Equal(valid))
		if valid {
			Expect(result.NextOffset).To(BeEquivalentTo(4))
		}
	},
		Entry("consecutive entries", `{"first":1,"next":4,"entries":[{"offset":2,"data":1},{"offset":3,"data":1}]}`, true),
		Entry("no new entries", `{"first":1,"next":4}`, true),
		Entry("truncated", `{"first":3,"next":4}`, true),
		Entry("a gap", `{"first":1,"next":4,"entries":[{"offset":3,"data":1}]}`, false),
		Entry("an entry below first", `{"first":3,"next":4,"entries":[{"offset":2,"data":1}]}`, false),
		Entry("an entry beyond next", `{"first":0,"next":2,"entries":[{"offset":2,"data":1}]}`, false),
		Entry("next below first", `{"first":3,"next":1}`, false),
	)

	It("reads the VM list and the models", func() {
		address, _ := startServer(fixedResponse(200, "application/json", `{"vms":[{"id":"a"}],"models":[{"name":"m"}],"bytes_per_second":5}`))
		inventory := porthttp.NewInventory("http://"+address, "http://"+address+"/", nil)
		vms, err := inventory.VMs(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(vms).To(HaveLen(1))
		models, err := inventory.Models(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(models.BytesPerSecond).To(BeEquivalentTo(5))
	})
})
