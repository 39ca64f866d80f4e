package gateway

import (
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/keyed"
)

const (
	// reappearGrace is how long after an outage of the log the records of upstreams
	// that lapsed during the outage may take to come back.
	reappearGrace = 2 * time.Second
	// unlistedRetention is how long a member of a replica stays in the view
	// without a record: a little longer than a leaving member stays in a replica
	// whose head has requests in progress.
	unlistedRetention = 12 * time.Second
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
	decoder   Decoder
	configKey string
	logger    *slog.Logger

	view atomic.Pointer[fleet.View]
	// configVerifiedAt is when the last read was sent that proved the
	// configuration to be current, in nanoseconds by the boot clock.
	configVerifiedAt atomic.Int64
	// changed is called after each new view was published.
	changed func()

	mu     sync.Mutex
	config *fleet.Config
	vms    map[string]fleet.VM
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
}

func newState(d Decoder, configKey string, logger *slog.Logger) *state {
	s := &state{
		decoder:      d,
		configKey:    configKey,
		logger:       logger,
		vms:          map[string]fleet.VM{},
		goneAt:       map[string]time.Duration{},
		readsFailing: true,
		changed:      func() {},
	}
	s.view.Store(fleet.NewView(nil, 0, s.vms))
	return s
}

// View returns the current view.
func (s *state) View() *fleet.View { return s.view.Load() }

// configAge returns the age of the proof that the configuration is current.
func (s *state) configAge() time.Duration {
	return bootclock.Now() - time.Duration(s.configVerifiedAt.Load())
}

// applyConfig applies a batch of records of the configuration's stream.
func (s *state) applyConfig(b keyed.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range b.Records {
		if r.Key != s.configKey || len(r.Value) == 0 {
			continue
		}
		c, err := s.decoder.Config(r.Value)
		if err != nil {
			s.logger.Error(decisions.ConfigUnreadable, "offset", r.Offset, "error", err)
			continue
		}
		if s.config != nil && c.Version <= s.config.Version {
			continue
		}
		s.logger.Info(decisions.ConfigInForce, "version", c.Version, "offset", r.Offset, "routes", c.Routes(),
			"services", len(c.Services), "keys", len(c.Teams))
		s.config = c
		s.publish()
	}
	s.configVerifiedAt.Store(int64(b.SentAt))
}

// applyVMs applies a batch of records of the upstreams' stream.
func (s *state) applyVMs(b keyed.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	if s.readsFailing {
		s.readsFailing, s.readableSince = false, now
	}
	missing := map[string]bool{}
	if b.Snapshot {
		for id := range s.vms {
			missing[id] = true
		}
	}
	dirty := false
	for _, r := range b.Records {
		delete(missing, r.Key)
		if len(r.Value) == 0 {
			missing[r.Key] = true
			continue
		}
		dirty = s.applyReport(r, now) || dirty
	}
	for id := range missing {
		dirty = s.handleMissing(id, now) || dirty
	}
	dirty = s.expireLapsed(now) || dirty
	if dirty {
		s.publish()
	}
}

// readFailed records that a read of the upstreams' stream failed.
func (s *state) readFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsFailing = true
}

// applyReport applies an upstream's report of itself and reports whether it changes
// the view.
func (s *state) applyReport(r keyed.Record, now time.Duration) bool {
	vm, err := s.decoder.VM(r.Key, r.Value)
	if err != nil {
		s.logger.Warn(decisions.UpstreamUnreadable, "upstream", r.Key, "offset", r.Offset, "error", err)
		return false
	}
	vm.LastSeen = now
	delete(s.goneAt, vm.ID)
	was, known := s.vms[vm.ID]
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
	s.vms[vm.ID] = vm
	if known && sameReport(was, vm) {
		return false
	}
	s.logger.Info(decisions.UpstreamChanged, "upstream", vm.ID, "known", known, "boot", vm.Boot, "leaving", vm.Leaving,
		"model", vm.Model, "staged", vm.Staged, "replica", vm.Member.Replica, "generation", vm.Member.Generation,
		"rank", vm.Member.Rank, "state", string(vm.Member.State), "offset", r.Offset)
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
		a.Slots == b.Slots && a.Leaving == b.Leaving && a.Unlisted == b.Unlisted && a.Domain == b.Domain && a.Model == b.Model && a.Member == b.Member
}

// handleMissing handles an upstream without a record. If the log was unreadable until less
// than reappearGrace ago, the record gets the rest of that time to come back.
// handleMissing reports whether the view changes.
func (s *state) handleMissing(id string, now time.Duration) bool {
	if _, known := s.vms[id]; !known {
		return false
	}
	if now-s.readableSince < reappearGrace && !s.vms[id].Unlisted {
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
		if vm, known := s.vms[id]; known && !vm.Unlisted {
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
	vm := s.vms[id]
	if vm.Member.Replica == "" {
		return s.remove(id)
	}
	if vm.Unlisted {
		return false
	}
	vm.Unlisted = true
	s.vms[id] = vm
	s.goneAt[id] = now + unlistedRetention
	s.logger.Info(decisions.UpstreamLapsed, "upstream", id, "replica", vm.Member.Replica, "rank", vm.Member.Rank,
		"silent_ms", (now - vm.LastSeen).Milliseconds())
	return true
}

func (s *state) remove(id string) bool {
	vm, known := s.vms[id]
	delete(s.vms, id)
	if known {
		s.logger.Info(decisions.UpstreamGone, "upstream", id, "replica", vm.Member.Replica,
			"silent_ms", (bootclock.Now() - vm.LastSeen).Milliseconds())
	}
	return known
}

// publish replaces the view by one of the current state.
func (s *state) publish() {
	v := fleet.NewView(s.config, time.Duration(s.configVerifiedAt.Load()), maps.Clone(s.vms))
	s.view.Store(v)
	s.changed()
}
