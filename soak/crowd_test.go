package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

const (
	// crowdSize is the number of connections of a crowd, more than nodeDescriptors allow
	// to callers.
	crowdSize = 250
	// nodeMemoryMB and nodeDescriptors are the limits in the nodes' settings.
	nodeMemoryMB    = 284
	nodeDescriptors = 600
	// crowdStream is the stream of the seed's random numbers for crowds. They have their
	// own, so that a seed injects the same other faults with and without them.
	crowdStream = 77
)

// crowdStarts are what the connections of a crowd send before they stop, and stay open.
var crowdStarts = []string{
	"",
	"POST /once/a HTTP/1.1\r\nX-Long: " + strings.Repeat("a", 50<<10),
	strings.Repeat("\r\n", 100),
	"POST /once/a HTTP/1.1\r\nHost: " + host + "\r\nX-Tamarackcleat-Attempt-Id: crowd\r\nAuthorization: Token " + steadyKey +
		"\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("b", 200<<10),
	"POST /once/a HTTP/1.1\r\nHost: " + host + "\r\nX-Tamarackcleat-Attempt-Id: crowd\r\nAuthorization: Token " + steadyKey +
		"\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nc\r\n", 20<<10),
}

// sendCrowds lets crowds of callers that exceed the limits connect to one node after
// another for a period. It returns a function that waits for the end.
func (s *testSystem) sendCrowds(seed uint64, period time.Duration) (wait func()) {
	rng := rand.New(rand.NewPCG(seed, crowdStream))
	end := time.Now().Add(period)
	var running sync.WaitGroup
	running.Go(func() {
		defer GinkgoRecover()
		for time.Now().Before(end) {
			pause(rng, maxPause)
			s.crowd(s.randomNode(rng), minDuration+time.Duration(rng.Int64N(int64(maxFaultDuration))))
		}
	})
	return running.Wait
}

// crowd holds the connections of a crowd open for a duration.
func (s *testSystem) crowd(n *node, duration time.Duration) {
	defer s.faults.begin(fmt.Sprintf("crowd of %d callers that exceed the limits", crowdSize), n, false)()
	var members sync.WaitGroup
	for i := range crowdSize {
		members.Go(func() {
			conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", n.ip, callerPort), duration)
			if err != nil {
				return
			}
			// The node may close the connection at any time, so errors are expected.
			defer conn.Close()
			_ = conn.SetWriteDeadline(time.Now().Add(duration))
			_, _ = conn.Write([]byte(crowdStarts[i%len(crowdStarts)]))
			time.Sleep(duration)
		})
	}
	members.Wait()
}

// checkMemory checks that the processes that run at the end have kept the limit on memory.
func (c *checker) checkMemory() {
	for _, n := range c.system.nodes {
		n.mu.Lock()
		peak, err := n.PeakMemory()
		ended := n.HasExited()
		n.mu.Unlock()
		if err == nil && !ended && peak > nodeMemoryMB<<20 {
			c.addViolation("%s held %d MB of %d", n.name, peak>>20, nodeMemoryMB)
		}
	}
}
