package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/standin/plainservice"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

// heldService is a plain service that ends the HTTP handler of a call only when
// the spec closes release. By then, once callDone is closed, the service no longer
// counts the call as running, so that Leave doesn't wait for it, but the answer
// isn't written to the connection yet.
type heldService struct {
	*plainservice.Service
	callDone, release chan struct{}
}

// ServeHTTP implements http.Handler.
func (g *heldService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.Service.ServeHTTP(w, r)
	if r.URL.Path == "/v1/call" {
		close(g.callDone)
		<-g.release
	}
}

var _ = Describe("a VM that is told to stop", func() {
	It("writes the answer to a call in flight before it closes its connections", func() {
		ctx := context.Background()
		vm := &heldService{
			Service:  plainservice.New(plainservice.DefaultSettings("p")),
			callDone: make(chan struct{}), release: make(chan struct{}),
		}
		l, err := listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		running, stop := context.WithCancel(ctx)
		defer stop()
		stopped := make(chan error, 1)
		go func() { stopped <- serveVM(running, l, vm) }()
		upstream := porthttp.NewUpstream(nil)
		address := l.Addr().String()
		answered := make(chan error, 1)
		go func() {
			_, err := upstream.Call(ctx, address, port.CallRequest{RequestID: "r", IdempotencyKey: "k", Body: json.RawMessage(`{}`)})
			answered <- err
		}()
		Eventually(vm.callDone, "10s").Should(BeClosed())
		stop()
		Eventually(func() error {
			conn, err := net.Dial("tcp", address)
			if err == nil {
				conn.Close()
			}
			return err
		}, "10s").Should(HaveOccurred())
		Expect(stopped).NotTo(Receive())
		close(vm.release)
		Eventually(answered, "10s").Should(Receive(BeNil()))
		Eventually(stopped, "10s").Should(Receive(BeNil()))
	})
})

var _ = DescribeTable("the flags of the weight store need complete models and a valid rate", func(text, rate string, valid bool) {
	list, err := parseModelList([]string{text}, rate)
	Expect(err == nil).To(Equal(valid))
	if valid {
		Expect(list).To(Equal(port.ModelList{
			BytesPerSecond: 2_000_000_000,
			Models:         []port.Model{{Name: "m", VMsPerReplica: 2, WeightBytes: 14_000_000_000}},
		}))
	}
},
	Entry("with units", "m=2:14GB", "2GB", true),
	Entry("without a size", "m=2", "2GB", false),
	Entry("with a number of VMs that is not a number", "m=x:14GB", "2GB", false),
	Entry("with a bad rate", "m=2:14GB", "fast", false),
)
