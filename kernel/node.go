package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/eventqueue"
)

// Errors of Node and Lookup.
var (
	// ErrUnknownService marks a name under which no service is registered.
	ErrUnknownService = errors.New("unknown service")
	// ErrDuplicateName marks the registration of a second service with the
	// same name.
	ErrDuplicateName = errors.New("service name already registered")
)

// Clock returns the current time. Tests use a fake one.
type Clock func() time.Time

// Node is the kernel of one node: it holds the services, the message queue, the
// timers and the drivers.
type Node struct {
	clock    Clock
	services map[string]Service
	// startOrder holds the names of the services in order of registration.
	startOrder []string
	drivers    []Driver
	// OnUnhandled, unless nil, is called with each effect that no driver
	// performs, and with an ErrUnknownService for each message to a name that
	// is not registered.
	OnUnhandled func(what any)

	// mu guards the fields from queue to nextAsk.
	mu     sync.Mutex
	queue  []envelope
	timers eventqueue.Queue[envelope]
	// asks holds a channel for each pending call of Ask, with room for the
	// reply.
	asks    map[AskID]chan Message
	nextAsk AskID
	// wake ends the sleep of the event loop.
	wake chan struct{}
}

// envelope is an entry of the queue: a message and the name of its receiver or, if
// fn is set, a function to run.
type envelope struct {
	to  string
	msg Message
	fn  func(now time.Time)
}

// NewNode returns a Node without services and drivers.
func NewNode(clock Clock) *Node {
	return &Node{
		clock:    clock,
		services: map[string]Service{},
		asks:     map[AskID]chan Message{},
		wake:     make(chan struct{}, 1),
	}
}

// Register adds a service. All services must be registered before the first Run or
// Step. Register fails with ErrDuplicateName if the name is taken.
func (n *Node) Register(s Service) error {
	if _, ok := n.services[s.Name()]; ok {
		return errors.Wrapf(ErrDuplicateName, "%q", s.Name())
	}
	n.services[s.Name()] = s
	n.startOrder = append(n.startOrder, s.Name())
	return nil
}

// Bind adds a driver. An effect goes to the first driver that performs it, in the
// order in which the drivers were added.
func (n *Node) Bind(d Driver) { n.drivers = append(n.drivers, d) }

// Lookup returns the service that is registered under a name, as a T. It fails
// with ErrUnknownService if there is none, or if the service is not a T. Services
// use Lookup to read each other's state within Handle. Only the goroutine that
// calls Run or Step may call methods of the service that Lookup returns.
func Lookup[T any](n *Node, name string) (T, error) {
	var zero T
	s, ok := n.services[name]
	if !ok {
		return zero, errors.Wrapf(ErrUnknownService, "%q", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, errors.Newf("service %q has type %T", name, s)
	}
	return t, nil
}

// Post adds a message for a service to the queue. It may be called from any
// goroutine.
func (n *Node) Post(to string, msg Message) { n.enqueue(envelope{to: to, msg: msg}) }

// Do runs fn between two messages, in the goroutine that calls Run or Step, and
// waits until fn has returned or ctx has ended; fn may still run after ctx has
// ended. Code outside the services uses Do to read their state.
func (n *Node) Do(ctx context.Context, fn func(now time.Time)) error {
	done := make(chan struct{})
	n.enqueue(envelope{fn: func(now time.Time) { fn(now); close(done) }})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for the function to run in the kernel")
	}
}

// Ask posts to a service the message that build returns for a new AskID, and
// waits for the Reply effect with this AskID. It fails if ctx ends first; a
// later reply is dropped.
func (n *Node) Ask(ctx context.Context, to string, build func(AskID) Message) (Message, error) {
	ch := make(chan Message, 1)
	n.mu.Lock()
	n.nextAsk++
	id := n.nextAsk
	n.asks[id] = ch
	n.mu.Unlock()
	defer n.forgetAsk(id)
	n.Post(to, build(id))
	select {
	case m := <-ch:
		return m, nil
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "waiting for the reply of service %s", to)
	}
}

// forgetAsk removes a pending call of Ask, so that a later reply to the call is
// dropped.
func (n *Node) forgetAsk(id AskID) {
	n.mu.Lock()
	delete(n.asks, id)
	n.mu.Unlock()
}

// enqueue adds an entry to the queue and wakes the event loop if it sleeps.
func (n *Node) enqueue(e envelope) {
	n.mu.Lock()
	n.queue = append(n.queue, e)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Start performs the first effects of every service that implements Starter, in
// the order in which the services were registered. Run calls Start.
func (n *Node) Start() {
	for _, name := range n.startOrder {
		if s, ok := n.services[name].(Starter); ok {
			n.perform(s.Start(n.clock()))
		}
	}
}

// Run calls Start and then delivers messages and timers until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.Start()
	for ctx.Err() == nil {
		next, pending := n.Step()
		if pending {
			continue
		}
		n.sleep(ctx, next)
	}
}

// sleep waits for a message, for the time next, at which the next timer is due, or
// for the end of ctx. It may return earlier.
func (n *Node) sleep(ctx context.Context, next time.Time) {
	const maxWait = time.Hour
	wait := maxWait
	if !next.IsZero() {
		wait = max(0, next.Sub(n.clock()))
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-n.wake:
	case <-t.C:
	}
}

// Step adds the messages of due timers to the queue and delivers the first message
// of the queue. It returns the time at which the next timer is due, zero if there
// is none, and whether the queue holds more messages. Run calls Step; tests with
// a fake clock call it themselves.
func (n *Node) Step() (next time.Time, pending bool) {
	now := n.clock()
	n.mu.Lock()
	for {
		_, due, ok := n.timers.PopDue(now)
		if !ok {
			break
		}
		n.queue = append(n.queue, due)
	}
	var e envelope
	found := len(n.queue) > 0
	if found {
		e = n.queue[0]
		n.queue = n.queue[1:]
	}
	n.mu.Unlock()
	if found {
		n.deliver(now, e)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	next, _ = n.timers.Next()
	return next, len(n.queue) > 0
}

// deliver runs the function of a queue entry or passes its message to the receiver.
func (n *Node) deliver(now time.Time, e envelope) {
	if e.fn != nil {
		e.fn(now)
		return
	}
	s, ok := n.services[e.to]
	if !ok {
		n.unhandled(errors.Wrapf(ErrUnknownService, "%q", e.to))
		return
	}
	n.perform(s.Handle(now, e.msg))
}

// perform carries out effects in order. Only the goroutine that calls Run or Step
// may call it.
func (n *Node) perform(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			n.Post(e.To, e.Msg)
		case SetTimer:
			n.addTimer(e)
		case Reply:
			n.reply(e)
		default:
			n.performByDriver(e)
		}
	}
}

// addTimer starts a timer.
func (n *Node) addTimer(e SetTimer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.timers.Push(n.clock().Add(e.After), envelope{to: e.To, msg: e.Msg})
}

// reply passes an answer to the pending call of Ask. It drops the answer if no
// such call is pending.
func (n *Node) reply(e Reply) {
	n.mu.Lock()
	ch, ok := n.asks[e.ID]
	delete(n.asks, e.ID)
	n.mu.Unlock()
	if ok {
		ch <- e.Msg
	}
}

// performByDriver passes an effect to the first driver that performs it.
func (n *Node) performByDriver(e Effect) {
	for _, d := range n.drivers {
		if d.Perform(e) {
			return
		}
	}
	n.unhandled(e)
}

// unhandled passes an effect or error to OnUnhandled.
func (n *Node) unhandled(what any) {
	if n.OnUnhandled != nil {
		n.OnUnhandled(what)
	}
}
