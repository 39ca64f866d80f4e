// Package controller is the kernel service that competes for the control lease
// and, while it holds the lease, carries out the plans of package placement: it
// appends formation and dissolution records to the control stream and sends
// join and leave orders to the engine VMs until their reports match the control
// ledger.
//
// Every entry node runs the service; only the one that holds the control lease
// acts. The guarantees:
//   - The service plans and sends orders only while this node's lease is the
//     latest in the log and has not expired by this node's clock, and while
//     the log is readable.
//   - The TTL of the lease counts from the time at which the holder sent a
//     claim or renewal, not from the time at which it read the record back, so
//     the lease expires at the holder before another node claims it.
//   - A new holder sends no order to a VM that does not check fencing numbers
//     until the former holder's lease has ended and none of the former
//     holder's order requests can still be running.
//   - Orders are derived from the ledger alone: a VM whose report differs from
//     the ledger gets its order again until the report matches.
//   - If a new VM list has lost more than half of the VMs, or more than half of
//     the VMs become unreachable, the service first assumes that this node's
//     view is wrong: it ignores such a list until the loss has lasted for some
//     minutes, and gives the lease up when it can't reach the VMs.
//   - Rank 0 of a replica serves its response streams. When the replica is
//     dissolved, the members of other ranks are ordered to leave only after
//     rank 0 has finished its streams or is lost.
package controller

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// Name is the name under which the service is registered with the kernel.
const Name = "controller"

// SendOrder is the effect that sends an order to a VM; the driver answers with
// an OrderDone message. The driver must check NotAfter right before it writes
// the request and must end the request within OrderTimeout after that check.
type SendOrder struct {
	// VM and Address identify the receiver; Address is host:port.
	VM      port.VMID
	Address string
	// Order is the body of the request.
	Order port.Order
	// NotAfter is the time after which the order must not be sent: the lease
	// under which the order is sent expires then.
	NotAfter time.Time
}

// ErrStaleFencing marks an order that the VM refused because the VM had seen
// an order with a higher fencing number.
var ErrStaleFencing = errors.New("VM refused the order: stale fencing number")

// OrderDone is the message that reports the result of a SendOrder effect.
type OrderDone struct {
	// VM is the receiver of the order.
	VM port.VMID
	// Err is nil if the VM accepted the order and ErrStaleFencing if the VM
	// refused its fencing number. After any other error the VM may or may not
	// have received the order.
	Err error
}

// Drain is the message that asks the service to release the lease and not to
// claim it again, because this node is shutting down.
type Drain struct {
	// ReplyTo is the name of the service that gets the Drained message.
	ReplyTo string
}

// Drained is the message that replies to a Drain message: this node does not
// act as controller any more.
type Drained struct{}

// Status describes the state of the service on one node.
type Status struct {
	// Holder is the node that holds the control lease by this node's copy of
	// the ledger; empty if the lease is free.
	Holder record.NodeID
	// Term is the term of the lease.
	Term record.Position
	// Acting says that this node plans and sends orders at present.
	Acting bool
	// Idle is why the node neither planned nor sent orders on the latest pass;
	// empty if it did.
	Idle IdleReason
	// PendingRecords counts the formation and dissolution records that were
	// sent to the log and have not been read back from it.
	PendingRecords int
	// OrdersInFlight counts the orders that were sent and have no result yet.
	OrdersInFlight int
}

// IdleReason is why the service neither plans nor sends orders. Each reason
// has a counter.
type IdleReason string

const (
	// IdleNotHolder marks a node that does not hold the lease.
	IdleNotHolder IdleReason = "not_holder"
	// IdleLeaseExpired marks a holder whose lease has expired.
	IdleLeaseExpired IdleReason = "lease_lapsed"
	// IdleLogUnavailable marks a node that has not read the control stream to
	// its end.
	IdleLogUnavailable IdleReason = "log_unavailable"
	// IdleNoConfig marks a node without a configuration document or without
	// the list of models.
	IdleNoConfig IdleReason = "no_configuration"
	// IdleNoObservation marks a node whose latest observation of the VMs is
	// older than MaxObservationAge.
	IdleNoObservation IdleReason = "no_observation"
	// IdleListShrunk marks a node whose VM list lost more than half of its
	// VMs at once. The service ignores such a list until the loss has lasted
	// for some minutes.
	IdleListShrunk IdleReason = "vm_list_shrunk"
	// IdleIsolated marks a holder that can't reach more than half of the VMs,
	// so that the fault may lie in the holder's own connection.
	IdleIsolated IdleReason = "isolated"
	// IdleDraining marks a node that is shutting down.
	IdleDraining IdleReason = "draining"
)

// tick is the message of the timer on which the service acts.
type tick struct{}
