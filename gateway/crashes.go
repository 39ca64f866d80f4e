package gateway

import (
	"context"
	"encoding/hex"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/poison"
)

const (
	// crashProbeTimeout bounds the connection attempt that checks whether an upstream's
	// process has ended. A port without a process refuses at once.
	crashProbeTimeout = 100 * time.Millisecond
	// crashWatchTime is how long a connection to an upstream that broke an answer is
	// watched for its end.
	crashWatchTime = 200 * time.Millisecond
)

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
	if f.req.Body != nil {
		_, _ = f.req.Body.WriteTo(h)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// suspects returns what the request may crash an upstream by: the shared parts of its
// prompt and its whole content. The first call, before the request is sent, computes it.
func (f *forwarder) suspects() []string {
	if f.suspectIDs == nil {
		f.suspectIDs = append(f.suspectIDs, f.req.SharedParts...)
		f.suspectIDs = append(f.suspectIDs, poison.Content(f.fingerprint()))
	}
	return f.suspectIDs
}

// countCrash counts a crash that the request may have caused if the upstream's process has
// ended. A process that still accepts connections has not crashed; only its answer
// was lost. begun says that the answer had begun.
func (f *forwarder) countCrash(t fleet.Target, begun bool) {
	conn, err := f.node.dialCrashProbe(t)
	switch {
	case err == nil:
		go f.awaitCrash(t, conn, begun)
	case errors.Is(err, syscall.ECONNREFUSED):
		f.recordCrash(t, begun)
	}
}

// dialCrashProbe opens a connection that shows whether an upstream's process has ended, through
// another node if this one can connect to no upstream.
func (n *Node) dialCrashProbe(t fleet.Target) (net.Conn, error) {
	if !n.path.lost() {
		return n.dialWithin(t.Address, crashProbeTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), tunnelTimeout)
	defer cancel()
	conn, _, err := n.openTunnel(ctx, t, time.Now().Add(crashWatchTime))
	return conn, err
}

// awaitCrash records a crash if an upstream that has accepted a connection ends it and
// then accepts no other one: a process that ends may close its port last.
func (f *forwarder) awaitCrash(t fleet.Target, conn net.Conn, begun bool) {
	// Errors in setting the deadline and in closing mean that the connection has ended.
	_ = conn.SetReadDeadline(time.Now().Add(crashWatchTime))
	n, err := conn.Read(make([]byte, 1))
	_ = conn.Close()
	if n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	again, err := f.node.dialCrashProbe(t)
	if err == nil {
		_ = again.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.recordCrash(t, begun)
	}
}

// recordCrash records that the request may have crashed an upstream.
func (f *forwarder) recordCrash(t fleet.Target, begun bool) {
	now := time.Now()
	crashes := 0
	f.node.updateParts(func(table *poison.Table) bool {
		table.RecordCrash(now, f.suspects(), crashID(t), begun)
		crashes = table.Crashes(poison.Content(f.fingerprint()))
		return true
	})
	f.node.logger.Warn(decisions.RequestCrashed, f.logFields("upstream", t.ID, "replica", t.Replica, "crashes", crashes, "begun", begun, "parts", f.req.SharedParts)...)
}

// crashID returns the identifier of the crash of an upstream. It differs between
// incarnations of the upstream: generations of a replica, boots of a plain service's VM.
func crashID(t fleet.Target) poison.CrashID {
	incarnation := t.Generation
	if incarnation == 0 {
		incarnation = t.Boot
	}
	return poison.CrashID(xxhash.Sum64String(t.ID + " " + strconv.FormatInt(incarnation, 10)))
}
