package gateway

import (
	"encoding/hex"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/quarantine"
	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// crashesAllowed is the number of upstreams that a request may crash
	// before no node sends it any more.
	crashesAllowed = 2
	// crashProbe bounds the question whether an upstream's process is gone; a
	// port without a process refuses at once.
	crashProbe = 100 * time.Millisecond
)

// crashes counts the upstreams that each request's content crashed, on this
// node and its peers.
type crashes struct {
	mu    sync.Mutex
	table quarantine.Table
}

func newCrashes() *crashes { return &crashes{table: quarantine.NewTable()} }

func (c *crashes) note(fingerprint string, life record.Position) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Crash(fingerprint, life)
	s, _ := c.table.Get(fingerprint)
	return s.Crashes
}

func (c *crashes) count(fingerprint string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, _ := c.table.Get(fingerprint)
	return s.Crashes
}

func (c *crashes) learn(suspects []quarantine.LocalSuspect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range suspects {
		c.table.Learn(s)
	}
}

func (c *crashes) recent() []quarantine.LocalSuspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Recent()
}

// fingerprint identifies a request's content whichever way it comes again.
func (f *flight) fingerprint() string {
	h := xxhash.New()
	for _, part := range []string{f.req.Method, f.req.Target, f.req.Host, f.team.Name, f.req.Model} {
		// Writing to a hash does not fail.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(f.req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// checkQuarantine refuses content that crashed too many upstreams.
func (f *flight) checkQuarantine() *verdict.Error {
	if n := f.node.crashes.count(f.fingerprint()); n >= crashesAllowed {
		return verdict.Refuse(verdict.ReasonQuarantined, "the same content crashed %d upstreams", n)
	}
	return nil
}

// noteCrash counts a crash if the upstream's process is gone. An answer that
// was lost on the way is none. A request that had brought events is not
// suspected: another one beside it crashed the upstream.
func (f *flight) noteCrash(t fleet.Target) {
	conn, err := net.DialTimeout("tcp", t.Address, crashProbe)
	if err == nil {
		// Nothing was sent on the connection.
		_ = conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	n := f.node.crashes.note(f.fingerprint(), lifeOf(t))
	f.node.logger.Warn(decisions.RequestCrashed, f.fields("upstream", t.ID, "replica", t.Replica, "crashes", n)...)
}

// lifeOf returns a number that tells one life of an upstream from another.
func lifeOf(t fleet.Target) record.Position {
	if t.Generation != 0 {
		return record.Position(t.Generation)
	}
	return record.Position(t.Boot)
}
