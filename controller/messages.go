// Package controller is the kernel service that holds the control lease and
// carries out what placement plans: it appends formations and dissolutions to
// the control stream and orders VMs to follow the control ledger.
//
// Every entry node runs it; the control lease decides which one acts. The
// guarantees:
//   - Nothing is planned or ordered unless this node's lease is the latest in
//     the log, has time left by this node's clock, and the log is readable.
//   - The lease's time counts from when a renewal was sent, not from when it
//     was read back, so it ends here before any other node claims it.
//   - A new holder sends no order to a VM that does not check fencing numbers
//     until the former lease and its longest order have ended.
//   - Orders follow the ledger only: a VM whose report disagrees with it is
//     ordered again until the report agrees.
//   - A VM list that lost most VMs at once, or most VMs out of reach at once,
//     is taken as this node's own fault first.
//   - A VM leaves a dissolved replica only after rank 0, which carries the
//     streams, has finished them.
package controller

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// Name is the service's registered name.
const Name = "controller"

// SendOrder is the effect that sends an order to a VM and answers OrderDone.
// The driver must check NotAfter right before it writes the request and must
// end the request LongestOrder later at the latest.
type SendOrder struct {
	// VM and Address say whom to send to.
	VM      port.VMID
	Address string
	// Order is the body.
	Order port.Order
	// NotAfter is the end of the lease under which the order is sent.
	NotAfter time.Time
}

// ErrStaleFencing marks an order that the VM refused because it had seen a
// higher fencing number.
var ErrStaleFencing = errors.New("order refused: stale fencing number")

// OrderDone is the result of a SendOrder.
type OrderDone struct {
	// VM is the VM of the order.
	VM port.VMID
	// Err is nil if the VM accepted the order, ErrStaleFencing if it refused
	// its fencing number, and any other error if the order may have arrived.
	Err error
}

// Drain asks the service to hand the lease over and to claim it no more.
type Drain struct {
	// ReplyTo is the service that gets Drained.
	ReplyTo string
}

// Drained says that this node does not act as controller any more.
type Drained struct{}

// Status describes the service for operators.
type Status struct {
	// Holder holds the control lease by the ledger; empty if nobody does.
	Holder record.NodeID
	// Term is the term of the lease.
	Term record.Position
	// Acting says that this node plans and orders at present.
	Acting bool
	// Idle says why it does not; empty if it does.
	Idle IdleReason
	// PendingRecords counts records sent and not read back yet.
	PendingRecords int
	// OrdersInFlight counts orders without an answer.
	OrdersInFlight int
}

// IdleReason says why the service does not plan. Each reason has a counter.
type IdleReason string

const (
	// IdleNotHolder marks a node without the lease.
	IdleNotHolder IdleReason = "not_holder"
	// IdleLeaseLapsed marks a holder whose lease has no time left.
	IdleLeaseLapsed IdleReason = "lease_lapsed"
	// IdleLogUnavailable marks a node that can't read the control stream.
	IdleLogUnavailable IdleReason = "log_unavailable"
	// IdleNoConfig marks a node without a configuration or models.
	IdleNoConfig IdleReason = "no_configuration"
	// IdleNoObservation marks a node that was told of no VMs lately.
	IdleNoObservation IdleReason = "no_observation"
	// IdleListShrunk marks a VM list that lost most of its VMs at once, which
	// is not believed before it has lasted.
	IdleListShrunk IdleReason = "vm_list_shrunk"
	// IdleIsolated marks a holder that lost most VMs at once, which may be
	// its own connection.
	IdleIsolated IdleReason = "isolated"
	// IdleDraining marks a node that is shutting down.
	IdleDraining IdleReason = "draining"
)

// tick is the service's own timer.
type tick struct{}
