package entry

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/controller"
	"github.com/tamarackcleat/tamarackcleat/drain"
	"github.com/tamarackcleat/tamarackcleat/kernel"
)

const (
	// drainDelay is how long the node still accepts callers after it has reported
	// to the load balancer that it is not ready.
	drainDelay = 2 * time.Second
	// firstRequestWait is how long an accepted connection may take to send its first
	// request after the listener was closed.
	firstRequestWait = 500 * time.Millisecond
	// controllerDrainTimeout limits the wait until the controller has finished its
	// orders in flight and given up the control lease.
	controllerDrainTimeout = 5 * time.Second
)

// drainSinkName is the name that the drainSink registers with the kernel.
const drainSinkName = "entry.drain"

// drainSink is the kernel service that closes its channel when this node's
// controller has given up the control lease or does not hold it.
type drainSink struct {
	once    sync.Once
	drained chan struct{}
}

// Name implements kernel.Service.
func (s *drainSink) Name() string { return drainSinkName }

// Handle implements kernel.Service.
func (s *drainSink) Handle(_ time.Time, msg kernel.Message) []kernel.Effect {
	if _, ok := msg.(controller.Drained); ok {
		s.once.Do(func() { close(s.drained) })
	}
	return nil
}

// shutDown stops the node without cutting off a request in flight. The control
// lease is given up; if that is not done in time, a warning is logged.
func (n *Node) shutDown(server *drain.Server) error {
	n.logger.Info("draining")
	n.draining.Store(true)
	n.kernel.Post(controller.Name, controller.Drain{ReplyTo: drainSinkName})
	time.Sleep(drainDelay)
	n.callers.Stop()
	err := server.Shutdown(context.Background(), firstRequestWait)
	select {
	case <-n.drained:
	case <-time.After(controllerDrainTimeout):
		n.logger.Warn("controller did not give up the control lease in time")
	}
	n.logger.Info("stopped")
	return err
}
