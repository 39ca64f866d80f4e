package gateway

import (
	"fmt"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/quorum"
	"github.com/tamarackcleat/tamarackcleat/slowstart"
)

// versionDecoder decodes a configuration that is its version in decimal digits.
type versionDecoder struct{ jsonDecoder }

func (versionDecoder) Config(data []byte) (*fleet.Config, error) {
	var version int64
	_, err := fmt.Sscan(string(data), &version)
	return fleet.NewConfig(version, nil), err
}

// Guards against a configuration that a restored log takes back, and against fetches between nodes
// while the log brings each configuration by itself.
var _ = Describe("A configuration that a peer has in force", func() {
	const second, first = time.Second, firstEra
	var s *state
	read := func(era int64, value string, at time.Duration) {
		s.applyConfig(keyed.Batch{Era: era, Records: []keyed.Record{{Key: "config", Value: []byte(value)}}, SentAt: at})
	}
	expectTold := func(confirmed, starting int64) {
		GinkgoHelper()
		c, st := s.toldVersions()
		Expect([]int64{c, st}).To(Equal([]int64{confirmed, starting}))
	}
	BeforeEach(func() {
		s = newState(versionDecoder{}, Streams{ConfigKey: "config"}, slog.New(slog.DiscardHandler))
	})

	It("is fetched only once the log is proved to lack it, one at a time and with backoff", func() {
		var c configFetch
		Expect(c.begin(10*second, 1, 10*second, false)).To(BeFalse())
		Expect(c.begin(11*second, 1, 10*second, false)).To(BeFalse())
		Expect(c.begin(12*second, 2, 12*second, false)).To(BeFalse(), "the log has brought a later one")
		Expect(c.begin(13*second, 2, 12*second+1, false)).To(BeTrue())
		Expect(c.begin(13*second, 2, 13*second, false)).To(BeFalse(), "one is running")
		c.end(13*second, true)
		Expect(c.begin(13*second, 2, 13*second, false)).To(BeFalse())
		Expect(c.begin(13*second+minConfigFetchDelay, 2, 13*second, false)).To(BeTrue())
	})

	It("is not put in force if it can't be decoded or is not later", func() {
		read(first, "2", second)
		for _, record := range []string{"x", "1", "2"} {
			Expect(s.applyPeerConfig([]byte(record), "p")).NotTo(Succeed(), record)
			Expect(s.version()).To(BeEquivalentTo(2))
		}
		Expect(s.applyPeerConfig([]byte("3"), "p")).To(Succeed())
		read(first+1, "1", second)
		Expect(s.version()).To(BeEquivalentTo(3))
		Expect(s.configInForce()).To(BeEquivalentTo("3"))
	})

	It("is waited for by a node that starts with a restored log, for a limited time", func() {
		s.peersConsulted.Store(false)
		read(first+1, "1", second)
		Expect(s.configProvedAt()).To(BeZero())
		expectTold(0, 1)
		s.configReadAt -= consultTime
		read(first+1, "1", 2*second)
		Expect(s.configProvedAt()).To(Equal(2 * second))
		expectTold(1, 0)
	})

	It("is not waited for once all registered nodes are known to have just started", func() {
		n := &Node{id: "a/1", state: s, coldStart: slowstart.New("a", &quorum.Quorum{}), startingNodes: map[string]bool{}}
		s.peersConsulted.Store(false)
		read(first+1, "3", second)
		n.registerNode("b/1")
		n.noteStartingVersion("b/2", 3)
		Expect(s.configProvedAt()).To(BeZero(), "not all registrations are read")
		n.registerNode("c/1")
		n.Registered()
		n.noteStartingVersion("b/2", 3)
		n.noteStartingVersion("c/2", 0)
		n.noteStartingVersion("c/2", 4)
		Expect(s.configProvedAt()).To(BeZero(), "one is not known to have started")
		n.noteStartingVersion("c/2", 2)
		Expect(s.configProvedAt()).To(Equal(second))
		expectTold(3, 0)
	})
})
