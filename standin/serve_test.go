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

// gate holds the answer to a call back, after the service has forgotten the
// call, until the spec releases it.
type gate struct {
	*plainservice.Service
	forgotten, release chan struct{}
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.Service.ServeHTTP(w, r)
	if r.URL.Path == "/v1/call" {
		close(g.forgotten)
		<-g.release
	}
}

var _ = Describe("a VM that is told to stop", func() {
	It("writes the answer to a call in flight before it closes", func() {
		ctx := context.Background()
		vm := &gate{
			Service:   plainservice.New(plainservice.DefaultSettings("p")),
			forgotten: make(chan struct{}), release: make(chan struct{}),
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
			_, err := upstream.Call(ctx, address, port.CallRequest{RequestID: "r", Key: "k", Body: json.RawMessage(`{}`)})
			answered <- err
		}()
		Eventually(vm.forgotten, "10s").Should(BeClosed())
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

var _ = DescribeTable("models of the weight store", func(text, rate string, good bool) {
	list, err := modelList([]string{text}, rate)
	Expect(err == nil).To(Equal(good))
	if good {
		Expect(list).To(Equal(port.ModelList{
			BytesPerSecond: 2_000_000_000,
			Models:         []port.Model{{Name: "m", VMsPerReplica: 2, WeightBytes: 14_000_000_000}},
		}))
	}
},
	Entry("with units", "m=2:14GB", "2GB", true),
	Entry("without a size", "m=2", "2GB", false),
	Entry("without a count", "m=x:14GB", "2GB", false),
	Entry("with a bad rate", "m=2:14GB", "fast", false),
)
