package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/standin/engine"
)

// The replica that the specs form, and its generation.
const (
	testReplica    = "r1"
	testGeneration = 1024
)

// hangTimeout ends a request that hangs, so that the spec fails instead of
// hanging too. No spec relies on it to pass.
const hangTimeout = time.Minute

// boundedContext returns a context that ends with the spec or after hangTimeout.
func boundedContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	DeferCleanup(cancel)
	return ctx
}

// vm is an engine VM that answers without delays and whose clock, in nanoseconds,
// is advanced by the spec.
type vm struct {
	service  *engine.Service
	address  string
	upstream *porthttp.Upstream
	clock    *atomic.Int64
	stop     func()
}

// startVM starts an engine VM with two slots and a queue of two requests, with
// its settings changed by change, and stops it when the spec ends.
func startVM(id port.VMID, change func(*engine.Settings)) *vm {
	clock := &atomic.Int64{}
	settings := engine.Settings{
		VM: id, ChecksFencing: true, Slots: 2, MaxQueue: 2, LoadLag: time.Second,
		MaxCachedPrefixes: 4, CacheLag: time.Second,
		Clock: func() time.Time { return time.Unix(0, clock.Load()) },
	}
	change(&settings)
	service := engine.New(settings)
	server := httptest.NewServer(service)
	DeferCleanup(func() {
		service.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return &vm{
		service:  service,
		address:  strings.TrimPrefix(server.URL, "http://"),
		upstream: porthttp.NewUpstream(nil),
		clock:    clock,
		stop:     server.CloseClientConnections,
	}
}

// keepSettings is a change for startVM that changes nothing.
func keepSettings(*engine.Settings) {}

// order returns an order to join or leave testReplica.
func order(verb port.OrderVerb, generation int64, rank int, members ...*vm) port.Order {
	o := port.Order{Verb: verb, Replica: testReplica, Generation: generation, Model: "m", Rank: rank}
	for _, m := range members {
		o.Members = append(o.Members, m.address)
	}
	return o
}

// join makes VMs the members of testReplica, the first as rank 0, and waits
// until all are ready.
func join(members ...*vm) {
	GinkgoHelper()
	for rank, m := range members {
		Expect(m.upstream.Order(context.Background(), m.address,
			order(port.OrderJoin, testGeneration, rank, members...))).To(Succeed())
	}
	for _, m := range members {
		Eventually(m.service.Report).Should(HaveField("State", port.EngineReady))
	}
}

// newRequest returns a request to testReplica.
func newRequest(prompt string) port.GenerateRequest {
	return port.GenerateRequest{
		RequestID: "q1", Replica: testReplica, Generation: testGeneration, Prompt: prompt, MaxTokens: 1000, Seed: 7,
	}
}

// generate sends a request and returns the chunks of its stream. The error is
// nil if the stream ended normally.
func (m *vm) generate(req port.GenerateRequest) ([]port.Chunk, error) {
	stream, err := m.upstream.Generate(boundedContext(), m.address, req)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var chunks []port.Chunk
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return chunks, nil
		}
		if err != nil {
			return chunks, err
		}
		chunks = append(chunks, chunk)
	}
}

// textOf joins the texts of chunks.
func textOf(chunks []port.Chunk) string {
	var b strings.Builder
	for _, c := range chunks {
		b.WriteString(c.Text)
	}
	return b.String()
}

// openStalled starts a request whose stream stalls after one chunk, so that the
// request keeps its slot.
func (m *vm) openStalled(req port.GenerateRequest) *porthttp.Stream {
	GinkgoHelper()
	Expect(m.service.Faults.SetJSON(`{"stall_next":1,"break_after":1}`)).To(Succeed())
	stream, err := m.upstream.Generate(boundedContext(), m.address, req)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stream.Close)
	_, err = stream.Next()
	Expect(err).NotTo(HaveOccurred())
	return stream
}
