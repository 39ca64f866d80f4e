package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/eventqueue"
)

// Errors of a Node.
var (
	// ErrUnknownService marks a message to a name that is not registered.
	ErrUnknownService = errors.New("unknown service")
	// ErrDuplicateName marks a second service with the same name.
	ErrDuplicateName = errors.New("service name already registered")
)

// Clock tells the time. Tests pass a fake one.
type Clock func() time.Time

// Node is the kernel of one node: registry, queue, timers and drivers.
type Node struct {
	clock    Clock
	services map[string]Service
	startOrder    []string
	drivers  []Driver
	// OnUnhandled is called for an effect that no driver performs and for a
	// message to an unknown service. It may be nil.
	OnUnhandled func(what any)

	mu      sync.Mutex
	queue   []envelope
	timers  eventqueue.Queue[envelope]
	asks    map[AskID]chan Message
	nextAsk AskID
	wake    chan struct{}
}

// envelope is a message with its receiver.
type envelope struct {
	to  string
	msg Message
	fn  func(now time.Time)
}

// NewNode returns a node without services.
func NewNode(clock Clock) *Node {
	return &Node{
		clock:    clock,
		services: map[string]Service{},
		asks:     map[AskID]chan Message{},
		wake:     make(chan struct{}, 1),
	}
}

// Register adds a service. All services are registered before Run.
func (n *Node) Register(s Service) error {
	if _, ok := n.services[s.Name()]; ok {
		return errors.Wrapf(ErrDuplicateName, "%q", s.Name())
	}
	n.services[s.Name()] = s
	n.startOrder = append(n.startOrder, s.Name())
	return nil
}

// Bind adds a driver. Drivers are tried in the order in which they were bound.
func (n *Node) Bind(d Driver) { n.drivers = append(n.drivers, d) }

// Lookup finds a service by name and type. Services use it to read each
// other's state within Handle; only the kernel's goroutine may call methods
// of what it returns.
func Lookup[T any](n *Node, name string) (T, error) {
	var zero T
	s, ok := n.services[name]
	if !ok {
		return zero, errors.Wrapf(ErrUnknownService, "%q", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, errors.Newf("service %q is a %T", name, s)
	}
	return t, nil
}

// Post queues a message to a service. It may be called from any goroutine.
func (n *Node) Post(to string, msg Message) { n.enqueue(envelope{to: to, msg: msg}) }

// Do runs fn in the kernel's goroutine, between messages, and waits for it.
// It lets code outside the kernel read the state of services.
func (n *Node) Do(ctx context.Context, fn func(now time.Time)) error {
	done := make(chan struct{})
	n.enqueue(envelope{fn: func(now time.Time) { fn(now); close(done) }})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for the kernel")
	}
}

// Ask posts the message that build makes from a fresh AskID and waits for the
// Reply to it. A reply after the context has ended is dropped.
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
		return nil, errors.Wrapf(ctx.Err(), "asking %s", to)
	}
}

func (n *Node) forgetAsk(id AskID) {
	n.mu.Lock()
	delete(n.asks, id)
	n.mu.Unlock()
}

func (n *Node) enqueue(e envelope) {
	n.mu.Lock()
	n.queue = append(n.queue, e)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Start performs the first effects of every Starter in order of registration.
func (n *Node) Start() {
	for _, name := range n.startOrder {
		if s, ok := n.services[name].(Starter); ok {
			n.perform(s.Start(n.clock()))
		}
	}
}

// Run starts the services and delivers messages until the context ends.
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

// sleep waits for a message, the next timer or the end of the context.
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

// Step delivers due timers and one queued message. It returns the time of the
// next timer, zero if there is none, and whether work is still pending. Tests
// call Step themselves with a fake clock.
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

// perform carries out effects in order; only the kernel goroutine calls it.
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

func (n *Node) addTimer(e SetTimer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.timers.Push(n.clock().Add(e.After), envelope{to: e.To, msg: e.Msg})
}

func (n *Node) reply(e Reply) {
	n.mu.Lock()
	ch, ok := n.asks[e.ID]
	delete(n.asks, e.ID)
	n.mu.Unlock()
	if ok {
		ch <- e.Msg
	}
}

func (n *Node) performByDriver(e Effect) {
	for _, d := range n.drivers {
		if d.Perform(e) {
			return
		}
	}
	n.unhandled(e)
}

func (n *Node) unhandled(what any) {
	if n.OnUnhandled != nil {
		n.OnUnhandled(what)
	}
}
