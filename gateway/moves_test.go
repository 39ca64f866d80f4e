package gateway

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/exchange"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// streamProtocol is a Protocol whose upstreams sign a response with status 200.
type streamProtocol struct{ plainProtocol }

func (streamProtocol) Encode(*Request, Attempt) *exchange.Request {
	return &exchange.Request{Method: http.MethodPost, Target: "/", Host: "h"}
}

func (streamProtocol) Classify(status int, _ http.Header) ResponseInfo {
	return ResponseInfo{NotRun: status == http.StatusServiceUnavailable, Signed: true, Stream: true}
}

// respond returns the address of an upstream that answers each connection with the
// response.
func respond(response string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				// The test sees that the response is missing if the write fails.
				_, _ = c.Read(make([]byte, 1<<10))
				_, _ = c.Write([]byte(response))
				time.Sleep(time.Second)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against answers that the node itself breaks off: an attempt at a silent upstream
// was ended before it was known that the request could go on elsewhere.
var _ = Describe("An attempt at a silent replica", func() {
	const (
		head    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		end     = "0\r\n\r\n"
		refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	)
	// chunk returns data in wire format.
	chunk := func(data string) string { return strconv.FormatInt(int64(len(data)), 16) + "\r\n" + data + "\r\n" }
	beginning := head + chunk("id: 3\ndata: abc\n\n")
	var (
		n *Node
		f *forwarder
		a *movableAttempt
	)
	// run starts an attempt at the first of two replicas; the other one has the address.
	run := func(other string, retries float64) {
		n = New(Settings{Node: "n", Bounds: Bounds{RetrySlack: retries * minBudgetNodes / retryBudgetShare, RetryWindow: 10 * time.Second}},
			Dependencies{Protocol: streamProtocol{}, Log: awayLog{}}, slog.New(slog.DiscardHandler))
		c := fleet.NewConfig(1, nil)
		c.Services = map[string]fleet.Service{"llm": {Name: "llm", Engine: &fleet.Engine{Slots: 1, Models: []fleet.Model{{Name: "m", Size: 1}}}}}
		n.state.builder.SetConfig(c)
		for id, address := range map[string]string{"a": "192.0.2.1:1", "b": other} {
			n.state.builder.Put(fleet.VM{ID: id, Service: "llm", Model: "m", Slots: 1, Address: address,
				Member: fleet.Membership{Replica: "r-" + id, Generation: 1, State: fleet.MemberOpen}})
		}
		n.state.publish()
		f = &forwarder{node: n, view: n.state.View(), req: &Request{Model: "m"}, service: c.Services["llm"], sends: 1, deadline: time.Now().Add(time.Minute),
			route: fleet.Route{Kind: fleet.KindStream, Resumable: true, MaxAttempts: 2}}
		b := n.state.View().Targets("llm", "m")[1]
		Expect(b.ID).To(Equal("b"))
		t, e := f.assign(context.Background(), []string{b.InstanceKey()}, false)
		Expect(e).To(BeNil())
		f.exclude = []string{t.assignment.Target.InstanceKey()}
		a = f.startMovable(context.Background(), t)
	}
	// goesOn expects that the attempt goes on and counts at no other replica.
	goesOn := func() {
		GinkgoHelper()
		Expect(a.try.ctx.Err()).NotTo(HaveOccurred())
		Expect(n.balancer.LocalLoads()).To(Equal(map[string]dispatch.Load{"a": {InFlight: 1}}))
		Expect(a.next).To(BeNil())
	}
	move := func() bool { return n.runningAttempts.move(a, errSilent) }
	// waitForMove waits for the move in progress.
	waitForMove := func() {
		GinkgoHelper()
		Eventually(func() bool {
			n.runningAttempts.mu.Lock()
			defer n.runningAttempts.mu.Unlock()
			return a.moving == nil
		}, 3*time.Second).Should(BeTrue())
	}

	It("goes on while no retry is left in the budget", func() {
		run("192.0.2.1:1", 0)
		Expect(move()).To(BeFalse())
		goesOn()
	})

	It("goes on while no other replica has room, and takes no retry", func() {
		run("192.0.2.1:1", 1)
		taken, e := f.assign(context.Background(), f.exclude, false)
		Expect(e).To(BeNil())
		Expect(move()).To(BeFalse())
		taken.end(n.balancer)
		goesOn()
		Expect(f.takeRetry()).To(BeTrue())
	})

	It("goes on if the other replica refuses the request", func() {
		run(respond(refusal), 1)
		Expect(move()).To(BeTrue())
		waitForMove()
		goesOn()
		Expect(a.moves.verdict).To(Equal(verdict.NotRun))
	})

	// The head of an answer promises no event of it.
	DescribeTable("goes on if the other replica answers with no event that continues the stream", func(answer string) {
		run(respond(answer), 1)
		f.relayedPosition.Store(&position{lastID: "2", events: 2, relayed: true})
		Expect(move()).To(BeTrue())
		waitForMove()
		goesOn()
		Expect(a.moves.verdict).To(Equal(verdict.MayHaveRun))
	},
		Entry("but an empty rest", head+end),
		Entry("but a comment", head+chunk(": wait\n\n")+end),
		Entry("but breaks off within an event", head+chunk("id: 3")),
		Entry("but breaks off after its head", head),
		Entry("but an error without an id", head+chunk("data: failed\n\n")+end),
		Entry("but a later event", head+chunk("id: 4\ndata: x\n\n")+end),
		Entry("but events that were relayed before", head+chunk("id: 2\ndata: x\n\n")+end),
	)

	It("ends once the other replica has begun to answer", func() {
		run(respond(beginning), 1)
		f.relayedPosition.Store(&position{lastID: "2", events: 2, relayed: true})
		Expect(move()).To(BeTrue())
		waitForMove()
		Expect(context.Cause(a.try.ctx)).To(MatchError(errSilent))
		f.endMovable(a, true)
		Expect(f.next.assignment.Target.ID).To(Equal("b"))
		Expect(f.sends).To(Equal(2))
		rest, err := io.ReadAll(io.LimitReader(f.next.resp, 17))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(Equal("id: 3\ndata: abc\n\n"), "the first event is lost")
		f.dropNext()
	})

	It("leaves nothing counted at the other replica if it ends well during a move", func() {
		run(respond(""), 1)
		Expect(move()).To(BeTrue())
		f.endMovable(a, false)
		Expect(f.next).To(BeNil())
		goesOn()
	})

	It("is moved also after its replica has left the view", func() {
		run(respond(beginning), 1)
		f.relayedPosition.Store(&position{lastID: "2", events: 2, relayed: true})
		n.state.builder.Remove("a")
		n.state.publish()
		n.moveFromSilent(time.Now().Add(time.Minute))
		waitForMove()
		Expect(a.next).NotTo(BeNil())
		f.endMovable(a, false)
	})
})
