package controller

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/configuration"
	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

const (
	// tickEvery is how often the service looks at its lease and plans.
	tickEvery = 500 * time.Millisecond
	// SuspectAfter is the age of a report from which its VM is suspected.
	SuspectAfter = 3 * time.Second
	// LostAfter is the age of a report from which its VM is lost.
	LostAfter = 10 * time.Second
	// ObservationBound is the age of an observation beyond which it is not
	// used, so that a stalled health check does not look like lost VMs.
	ObservationBound = 3 * time.Second
)

// Log is what the service asks of the log follower.
type Log interface {
	// CaughtUp reports whether the latest read of a stream reached its end.
	CaughtUp(stream string) bool
}

// Settings configures a Service.
type Settings struct {
	// Node is this node's identifier, new on each start.
	Node record.NodeID
	// Control is the control ledger, for reading only.
	Control *ledger.Control
	// Log is the log follower.
	Log Log
	// Policy is the planner's policy.
	Policy placement.Policy
	// Rand spreads claims over nodes.
	Rand *rand.Rand
	// NewID gives record identifiers.
	NewID func() string
	// Metrics counts decisions; nil for none.
	Metrics metrics.Registry
}

// Service is the controller of one node.
type Service struct {
	Settings
	lease  leaseState
	fleet  fleetState
	orders orderState
	// document is the configuration in force, models what the weight store
	// serves.
	document *dynamic.Document
	models   port.ModelList
	load     loadAverage
	planner  *placement.Planner
	pending  pendingRecords
	drain    *Drain
	drained  bool
	idle     IdleReason
}

// New returns the service. The daemon subscribes it to the control stream, to
// health checking's observations and to changes of the configuration.
func New(s Settings) *Service {
	if s.Metrics == nil {
		s.Metrics = metrics.NewRegistry()
	}
	return &Service{
		Settings: s,
		lease:    newLeaseState(),
		fleet:    newFleetState(),
		orders:   orderState{sent: map[port.VMID]*sentOrder{}},
		pending:  newPendingRecords(),
		planner:  placement.NewPlanner(s.Policy),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Starter.
func (s *Service) Start(now time.Time) []kernel.Effect {
	s.syncLease(now)
	return []kernel.Effect{nextTick()}
}

func nextTick() kernel.Effect {
	return kernel.SetTimer{To: Name, After: tickEvery, Msg: tick{}}
}

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case tick:
		return append(s.act(now), nextTick())
	case logfollow.Applied:
		s.pending.settle(m.Record.ID)
		s.countRejected(m)
		s.syncLease(now)
		s.lease.settle(m.Record.ID)
	case logfollow.Rebuilt:
		s.pending = newPendingRecords()
		s.syncLease(now)
	case logfollow.Abandoned:
		s.pending.settle(m.Record.ID)
		s.lease.settle(m.Record.ID)
	case health.Observed:
		s.models = m.Models
		s.fleet.observe(now, m.VMs, s.Control)
	case configuration.Changed:
		s.document = m.Document
	case OrderDone:
		s.orderDone(now, m)
	case Drain:
		s.drain = &m
		return s.act(now)
	}
	return nil
}

// act does what is due: lease, plan and orders.
func (s *Service) act(now time.Time) []kernel.Effect {
	s.syncLease(now)
	if s.drain != nil {
		s.idle = IdleDraining
		return s.handOver(now)
	}
	out := s.keepLease(now)
	s.idle = s.whyIdle(now)
	if s.idle != "" {
		s.count("idle." + string(s.idle))
		return out
	}
	if s.fleet.isolated(now) && !s.lease.yieldedLately(now) {
		s.idle = IdleIsolated
		s.count("lease.yielded")
		return append(out, s.yield(now)...)
	}
	out = append(out, s.plan(now)...)
	return append(out, s.order(now)...)
}

// whyIdle returns why the service must not act, empty if it may.
func (s *Service) whyIdle(now time.Time) IdleReason {
	switch {
	case !s.holds():
		return IdleNotHolder
	case !s.Log.CaughtUp(record.StreamControl):
		return IdleLogUnavailable
	case !s.lease.valid(now):
		return IdleLeaseLapsed
	}
	return s.whyUnfit(now)
}

// whyUnfit returns what the node lacks for planning, empty if nothing.
func (s *Service) whyUnfit(now time.Time) IdleReason {
	switch {
	case s.document == nil || len(s.models.Models) == 0:
		return IdleNoConfig
	case now.Sub(s.fleet.at) > ObservationBound:
		return IdleNoObservation
	case s.fleet.shrunk:
		return IdleListShrunk
	}
	return ""
}

// Status describes the service. Only the kernel's goroutine may call it.
func (s *Service) Status(now time.Time) Status {
	l := s.Control.Lease()
	return Status{
		Holder:         l.Holder,
		Term:           l.Term,
		Acting:         s.idle == "" && s.whyIdle(now) == "",
		Idle:           s.idle,
		PendingRecords: s.pending.len(),
		OrdersInFlight: s.orders.inFlight,
	}
}

// append returns the effect that appends a record to the control stream.
func (s *Service) append(r record.Record, giveUp time.Time) kernel.Effect {
	return kernel.Send{To: logfollow.Name, Msg: logfollow.Append{
		Stream: record.StreamControl, Record: r, From: Name, GiveUp: giveUp,
	}}
}

// newRecord returns a record with an identifier and the time.
func (s *Service) newRecord(now time.Time) record.Record {
	return record.Record{ID: s.NewID(), AtMillis: now.UnixMilli()}
}

func (s *Service) countRejected(m logfollow.Applied) {
	if !m.Result.Accepted {
		s.count("record.rejected." + string(m.Result.Cause))
	}
}

func (s *Service) count(name string) {
	metrics.GetOrRegisterCounter(Name+"."+name, s.Metrics).Inc(1)
}
