package callertest_test

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds one connection attempt of a member of a crowd.
	dialTimeout = 2 * time.Second
	// redialPause is the pause before a member opens a connection again.
	redialPause = 10 * time.Millisecond
)

// behavior is what a member of a crowd does on one connection. It returns when the
// connection fails, or when it has sent all that it wants to send. The connection stays
// open then until the process under test closes it or the crowd is dispersed.
type behavior func(c net.Conn, requestStart string)

// crowd is a number of connections that misbehave.
type crowd struct {
	ended    chan struct{}
	endOnce  sync.Once
	members  sync.WaitGroup
	reopened atomic.Int64
}

// gather starts a crowd of crowdSize members, which are spread over the targets. If
// manySources is set, each member connects from one of 200 loopback addresses.
func gather(targets []*target, what behavior, manySources bool) *crowd {
	c := &crowd{ended: make(chan struct{})}
	attackEnd := time.Now().Add(attackTime)
	for i := range crowdSize {
		t := targets[i%len(targets)]
		dialer := &net.Dialer{Timeout: dialTimeout}
		if manySources {
			dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i%200))}
		}
		c.members.Go(func() { c.misbehave(dialer, t, what, attackEnd) })
	}
	return c
}

// misbehave opens connections, one after another, until attackEnd, and keeps the last one
// open until it is closed by the process or the crowd is dispersed.
func (c *crowd) misbehave(dialer *net.Dialer, t *target, what behavior, attackEnd time.Time) {
	for first := true; first || time.Now().Before(attackEnd); first = false {
		if !first {
			c.reopened.Add(1)
			time.Sleep(redialPause)
		}
		conn, err := dialer.Dial("tcp", t.address)
		if err != nil {
			continue
		}
		c.hold(conn, t, what)
		select {
		case <-c.ended:
			return
		default:
		}
	}
}

// hold lets one connection misbehave until it fails or the crowd is dispersed.
func (c *crowd) hold(conn net.Conn, t *target, what behavior) {
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		what(conn, t.requestStart)
		awaitClosed(conn)
	}()
	select {
	case <-finished:
	case <-c.ended:
	}
	// Nothing is sent on the connection any more, so an error in closing is irrelevant.
	_ = conn.Close()
	<-finished
}

// awaitClosed waits until the process under test closes the connection, without reading
// what it answers: a full receive buffer is part of some behaviors.
func awaitClosed(conn net.Conn) {
	for {
		time.Sleep(pollInterval)
		if isClosedByPeer(conn) {
			return
		}
	}
}

// disperse closes the crowd's connections and waits for its members.
func (c *crowd) disperse() {
	c.endOnce.Do(func() { close(c.ended) })
	c.members.Wait()
}
