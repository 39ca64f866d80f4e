package porthttp_test

import (
	"context"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
)

// errUnknown stands for any append error that leaves the effect open.
var errUnknown = errors.New("unknown effect")

// effect maps an append error to the one of three kinds that it is.
func effect(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, port.ErrRateLimited):
		return port.ErrRateLimited
	case errors.Is(err, port.ErrNotAppended):
		return port.ErrNotAppended
	}
	return errUnknown
}

var _ = Describe("the log client", func() {
	ctx := context.Background()

	DescribeTable("tells the effect of an append", func(address func() string, want error) {
		_, err := porthttp.NewLog("http://"+address(), nil).Append(ctx, "s", []byte(`{}`))
		if want == nil {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(effect(err)).To(Equal(want))
	},
		Entry("appended", serving(answer(200, "application/json", `{"offset":0}`)), nil),
		Entry("rate limit", serving(answer(429, "application/json", `{}`)), port.ErrRateLimited),
		Entry("refused dial", closedPort, port.ErrNotAppended),
		Entry("refused by word", serving(answer(503, "application/json", `{"appended":false}`)), port.ErrNotAppended),
		Entry("503 without word", serving(answer(503, "application/json", `{}`)), errUnknown),
		Entry("503 that says appended", serving(answer(503, "application/json", `{"appended":true}`)), errUnknown),
		Entry("500 with word", serving(answer(500, "application/json", `{"appended":false}`)), errUnknown),
		Entry("answer without offset", serving(answer(200, "application/json", `{}`)), errUnknown),
		Entry("answer cut off", serving(answer(200, "application/json", `{"offs`)), errUnknown),
		Entry("closed after the request", serving(hangUp), errUnknown),
		Entry("closed before a byte was read", acceptAndClose, errUnknown),
	)

	It("appends once when a reused connection breaks", func() {
		address, requests := breakSecond("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":0}")
		log := porthttp.NewLog("http://"+address, nil)
		_, err := log.Append(ctx, "s", []byte(`{}`))
		Expect(err).NotTo(HaveOccurred())
		_, err = log.Append(ctx, "s", []byte(`{}`))
		Expect(effect(err)).To(Equal(errUnknown))
		Expect(requests.Load()).To(BeEquivalentTo(2))
	})

	DescribeTable("checks what it reads", func(body string, good bool) {
		address, _ := serve(answer(200, "application/json", body))
		result, err := porthttp.NewLog("http://"+address, nil).Read(ctx, "s", 2, 0)
		Expect(err == nil).To(Equal(good))
		if good {
			Expect(result.Next).To(BeEquivalentTo(4))
		}
	},
		Entry("consecutive entries", `{"first":1,"next":4,"entries":[{"offset":2,"data":1},{"offset":3,"data":1}]}`, true),
		Entry("nothing new", `{"first":1,"next":4}`, true),
		Entry("truncated", `{"first":3,"next":4}`, true),
		Entry("a gap", `{"first":1,"next":4,"entries":[{"offset":3,"data":1}]}`, false),
		Entry("an entry below first", `{"first":3,"next":4,"entries":[{"offset":2,"data":1}]}`, false),
		Entry("an entry beyond next", `{"first":0,"next":2,"entries":[{"offset":2,"data":1}]}`, false),
		Entry("next below first", `{"first":3,"next":1}`, false),
	)

	It("reads the inventory", func() {
		address, _ := serve(answer(200, "application/json", `{"vms":[{"id":"a"}],"models":[{"name":"m"}],"bytes_per_second":5}`))
		inventory := porthttp.NewInventory("http://"+address, "http://"+address+"/", nil)
		vms, err := inventory.VMs(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(vms).To(HaveLen(1))
		models, err := inventory.Models(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(models.BytesPerSecond).To(BeEquivalentTo(5))
	})
})
