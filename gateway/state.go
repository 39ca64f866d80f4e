package gateway

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/slowstart"
)

const (
	// reappearGrace is how long after an outage of the log the records of upstreams
	// that lapsed during the outage may take to come back.
	reappearGrace = 2 * time.Second
	// unlistedRetention is how long a member of a replica stays in the view
	// without a record: a little longer than a leaving member stays in a replica
	// whose head has requests in progress.
	unlistedRetention = 12 * time.Second
	// restoredGrace is how long after the log was restored from a backup the node goes by
	// what it knew before where the log holds something older. Operators and upstreams write
	// again within seconds what was lost.
	restoredGrace = 10 * time.Second
	// goneRetention is how long an upstream is remembered that is no longer in the view, in
	// case a restored log lists it again. A backup is some seconds old.
	goneRetention = 5 * time.Minute
)

// Decoder decodes the records of the configuration and of the upstreams.
type Decoder interface {
	// Config decodes the configuration.
	Config(data []byte) (*fleet.Config, error)
	// VM decodes an upstream's report of itself.
	VM(id string, data []byte) (fleet.VM, error)
}

// state holds the newest configuration and the newest reports of the upstreams.
// Followers of the log's streams update it; requests read immutable views of it.
type state struct {
	decoder Decoder
	// configKey and evacuationPrefix are those of Streams.
	configKey, evacuationPrefix string
	logger                      *slog.Logger
	// count adds one to a counter.
	count func(name string)

	view atomic.Pointer[fleet.View]
	// configVerifiedAt is when the last read was sent that proved the
	// configuration to be current, in nanoseconds by the boot clock.
	configVerifiedAt atomic.Int64
	// peersConsulted says that the log alone proves the configuration to be current. A node
	// that starts does not know yet whether a restored log has lost a later one; see
	// holdsProof.
	peersConsulted atomic.Bool
	// vmsVerifiedAt is when the last read was sent that proved the upstreams' reports
	// in the view to be current.
	vmsVerifiedAt atomic.Int64
	// changed is called after each new view was published.
	changed func()
	// detailed reports whether the views must hold the time of each VM's latest
	// report, and whether each change of a VM is logged by itself. It is so at the
	// holder of the control lease.
	detailed func() bool
	// inUse reports whether this node has requests at a VM, whose changes are then
	// logged by themselves.
	inUse func(vm string) bool

	mu      sync.Mutex
	builder *fleet.Builder
	// evacuated holds the evacuated zones. Views share it; it is replaced and never
	// changed.
	evacuated map[string]bool
	// returnedAt holds when evacuations ended, by zone and by the boot clock; it is
	// replaced like evacuated.
	returnedAt map[string]time.Duration
	// cold holds until when upstreams are cold.
	cold slowstart.Marks
	// digests holds, by VM id, the hash of the latest report as it was read. A report
	// that is the same to the byte is not decoded again.
	digests map[string]uint64
	// unchanged holds the VMs whose latest report differs only in its time from the
	// one in the builder.
	unchanged map[string]fleet.VM
	// wasDetailed is the result of detailed at the latest batch of reports.
	wasDetailed bool
	// readsFailing says that the last read of the upstreams' stream failed;
	// readableSince is when a read last succeeded after a failed one, by the boot
	// clock.
	readsFailing  bool
	readableSince time.Duration
	// goneAt holds, by VM id, the time by the boot clock at which an upstream
	// without a record is removed if the record has not come back. It contains
	// upstreams that lost their record around an outage of the log, and members
	// of replicas.
	goneAt map[string]time.Duration
	// gone holds the upstreams that were removed, by id; heldBack holds reports of
	// a restored log that are older than that.
	gone     map[string]goneVM
	heldBack map[string]heldReport
	// restoredAt is when the log was last seen to be restored from a backup, by the boot
	// clock; 0 if it never was.
	restoredAt time.Duration
	// unconfirmed holds until when zones stay evacuated whose keys a restored log lacks.
	unconfirmed map[string]time.Duration
	// configRecord is the record of the configuration in force, as it was read.
	configRecord []byte
	// logProvedAt is configVerifiedAt as far as the log alone shows, configReadAt when the
	// configuration's stream was first read, both by the boot clock.
	logProvedAt, configReadAt time.Duration
	// leaving holds what upstreams said in answers.
	leaving leavingMarks
}

func newState(d Decoder, streams Streams, logger *slog.Logger) *state {
	s := &state{
		decoder:      d,
		configKey:    streams.ConfigKey,
		logger:       logger,
		count:        func(string) {},
		builder:      fleet.NewBuilder(),
		digests:      map[string]uint64{},
		unchanged:    map[string]fleet.VM{},
		goneAt:       map[string]time.Duration{},
		gone:         map[string]goneVM{},
		heldBack:     map[string]heldReport{},
		unconfirmed:  map[string]time.Duration{},
		leaving:      leavingMarks{},
		cold:         slowstart.Marks{},
		readsFailing: true,
		changed:      func() {},
		detailed:     func() bool { return true },
		inUse:        func(string) bool { return false },
	}
	s.evacuationPrefix = streams.EvacuationPrefix
	s.peersConsulted.Store(true)
	s.view.Store(s.builder.View(0))
	return s
}

// View returns the current view.
func (s *state) View() *fleet.View { return s.view.Load() }

// configAge returns the age of the proof that the configuration is current.
func (s *state) configAge() time.Duration { return bootclock.Now() - s.configProvedAt() }

// configProvedAt returns when the last read was sent that proved the configuration to be
// current, by the boot clock. It holds for views that are taken later.
func (s *state) configProvedAt() time.Duration { return time.Duration(s.configVerifiedAt.Load()) }

// applyConfig applies a batch of records of the configuration's stream.
func (s *state) applyConfig(b keyed.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// One view has all changes of the batch, so that no request is judged by the
	// configuration of a snapshot without its evacuated zones.
	dirty := s.applyEvacuations(b)
	for _, r := range b.Records {
		dirty = s.applyConfigRecord(r) || dirty
	}
	if dirty {
		s.publish()
	}
	s.logProvedAt = b.SentAt
	if !s.holdsProof(b.Era, bootclock.Now()) {
		s.configVerifiedAt.Store(int64(b.SentAt))
	}
}

// applyConfigRecord applies a record if it is a configuration that is newer than the one in
// force. It reports whether it is.
func (s *state) applyConfigRecord(r keyed.Record) bool {
	if r.Key != s.configKey || len(r.Value) == 0 {
		return false
	}
	c, err := s.decoder.Config(r.Value)
	if err != nil {
		s.logger.Error(decisions.ConfigUnreadable, "offset", r.Offset, "error", err)
		return false
	}
	return s.replaceConfig(c, r.Value, "from", "log", "offset", r.Offset)
}

// replaceConfig puts a configuration in force, given as its record too, if it is newer than the
// present one. It reports whether it is. origin holds the fields for the log line that say where
// the configuration comes from.
func (s *state) replaceConfig(c *fleet.Config, record []byte, origin ...any) bool {
	if current := s.builder.Config(); current != nil && c.Version <= current.Version {
		return false
	}
	s.logger.Info(decisions.ConfigInForce, append([]any{"version", c.Version, "routes", c.Routes(),
		"services", len(c.Services), "keys", len(c.Teams)}, origin...)...)
	s.builder.SetConfig(c)
	s.configRecord = record
	return true
}

// applyVMs applies a batch of records of the upstreams' stream.
func (s *state) applyVMs(b keyed.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	s.recordRead(b, now)
	detailed := s.detailed()
	dirty := detailed && !s.wasDetailed
	s.wasDetailed = detailed
	dirty = s.applyReports(b, now) || dirty
	dirty = s.expireLapsed(now) || dirty
	dirty = s.releaseHeldBack(now) || dirty
	if dirty {
		s.publish()
	}
	if !s.justRestored(now, reappearGrace) {
		// Before that, upstreams may not have written again what a restored log has lost.
		s.vmsVerifiedAt.Store(int64(b.SentAt))
	}
}

// recordRead records what a batch of the upstreams' stream shows about the log.
func (s *state) recordRead(b keyed.Batch, now time.Duration) {
	if s.readsFailing || b.Restored {
		s.readsFailing, s.readableSince = false, now
	}
	if b.Restored {
		s.restoredAt = now
	}
	if b.Snapshot {
		clear(s.heldBack)
	}
}

// applyReports applies the reports of a batch, and handles the upstreams that have none any
// more. It reports whether the view changes.
func (s *state) applyReports(b keyed.Batch, now time.Duration) bool {
	// Lost reports may also be written again, in their order.
	restored := s.justRestored(now, restoredGrace)
	missing := map[string]bool{}
	if b.Snapshot {
		for _, id := range s.builder.IDs() {
			missing[id] = true
		}
	}
	dirty, changes := false, reportChanges{}
	for _, r := range b.Records {
		delete(missing, r.Key)
		delete(s.heldBack, r.Key)
		switch {
		case len(r.Value) == 0:
			missing[r.Key] = true
		case restored && s.outdated(r, now, b.Snapshot):
			delete(s.goneAt, r.Key)
		default:
			dirty = s.applyReport(r, now, &changes) || dirty
		}
	}
	changes.log(s.logger)
	for id := range missing {
		dirty = s.handleMissing(id, now) || dirty
	}
	return dirty
}

// readFailed records that a read of the upstreams' stream failed.
func (s *state) readFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsFailing = true
}

// reportChanges counts the changes in a batch of reports that are not logged by
// themselves.
type reportChanges struct {
	reports, added, leaving, open, cold int
	lastOffset                          int64
}

func (c *reportChanges) add(vm fleet.VM, known bool, now time.Duration, offset int64) {
	c.reports++
	c.lastOffset = offset
	if !known {
		c.added++
	}
	if vm.Leaving {
		c.leaving++
	}
	if vm.Member.State == fleet.MemberOpen {
		c.open++
	}
	if vm.ColdUntil > now {
		c.cold++
	}
}

// log writes one line for all changes, if there are any.
func (c *reportChanges) log(l *slog.Logger) {
	if c.reports > 0 {
		l.Info(decisions.UpstreamsChanged, "reports", c.reports, "added", c.added, "leaving", c.leaving, "open", c.open, "cold", c.cold, "offset", c.lastOffset)
	}
}

// applyReport applies an upstream's report of itself and reports whether it changes
// the view. The change is logged, or else counted in changes.
func (s *state) applyReport(r keyed.Record, now time.Duration, changes *reportChanges) bool {
	digest := xxhash.Sum64(r.Value)
	if s.repeated(r.Key, digest, now) {
		return false
	}
	vm, err := s.decoder.VM(r.Key, r.Value)
	if err != nil {
		s.logger.Warn(decisions.UpstreamUnreadable, "upstream", r.Key, "offset", r.Offset, "error", err)
		return false
	}
	s.digests[vm.ID] = digest
	if vm.ColdRemaining > 0 {
		// A repetition prolongs the cold time, which counts from each report's arrival.
		delete(s.digests, vm.ID)
	}
	vm.ColdUntil, vm.ColdRemaining = s.cold.Record(now, vm.Incarnation(), vm.ColdRemaining), 0
	vm.LastSeen = now
	delete(s.goneAt, vm.ID)
	delete(s.gone, vm.ID)
	was, known := s.builder.VM(vm.ID)
	if known && was.Boot != vm.Boot {
		s.logLeavingEnded(was)
	}
	vm.Leaving = s.leaving.apply(vm)
	if vm.Leaving {
		vm.LeavingSince = now
		if known && was.Leaving && was.Boot == vm.Boot {
			vm.LeavingSince = was.LeavingSince
		}
	}
	vm.LastModel = vm.Model
	if vm.Model == "" && known && was.Boot == vm.Boot {
		vm.LastModel = was.LastModel
	}
	if known && sameReport(was, vm) {
		s.unchanged[vm.ID] = vm
		return false
	}
	delete(s.unchanged, vm.ID)
	s.builder.Put(vm)
	if !s.wasDetailed && !s.inUse(vm.ID) {
		changes.add(vm, known, now, r.Offset)
		return true
	}
	s.logger.Info(decisions.UpstreamChanged, "upstream", vm.ID, "known", known, "boot", vm.Boot, "leaving", vm.Leaving,
		"model", vm.Model, "staged", vm.Staged, "replica", vm.Member.Replica, "generation", vm.Member.Generation,
		"rank", vm.Member.Rank, "state", string(vm.Member.State),
		"cold_ms", max(0, vm.ColdUntil-now).Milliseconds(), "offset", r.Offset)
	return true
}

// repeated reports whether a report with a digest is the same as the VM's latest one, and
// notes its time if it is. A VM whose record lapsed is listed again by any report.
func (s *state) repeated(id string, digest uint64, now time.Duration) bool {
	if last, ok := s.digests[id]; !ok || last != digest {
		return false
	}
	vm := s.latest(id)
	if vm.ID == "" || vm.Unlisted {
		return false
	}
	delete(s.goneAt, id)
	vm.LastSeen = now
	s.unchanged[id] = vm
	return true
}

// sameReport reports whether two reports are equal except for their times and the last
// model.
func sameReport(a, b fleet.VM) bool {
	staged := len(a.Staged) == len(b.Staged)
	for i := 0; staged && i < len(a.Staged); i++ {
		staged = a.Staged[i] == b.Staged[i]
	}
	return staged && a.Boot == b.Boot && a.Address == b.Address && a.Zone == b.Zone && a.Service == b.Service &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && a.Unlisted == b.Unlisted && a.Domain == b.Domain && a.Model == b.Model && a.Member == b.Member && a.ColdUntil == b.ColdUntil
}

// handleMissing handles an upstream without a record. If the log was unreadable until less
// than reappearGrace ago, the record gets the rest of that time to come back.
// handleMissing reports whether the view changes.
func (s *state) handleMissing(id string, now time.Duration) bool {
	vm, known := s.builder.VM(id)
	if !known {
		return false
	}
	if now-s.readableSince < reappearGrace && !vm.Unlisted {
		if _, waiting := s.goneAt[id]; !waiting {
			s.goneAt[id] = s.readableSince + reappearGrace
		}
		return false
	}
	return s.retire(id, now)
}

// expireLapsed retires or removes the upstreams whose records did not come back in
// time. It reports whether the view changes.
func (s *state) expireLapsed(now time.Duration) bool {
	dirty := false
	for id, at := range s.goneAt {
		if now < at {
			continue
		}
		delete(s.goneAt, id)
		if vm, known := s.builder.VM(id); known && !vm.Unlisted {
			dirty = s.retire(id, now) || dirty
			continue
		}
		dirty = s.remove(id) || dirty
	}
	return dirty
}

// retire takes an upstream without a record out of use. A member of a replica stays in
// the view as unlisted for unlistedRetention, because the other members may still work
// with it; any other upstream is removed. It reports whether the view changes.
func (s *state) retire(id string, now time.Duration) bool {
	vm := s.latest(id)
	if vm.Member.Replica == "" {
		return s.remove(id)
	}
	if vm.Unlisted {
		return false
	}
	vm.Unlisted = true
	delete(s.unchanged, id)
	s.builder.Put(vm)
	s.goneAt[id] = now + unlistedRetention
	s.logger.Info(decisions.UpstreamLapsed, "upstream", id, "replica", vm.Member.Replica, "rank", vm.Member.Rank,
		"silent_ms", (now - vm.LastSeen).Milliseconds())
	return true
}

func (s *state) remove(id string) bool {
	_, known := s.builder.VM(id)
	vm := s.latest(id)
	delete(s.unchanged, id)
	delete(s.digests, id)
	s.builder.Remove(id)
	if known {
		s.gone[id] = goneVM{vm, bootclock.Now()}
		s.logger.Info(decisions.UpstreamGone, "upstream", id, "replica", vm.Member.Replica,
			"silent_ms", (bootclock.Now() - vm.LastSeen).Milliseconds())
	}
	return known
}

// latest returns a VM as it reported itself last; the zero VM if it is not known.
func (s *state) latest(id string) fleet.VM {
	if vm, ok := s.unchanged[id]; ok {
		return vm
	}
	vm, _ := s.builder.VM(id)
	return vm
}

// publish replaces the view by one of the current state.
func (s *state) publish() {
	if s.wasDetailed {
		for _, vm := range s.unchanged {
			s.builder.Touch(vm)
		}
		clear(s.unchanged)
	}
	s.view.Store(s.builder.View(time.Duration(s.configVerifiedAt.Load())))
	s.changed()
}
