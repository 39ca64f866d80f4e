package callerlimit

import (
	"cmp"
	"context"
	"time"
)

// Causes for which a connection gives way, and names of their counters.
const (
	CauseSilent  = "silent_connection"
	CauseIdle    = "idle_connection"
	CauseHead    = "incomplete_head"
	CauseBody    = "incomplete_body"
	CauseSlow    = "slow_body"
	CauseUnread  = "unread_answer"
	CauseNoRoom  = "no_room"
	CauseWaiting = "accept_waited"
)

// Causes lists all causes.
var Causes = []string{CauseSilent, CauseIdle, CauseHead, CauseBody, CauseSlow, CauseUnread, CauseNoRoom, CauseWaiting}

// rank is the order in which connections give way; a lower one first.
type rank struct {
	class  int
	recent int64
	since  time.Time
}

// Classes of connections, in the order in which they give way.
const (
	classStalled = iota
	classIdle
	classSlow
	classKept
)

func (r rank) before(o rank) bool {
	return cmp.Or(cmp.Compare(r.class, o.class), cmp.Compare(r.recent, o.recent), r.since.Compare(o.since)) < 0
}

// victim marks the connection that gives way first, and returns it; nil if none may. If
// patient is set, it spares idle connections while there are incomplete requests that may
// give way within graceTime, and reports that: otherwise a crowd that connects again and
// again, none of whose requests is that old, would end the connections of everybody else. The
// account must be locked.
func (a *Account) victim(now time.Time, except *Conn, patient bool) (found *Conn, spared bool) {
	var first rank
	fresh := false
	for c := range a.conns {
		if c == except || c.shed != "" {
			continue
		}
		fresh = fresh || c.incomplete() && now.Sub(c.phaseAt) < graceTime
		if r := c.rank(now); r.class != classKept && (found == nil || r.before(first)) {
			found, first = c, r
		}
	}
	if found == nil {
		return nil, false
	}
	if patient && fresh && first.class == classIdle {
		return nil, true
	}
	found.shed = found.cause()
	return found, false
}

// incomplete reports whether the connection has brought no request, or a part of one.
func (c *Conn) incomplete() bool {
	return c.phase == head || c.phase == body || c.phase == idle && !c.answered
}

// rank returns the place of the connection in the order in which connections give way. The
// account must be locked.
func (c *Conn) rank(now time.Time) rank {
	c.roll(now)
	r := rank{class: classKept, recent: c.recent[0] + c.recent[1], since: c.lastByte}
	switch {
	case !c.writeAt.IsZero():
		if now.Sub(c.writeAt) >= unreadGrace {
			r.class = classStalled
		}
	case c.phase == running || now.Sub(c.phaseAt) < graceTime:
	case c.phase == idle && c.answered:
		r.class = classIdle
	case r.recent < slowBytes:
		r.class = classStalled
	default:
		r.class = classSlow
	}
	return r
}

// cause returns why the connection gives way. The account must be locked.
func (c *Conn) cause() string {
	switch {
	case !c.writeAt.IsZero():
		return CauseUnread
	case c.phase == idle && c.answered:
		return CauseIdle
	case c.phase == idle:
		return CauseSilent
	case c.phase == head:
		return CauseHead
	}
	return CauseBody
}

// evict ends a connection that was marked by victim. It does nothing if c is nil.
func (a *Account) evict(c *Conn) {
	if c == nil {
		return
	}
	a.report.add(c.shedCause())
	c.end()
}

// sweep ends the bodies that make too little progress, until ctx ends.
func (a *Account) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, c := range append(a.slow(now), a.holdingUp(now)...) {
				a.evict(c)
			}
			a.report.flush(now)
		}
	}
}

// holdingUp marks and returns the connections that keep a process from ending that stops.
func (a *Account) holdingUp(now time.Time) []*Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*Conn
	for c := range a.conns {
		incomplete := c.phase != idle && c.incomplete()
		unread := !c.writeAt.IsZero() && now.Sub(c.writeAt) >= unreadGrace
		if a.stopping && c.shed == "" && (unread || incomplete && now.Sub(c.phaseAt) >= stopGrace) {
			c.shed = c.cause()
			out = append(out, c)
		}
	}
	return out
}

// slow marks and returns the connections whose bodies make too little progress.
func (a *Account) slow(now time.Time) []*Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*Conn
	for c := range a.conns {
		if c.phase != body || c.shed != "" || !c.writeAt.IsZero() || now.Sub(c.progressAt) < a.progressTime {
			continue
		}
		if c.total-c.progressTotal < progressBytes {
			c.shed = CauseSlow
			out = append(out, c)
		}
		c.progressAt, c.progressTotal = now, c.total
	}
	return out
}
