package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/controller"
	"github.com/tamarackcleat/tamarackcleat/kernel"
)

const (
	// balancerNotice is how long the node still takes callers after it has
	// told the balancer that it is not ready.
	balancerNotice = 2 * time.Second
	// handOverTimeout ends the wait for the control lease's release.
	handOverTimeout = 5 * time.Second
)

// drainSinkName is the registered name of the drainSink.
const drainSinkName = "entry.drain"

// drainSink is the kernel service that learns that the controller has drained.
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

// drain stops the node without cutting off a request in flight.
func (n *Node) drain(server *http.Server) error {
	n.logger.Info("draining")
	n.draining.Store(true)
	n.kernel.Post(controller.Name, controller.Drain{ReplyTo: drainSinkName})
	time.Sleep(balancerNotice)
	err := server.Shutdown(context.Background())
	select {
	case <-n.drained:
	case <-time.After(handOverTimeout):
		n.logger.Warn("control lease not handed over in time")
	}
	n.logger.Info("stopped")
	return errors.Wrap(err, "shutting down")
}
