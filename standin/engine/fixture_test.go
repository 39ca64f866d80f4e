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

// testReplica is the replica that the specs form.
const (
	testReplica    = "r1"
	testGeneration = 1024
)

// hangGuard ends a request that would never end; no verdict depends on it.
const hangGuard = time.Minute

// guarded returns a context that ends with the spec or the guard.
func guarded() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), hangGuard)
	DeferCleanup(cancel)
	return ctx
}

// vm is an engine VM without delays, on a clock that the spec moves.
type vm struct {
	service  *engine.Service
	address  string
	upstream *porthttp.Upstream
	clock    *atomic.Int64
	stop     func()
}

// start runs an engine VM for the length of one spec.
func start(id port.VMID, change func(*engine.Settings)) *vm {
	clock := &atomic.Int64{}
	settings := engine.Settings{
		VM: id, ChecksFencing: true, Slots: 2, MaxQueue: 2, LoadLag: time.Second,
		CachePrefixes: 4, CacheLag: time.Second,
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

// unchanged keeps the settings of start.
func unchanged(*engine.Settings) {}

// order returns an order about the test's replica.
func order(verb port.OrderVerb, generation int64, rank int, members ...*vm) port.Order {
	o := port.Order{Verb: verb, Replica: testReplica, Generation: generation, Model: "m", Rank: rank}
	for _, m := range members {
		o.Members = append(o.Members, m.address)
	}
	return o
}

// join makes VMs the members of the test's replica and waits until they serve.
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

// ask returns a request to the test's replica.
func ask(prompt string) port.GenerateRequest {
	return port.GenerateRequest{
		RequestID: "q1", Replica: testReplica, Generation: testGeneration, Prompt: prompt, MaxTokens: 1000, Seed: 7,
	}
}

// generate sends a request and returns all chunks and the end of the stream.
func (m *vm) generate(req port.GenerateRequest) ([]port.Chunk, error) {
	stream, err := m.upstream.Generate(guarded(), m.address, req)
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

// open starts a request that stalls after one chunk.
func (m *vm) open(req port.GenerateRequest) *porthttp.Stream {
	GinkgoHelper()
	Expect(m.service.Faults.Set(`{"stall_next":1,"break_after":1}`)).To(Succeed())
	stream, err := m.upstream.Generate(guarded(), m.address, req)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stream.Close)
	_, err = stream.Next()
	Expect(err).NotTo(HaveOccurred())
	return stream
}
