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
	// quarantineCrashes is the number of upstreams that a request's content may
	// crash; after that no node sends it again.
	quarantineCrashes = 2
	// crashProbeTimeout bounds the connection attempt that checks whether an
	// upstream's process has ended. A port without a process refuses at once.
	crashProbeTimeout = 100 * time.Millisecond
)

// crashTable counts the upstreams that each request content has crashed, as seen by
// this node and its peers. It is safe for concurrent use.
type crashTable struct {
	mu    sync.Mutex
	table quarantine.SuspectTable
}

func newCrashTable() *crashTable { return &crashTable{table: quarantine.NewTable()} }

func (c *crashTable) add(fingerprint string, incarnation record.Position) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RecordCrash(fingerprint, incarnation)
	s, _ := c.table.Get(fingerprint)
	return s.Crashes
}

func (c *crashTable) count(fingerprint string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, _ := c.table.Get(fingerprint)
	return s.Crashes
}

func (c *crashTable) merge(suspects []quarantine.LocalSuspect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range suspects {
		c.table.Merge(s)
	}
}

func (c *crashTable) recent() []quarantine.LocalSuspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Recent()
}

// fingerprint returns a hash of the request's content and team. If a caller tries
// again, the fingerprint is the same although the request id and the entry VM may
// differ.
func (f *forwarder) fingerprint() string {
	h := xxhash.New()
	for _, part := range []string{f.req.Method, f.req.Target, f.req.Host, f.team.Name, f.req.Model} {
		// Writing to a hash never fails.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(f.req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// checkQuarantine refuses a request whose content has crashed quarantineCrashes
// upstreams or more.
func (f *forwarder) checkQuarantine() *verdict.Error {
	if n := f.node.crashes.count(f.fingerprint()); n >= quarantineCrashes {
		return verdict.Refuse(verdict.ReasonQuarantined, "the same content crashed %d upstreams", n)
	}
	return nil
}

// countCrash counts a crash caused by the request if the upstream's process has
// ended. A process that still accepts connections has not crashed; only its answer
// was lost. Don't call countCrash for a request that has received events: another
// request of the same batch crashed the upstream.
func (f *forwarder) countCrash(t fleet.Target) {
	conn, err := net.DialTimeout("tcp", t.Address, crashProbeTimeout)
	if err == nil {
		// Nothing was sent on the connection, so an error in closing it is
		// irrelevant.
		_ = conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	n := f.node.crashes.add(f.fingerprint(), incarnationOf(t))
	f.node.logger.Warn(decisions.RequestCrashed, f.logFields("upstream", t.ID, "replica", t.Replica, "crashes", n)...)
}

// incarnationOf returns a number that differs between incarnations of an upstream:
// the generation of a replica, or the boot of a plain service's VM.
func incarnationOf(t fleet.Target) record.Position {
	if t.Generation != 0 {
		return record.Position(t.Generation)
	}
	return record.Position(t.Boot)
}
