package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against requests that reach an upstream which withdrew while the connection was
// being opened.
var _ = Describe("A request that is not admitted", func() {
	refused := errors.New("withdrawn")

	It("is not sent, and its connection stays usable", func() {
		u := serve(func(_ int, r *http.Request) string { return response(r.Header.Get(idHeader), "x") })
		p := NewPool(Options{DialTimeout: time.Second})
		admitted := error(nil)
		connected := int32(0)
		send := func(id string) error {
			r := request(id)
			r.Admit = func() error {
				Eventually(u.conns.Load).Should(BeNumerically(">", 0))
				connected = u.conns.Load()
				return admitted
			}
			resp, err := p.Do(context.Background(), u.address(), r)
			if err == nil {
				_, err = io.Copy(io.Discard, resp)
				resp.Close()
			}
			return err
		}
		admitted = refused
		err := send("1")
		Expect(err).To(MatchError(refused))
		Expect(errors.Is(err, ErrNotSent)).To(BeTrue())
		Expect(connected).To(BeNumerically("==", 1), "it was asked before the connection was there")
		Expect(u.requests.Load()).To(BeZero())

		admitted = nil
		Expect(send("1")).To(Succeed())
		admitted = refused
		Expect(errors.Is(send("2"), ErrNotSent)).To(BeTrue())
		admitted = nil
		Expect(send("3")).To(Succeed())
		Expect(u.requests.Load()).To(BeNumerically("==", 2))
		Expect(u.conns.Load()).To(BeNumerically("==", 1))
	})
})
