// Package callerlimit bounds what the callers of one listener hold: connections, and
// the bytes of heads and bodies in progress. An Account counts all of it. Connections come
// from the listener that Account.Listen returns; Account.Attach makes a server report the
// progress of its requests.
//
// The package guarantees that
//   - bytes are counted before they are read and given back when the request or the
//     connection ends, on every path;
//   - the account never holds more than its limits, but for one connection that was
//     accepted and waits for a place;
//   - when the account is full, the connections that have sent least for longest give way:
//     first those with an incomplete request or none, then idle ones, which are spared for
//     up to graceTime while there are incomplete requests that are too young to give way. A
//     connection whose request was read whole gives way only if its caller does not read the
//     answer;
//   - a connection gives way no sooner than graceTime after its last request began or ended;
//   - a connection that gives way in the middle of a request gets an answer that the
//     request has not run, where it can still be read.
package callerlimit

import (
	"context"
	"sync"
	"time"
)

// Limits are the limits of an account.
type Limits struct {
	// Connections is the largest number of connections.
	Connections int
	// Bytes is the largest sum of the bytes that connections, heads and bodies hold.
	Bytes int64
}

const (
	// ConnectionBytes is what a connection without a request counts. The resident memory
	// grew by 24 to 31 KB for each of 1,000 kept connections (stack, buffers, state and
	// garbage); see docs/design/caller-limits.md.
	ConnectionBytes = 32 << 10
	// headCost is what one byte of a request's head counts: it is held in the buffer of a
	// line and in the decoded fields.
	headCost = 2
	// graceTime is how long a connection can't be made to give way after it was accepted and
	// after each step of its requests. Callers send a request at once; this allows for one
	// lost packet (200 ms) and a busy processor.
	graceTime = 500 * time.Millisecond
	// unreadGrace is how long a write of an answer may wait for the caller to read before
	// the connection can be made to give way.
	unreadGrace = 3 * time.Second
	// slowBytes is the number of bytes in two windows below which an incomplete request
	// counts as one that hardly sends, and gives way before idle connections.
	slowBytes = 4 << 10
	// windowTime is the length of the windows in which the bytes of a connection are
	// counted.
	windowTime = time.Second
	// roomWait is how long a request waits for bytes that connections give back that were
	// made to give way, and roomPoll how often it checks.
	roomWait = time.Second
	roomPoll = 5 * time.Millisecond
	// A new connection makes no further one give way while more than one in endingPart,
	// and at least minEnding, are about to be closed: handlers take some milliseconds to
	// answer, and connections would be ended that nobody needs the places of.
	endingPart = 10
	minEnding  = 4
	// answerLinger is how long a connection that gave way in a body stays open after its
	// handler has ended, so that the caller can read the answer. The server itself would
	// keep it for 500 ms.
	answerLinger = 50 * time.Millisecond
	// stopGrace is how long an incomplete request may stay without an end once the process
	// stops.
	stopGrace = 2 * time.Second
	// pressureTime is how long after a connection had to wait for a place the answers
	// still end their connections.
	pressureTime = time.Second
)

// Limits on the progress of the body of a request: at least progressBytes in each
// progressTime. progressTime is longer than the time that an idle connection may stay open by the
// platform's limits (15 s), and 20 s for a kilobyte is far below the slowest link.
const (
	progressTime  = 20 * time.Second
	progressBytes = 1 << 10
	// sweepInterval is how often the progress is checked.
	sweepInterval = time.Second
)

// Account counts what the callers of one or more listeners hold. It is safe for concurrent
// use.
type Account struct {
	limits Limits
	report *reporter
	// progressTime is the time in which a body must bring progressBytes.
	progressTime time.Duration

	mu            sync.Mutex
	used          int64
	conns         map[*Conn]struct{}
	pressureUntil time.Time
	stopping      bool
}

// NewAccount returns an account without connections. It reports by observe how often
// each cause took effect: see Observe. It checks the progress of bodies until ctx ends.
func NewAccount(ctx context.Context, limits Limits, observe Observe) *Account {
	return newAccount(ctx, limits, observe, progressTime)
}

func newAccount(ctx context.Context, limits Limits, observe Observe, progressTime time.Duration) *Account {
	a := &Account{limits: limits, report: newReporter(observe), progressTime: progressTime, conns: map[*Conn]struct{}{}}
	go a.sweep(ctx)
	return a
}

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }

// Stop says that the process is about to end: from now on incomplete requests and answers
// that are not read end after stopGrace, so that they can't keep the server from stopping.
func (a *Account) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
}

// Held returns the connections and bytes that are held now.
func (a *Account) Held() (connections int, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns), a.used
}

// underPressure reports whether a connection had to wait for a place within pressureTime.
func (a *Account) underPressure() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.pressureUntil)
}

// admit adds a connection that has waited for a time. If the account is full, it makes
// another one give way and reports false; the caller then tries again.
func (a *Account) admit(c *Conn, waited time.Duration) bool {
	a.mu.Lock()
	now := time.Now()
	if len(a.conns) < a.limits.Connections && a.used+ConnectionBytes <= a.limits.Bytes {
		a.conns[c] = struct{}{}
		a.used += ConnectionBytes
		c.phaseAt, c.lastByte, c.progressAt = now, now, now
		a.mu.Unlock()
		return true
	}
	a.pressureUntil = now.Add(pressureTime)
	var victim *Conn
	if a.ending() < max(minEnding, a.limits.Connections/endingPart) {
		victim, _ = a.victim(now, nil, waited < graceTime)
	}
	a.mu.Unlock()
	a.evict(victim)
	return false
}

// ending returns the number of connections that were made to give way and have not been
// closed. The account must be locked.
func (a *Account) ending() int {
	n := 0
	for c := range a.conns {
		if c.shed != "" {
			n++
		}
	}
	return n
}

// take counts n bytes of a request of c. If they don't fit, other connections give way. It
// reports false if there is still no room after roomWait, or if c has to give way itself.
func (a *Account) take(c *Conn, n int64, held *int64) bool {
	if n > a.limits.Bytes {
		return false
	}
	for began := time.Now(); ; time.Sleep(roomPoll) {
		waited := time.Since(began)
		ok, found := a.tryTake(c, n, held, waited < graceTime)
		if ok || !found || waited >= roomWait {
			return ok
		}
	}
}

// tryTake takes the bytes if they fit, and otherwise makes connections give way that hold
// what is missing. found reports whether bytes will be given back. patient is as in victim.
func (a *Account) tryTake(c *Conn, n int64, held *int64, patient bool) (ok, found bool) {
	a.mu.Lock()
	now := time.Now()
	if c.shed != "" || c.closed {
		a.mu.Unlock()
		return false, false
	}
	if a.used+n <= a.limits.Bytes {
		a.used += n
		*held += n
		a.mu.Unlock()
		return true, true
	}
	coming := a.coming()
	var victims []*Conn
	for a.used+n-coming > a.limits.Bytes {
		v, spared := a.victim(now, c, patient)
		found = found || spared
		if v == nil {
			break
		}
		victims = append(victims, v)
		coming += v.holds()
	}
	a.mu.Unlock()
	for _, v := range victims {
		a.evict(v)
	}
	return false, found || coming > 0
}

// coming returns the bytes of the connections that were made to give way and have not
// ended. The account must be locked.
func (a *Account) coming() int64 {
	sum := int64(0)
	for c := range a.conns {
		if c.shed != "" {
			sum += c.holds()
		}
	}
	return sum
}

// give gives bytes back that c holds.
func (a *Account) give(n int64, held *int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n = min(n, *held)
	*held -= n
	a.used -= n
}

// remove removes a closed connection and gives back all that it holds.
func (a *Account) remove(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.conns[c]; !ok {
		return
	}
	delete(a.conns, c)
	a.used -= c.holds()
	c.headBytes, c.bodyBytes, c.closed = 0, 0, true
}
