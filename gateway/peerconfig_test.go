package gateway

import (
	"fmt"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/keyed"
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
		Expect(s.confirmedVersion()).To(BeZero())
		s.configReadAt -= consultTime
		read(first+1, "1", 2*second)
		Expect(s.configProvedAt()).To(Equal(2 * second))
		Expect(s.confirmedVersion()).To(BeEquivalentTo(1))
	})
})
