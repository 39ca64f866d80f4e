package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/configuration"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

const (
	// tickInterval is the time between two passes over the lease, the plan and
	// the orders.
	tickInterval = 500 * time.Millisecond
	// SuspectAfter is the age of a VM's last report from which the VM counts as
	// suspected.
	SuspectAfter = 3 * time.Second
	// LostAfter is the age of a VM's last report from which the VM counts as
	// lost.
	LostAfter = 10 * time.Second
	// MaxObservationAge is the age beyond which the latest observation of
	// health checking is not used, so that stalled health checking does not
	// make the VMs look lost.
	MaxObservationAge = 3 * time.Second
)

// Log is the part of the log follower that the service uses.
type Log interface {
	// CaughtUp reports whether the latest read of a stream reached its end.
	CaughtUp(stream string) bool
}

// Settings configures a Service.
type Settings struct {
	// Node is this node's identifier, new on each start.
	Node record.NodeID
	// Control is the control ledger; the service only reads it.
	Control *ledger.Control
	// Log reports how far the log was read.
	Log Log
	// Policy is the planner's policy.
	Policy placement.Policy
	// Rand is the source of the random delays of claims.
	Rand *rand.Rand
	// NewID returns a new record identifier on each call.
	NewID func() string
	// Metrics holds the counters of decisions. If it is nil, New creates a
	// registry that is not exported.
	Metrics metrics.Registry
	// Logger logs decisions. If it is nil, New creates one that discards them.
	Logger *slog.Logger
}

// Service is the controller of one node.
type Service struct {
	Settings
	lease  leaseState
	fleet  fleetState
	orders orderState
	// document is the configuration in force; models lists what the weight
	// store serves.
	document *dynamic.Document
	models   port.ModelList
	load     loadAverage
	planner  *placement.Planner
	pending  pendingRecords
	// drain is the request to drain, nil if there was none; drained says that
	// the request was answered.
	drain   *Drain
	drained bool
	// idle is why the service neither planned nor sent orders on the latest
	// pass; empty if it did.
	idle IdleReason
}

// New returns the service of one node. Its creator subscribes it to the control
// stream, to the observations of health checking and to changes of the
// configuration.
func New(s Settings) *Service {
	if s.Metrics == nil {
		s.Metrics = metrics.NewRegistry()
	}
	if s.Logger == nil {
		s.Logger = slog.New(slog.DiscardHandler)
	}
	return &Service{
		Settings: s,
		lease:    newLeaseState(),
		fleet:    newFleetState(),
		orders:   orderState{last: map[port.VMID]*sentOrder{}},
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
	return kernel.SetTimer{To: Name, After: tickInterval, Msg: tick{}}
}

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case tick:
		return append(s.act(now), nextTick())
	case logfollow.RecordApplied:
		s.pending.remove(m.Record.ID)
		s.countRejected(m)
		s.syncLease(now)
		s.lease.forget(m.Record.ID)
	case logfollow.LedgerRebuilt:
		s.pending = newPendingRecords()
		s.syncLease(now)
	case logfollow.AppendAbandoned:
		s.pending.remove(m.Record.ID)
		s.lease.forget(m.Record.ID)
	case health.Observed:
		s.models = m.Models
		for _, c := range s.fleet.observe(now, m.VMs, s.Control) {
			s.logContradiction(now, c)
		}
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

// act makes one pass: it claims, renews or gives up the lease and, if this node
// holds it, plans and sends the due orders.
func (s *Service) act(now time.Time) []kernel.Effect {
	s.syncLease(now)
	if s.drain != nil {
		s.idle = IdleDraining
		return s.handOver(now)
	}
	out := s.maintainLease(now)
	s.idle = s.idleReason(now)
	if s.idle != "" {
		s.count("idle." + string(s.idle))
		return out
	}
	if s.fleet.isolated(now) && !s.lease.inYieldCooldown(now) {
		s.idle = IdleIsolated
		s.count("lease.yielded")
		return append(out, s.yieldLease(now)...)
	}
	out = append(out, s.plan(now)...)
	return append(out, s.sendDueOrders(now)...)
}

// idleReason returns why the service must not plan or send orders, empty if it
// may.
func (s *Service) idleReason(now time.Time) IdleReason {
	switch {
	case !s.holdsLease():
		return IdleNotHolder
	case !s.Log.CaughtUp(record.StreamControl):
		return IdleLogUnavailable
	case !s.lease.valid(now):
		return IdleLeaseExpired
	}
	return s.missingInput(now)
}

// missingInput returns which input of the planner this node lacks, empty if it
// has all of them. A VM list that shrank and is not accepted yet counts as
// lacking.
func (s *Service) missingInput(now time.Time) IdleReason {
	switch {
	case s.document == nil || len(s.models.Models) == 0:
		return IdleNoConfig
	case now.Sub(s.fleet.observedAt) > MaxObservationAge:
		return IdleNoObservation
	case s.fleet.shrunk:
		return IdleListShrunk
	}
	return ""
}

// Status returns the state of the service. Only the goroutine that runs the
// kernel.Node may call it.
func (s *Service) Status(now time.Time) Status {
	l := s.Control.Lease()
	return Status{
		Holder:         l.Holder,
		Term:           l.Term,
		Acting:         s.idle == "" && s.idleReason(now) == "",
		Idle:           s.idle,
		PendingRecords: s.pending.len(),
		OrdersInFlight: s.orders.inFlight,
	}
}

// logContradiction logs why a VM counts as restarted, or that a report which
// contradicts its membership is ignored, with both reports and their ages.
func (s *Service) logContradiction(now time.Time, c contradiction) {
	event, before, after := decisions.UpstreamRestarted, c.membership.seen, c.now
	if !c.lost {
		event = decisions.UpstreamOutdated
		s.count("report.outdated")
	}
	s.Logger.Info(event, "upstream", after.VM.ID, "replica", c.replica, "generation", int64(c.membership.generation),
		reportGroup("member", now, before), reportGroup("latest", now, after))
}

// reportGroup returns the attributes of an observed report: what the VM reported, at
// least how long ago it first did and at most how long ago it still did, in
// milliseconds, and the node that probed it.
func reportGroup(name string, now time.Time, o health.Observation) slog.Attr {
	if o.AsOf.IsZero() {
		return slog.String(name, "no report")
	}
	return slog.Group(name,
		"boot", o.Report.Boot, "state", o.Report.State, "replica", o.Report.Replica, "generation", o.Report.Generation,
		"reported_ms_ago", now.Sub(o.ReportedBy).Milliseconds(), "confirmed_ms_ago", now.Sub(o.AsOf).Milliseconds(),
		"source", o.Source)
}

// append returns the effect that appends a record to the control stream. The
// log service abandons the record if it was not read back by the deadline.
func (s *Service) append(r record.Record, deadline time.Time) kernel.Effect {
	return kernel.Send{To: logfollow.Name, Msg: logfollow.AppendRecord{
		Stream: record.StreamControl, Record: r, From: Name, Deadline: deadline,
	}}
}

// newRecord returns a record with a new identifier and the given time, but
// without a body.
func (s *Service) newRecord(now time.Time) record.Record {
	return record.Record{ID: s.NewID(), AtMillis: now.UnixMilli()}
}

// countRejected counts a record that the ledger rejected, by cause.
func (s *Service) countRejected(m logfollow.RecordApplied) {
	if !m.Result.Accepted {
		s.count("record.rejected." + string(m.Result.Cause))
	}
}

// count increments the service's counter with the given name.
func (s *Service) count(name string) {
	metrics.GetOrRegisterCounter(Name+"."+name, s.Metrics).Inc(1)
}
