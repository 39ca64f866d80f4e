package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

const (
	// firstEra is the era of a log that was never restored from a backup.
	firstEra = 1
	// consultTime is how long a node that starts with a restored log waits for a peer's
	// word on the configuration. Peers learn of it and send to it within a second.
	consultTime = 1500 * time.Millisecond
	// configFetchSpread bounds the random delay before the first fetch of a configuration,
	// because a node may have many peers that lack it.
	configFetchSpread = 100 * time.Millisecond
	// minConfigFetchDelay and maxConfigFetchDelay bound the delay after a fetch that failed.
	minConfigFetchDelay = 250 * time.Millisecond
	maxConfigFetchDelay = 16 * time.Second
)

// holdsProof reports whether the node can't know yet that a configuration which the log proves
// to be current is not older than the one that its peers have in force: the node has just
// started, and the log, which is in an era, was restored from a backup.
func (s *state) holdsProof(era int64, now time.Duration) bool {
	if s.configReadAt == 0 {
		s.configReadAt = now
	}
	if era <= firstEra || now-s.configReadAt >= consultTime {
		s.peersConsulted.Store(true)
	}
	return !s.peersConsulted.Load()
}

// confirmConfig records that a peer has no later configuration in force, and releases the proof
// that was held.
func (s *state) confirmConfig() {
	if s.peersConsulted.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peersConsulted.Store(true)
	s.configVerifiedAt.Store(int64(s.logProvedAt))
}

// version returns the version of the configuration in force; 0 for none.
func (s *state) version() int64 {
	if c := s.View().Config; c != nil {
		return c.Version
	}
	return 0
}

// confirmedVersion is version if the node may tell it to peers as the latest one that it could
// learn of, else 0.
func (s *state) confirmedVersion() int64 {
	if !s.peersConsulted.Load() {
		return 0
	}
	return s.version()
}

// configInForce returns the record of the configuration in force, which must not be changed;
// nil for none.
func (s *state) configInForce() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configRecord
}

// errNotLater is returned for a peer's configuration that is not later than the one in force.
var errNotLater = errors.New("the configuration is not later than the one in force")

// applyPeerConfig puts the configuration in force whose record a peer gave. It fails if that
// can't be decoded or is not later than the present one.
func (s *state) applyPeerConfig(record []byte, peer string) error {
	c, err := s.decoder.Config(record)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.replaceConfig(c, record, "from", peer) {
		return errors.Wrapf(errNotLater, "version %d", c.Version)
	}
	s.publish()
	return nil
}

// configFetch governs the fetches of a later configuration from peers: one at a time, with
// backoff, and only once the log is proved to lack it. It is safe for concurrent use.
type configFetch struct {
	mu sync.Mutex
	// behind is the version in force when a peer first told a later one, at heardAt by the
	// boot clock.
	behind  int64
	heardAt time.Duration
	// notBefore is the earliest time of the next fetch, delay the latest backoff.
	notBefore, delay time.Duration
	running          bool
}

// begin reports whether to fetch a configuration now, at a time of the boot clock at which a peer
// has a later one in force than version. provedAt is a time as of which the log holds nothing
// later than version; urgent says that this need not be proved.
func (c *configFetch) begin(now time.Duration, version int64, provedAt time.Duration, urgent bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heardAt == 0 || c.behind != version {
		c.behind, c.heardAt, c.delay = version, now, 0
		c.notBefore = now + rand.N(configFetchSpread)
	}
	// A peer had a later version before heardAt, so a log that is complete would hold it.
	if c.running || now < c.notBefore || provedAt <= c.heardAt && !urgent {
		return false
	}
	c.running = true
	return true
}

// end records the end of a fetch.
func (c *configFetch) end(now time.Duration, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = false
	if failed {
		c.delay = min(maxConfigFetchDelay, max(minConfigFetchDelay, 2*c.delay))
		c.notBefore = now + c.delay
	}
}

// noteConfigVersion handles the version of the configuration that a peer has in force; 0 if it
// tells none. It does not wait for a fetch.
func (n *Node) noteConfigVersion(peerID string, version int64) {
	// The proof is read before the version, which is then at least as late as the proved one.
	provedAt := n.state.configProvedAt()
	own := n.state.version()
	switch {
	case version == 0 || own == 0:
		return
	case version <= own:
		n.state.confirmConfig()
		return
	}
	if !n.configFetch.begin(bootclock.Now(), own, provedAt, !n.state.peersConsulted.Load()) {
		return
	}
	go n.fetchConfig(peerID, version)
}

// fetchConfig takes over the configuration of a peer that has said that it has a version in force.
func (n *Node) fetchConfig(peerID string, version int64) {
	err := n.takeConfig(peerID)
	n.configFetch.end(bootclock.Now(), err != nil)
	if err != nil {
		n.count("config.fetch_failed")
		n.logger.Warn(decisions.ConfigFetchFailed, "peer", peerID, "told", version, "version", n.state.version(), "error", err)
		return
	}
	n.count("config.from_peer")
}

// takeConfig fetches the configuration of a peer and puts it in force.
func (n *Node) takeConfig(peerID string) error {
	peers := n.peers.Peers()
	i := slices.IndexFunc(peers, func(p relay.Peer) bool { return p.ID == peerID })
	if i < 0 {
		return errors.New("the peer is not reachable")
	}
	record, err := n.configClient.Fetch(context.Background(), peers[i])
	if err != nil {
		return err
	}
	return n.state.applyPeerConfig(record, peerID)
}
