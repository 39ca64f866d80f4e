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
	// returnGrace is how long after an outage of the log entries that lapsed
	// meanwhile may still come back.
	returnGrace = 2 * time.Second
	// lapsedFor is how long a member of a replica is remembered without an
	// entry: as long as a leaving member stays with a head that has work, and
	// a little more.
	lapsedFor = 12 * time.Second
)

// Decoder decodes the records of configuration and upstreams.
type Decoder interface {
	// Config decodes the configuration.
	Config(data []byte) (*fleet.Config, error)
	// VM decodes an upstream's report of itself.
	VM(id string, data []byte) (fleet.VM, error)
}

// state is what the node believes. Followers write it, requests read views.
type state struct {
	decoder   Decoder
	configKey string
	logger    *slog.Logger

	view     atomic.Pointer[fleet.View]
	provenAt atomic.Int64
	// changed is told of each new view.
	changed func()

	mu     sync.Mutex
	config *fleet.Config
	vms    map[string]fleet.VM
	// failing says that the last read of the upstreams' stream failed;
	// healthySince is when reads went well again.
	failing      bool
	healthySince time.Duration
	// lapsed holds upstreams whose entries went away around an outage, with
	// the time at which they are taken as gone.
	lapsed map[string]time.Duration
}

func newState(d Decoder, configKey string, logger *slog.Logger) *state {
	s := &state{
		decoder:   d,
		configKey: configKey,
		logger:    logger,
		vms:       map[string]fleet.VM{},
		lapsed:    map[string]time.Duration{},
		failing:   true,
		changed:   func() {},
	}
	s.view.Store(fleet.NewView(nil, 0, s.vms))
	return s
}

// View returns what the node believes now.
func (s *state) View() *fleet.View { return s.view.Load() }

// configAge returns the age of the proof that the configuration is current.
func (s *state) configAge() time.Duration {
	return bootclock.Now() - time.Duration(s.provenAt.Load())
}

// applyConfig takes a batch of the configuration's stream.
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
	s.provenAt.Store(int64(b.SentAt))
}

// applyVMs takes a batch of the upstreams' stream.
func (s *state) applyVMs(b keyed.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	if s.failing {
		s.failing, s.healthySince = false, now
	}
	missing := map[string]bool{}
	if b.Whole {
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
		dirty = s.report(r, now) || dirty
	}
	for id := range missing {
		dirty = s.lapse(id, now) || dirty
	}
	dirty = s.expire(now) || dirty
	if dirty {
		s.publish()
	}
}

// readFailed notes that the upstreams' stream could not be read.
func (s *state) readFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = true
}

// report takes an upstream's report and says whether it changes the view.
func (s *state) report(r keyed.Record, now time.Duration) bool {
	vm, err := s.decoder.VM(r.Key, r.Value)
	if err != nil {
		s.logger.Warn(decisions.UpstreamUnreadable, "upstream", r.Key, "offset", r.Offset, "error", err)
		return false
	}
	vm.HeardAt = now
	delete(s.lapsed, vm.ID)
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
	if known && same(was, vm) {
		return false
	}
	s.logger.Info(decisions.UpstreamChanged, "upstream", vm.ID, "known", known, "boot", vm.Boot, "leaving", vm.Leaving,
		"model", vm.Model, "staged", vm.Staged, "replica", vm.Member.Replica, "generation", vm.Member.Generation,
		"rank", vm.Member.Rank, "state", string(vm.Member.State), "offset", r.Offset)
	return true
}

// same compares two reports but for the time.
func same(a, b fleet.VM) bool {
	staged := len(a.Staged) == len(b.Staged)
	for i := 0; staged && i < len(a.Staged); i++ {
		staged = a.Staged[i] == b.Staged[i]
	}
	return staged && a.Boot == b.Boot && a.Address == b.Address && a.Zone == b.Zone && a.Service == b.Service &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && a.Lapsed == b.Lapsed && a.Domain == b.Domain && a.Model == b.Model && a.Member == b.Member
}

// lapse notes an upstream without an entry. Around an outage its entry has some
// time to come back.
func (s *state) lapse(id string, now time.Duration) bool {
	if _, known := s.vms[id]; !known {
		return false
	}
	if now-s.healthySince < returnGrace && !s.vms[id].Lapsed {
		if _, waiting := s.lapsed[id]; !waiting {
			s.lapsed[id] = s.healthySince + returnGrace
		}
		return false
	}
	return s.unlist(id, now)
}

// expire removes the upstreams whose entries did not come back.
func (s *state) expire(now time.Duration) bool {
	dirty := false
	for id, at := range s.lapsed {
		if now < at {
			continue
		}
		delete(s.lapsed, id)
		if vm, known := s.vms[id]; known && !vm.Lapsed {
			dirty = s.unlist(id, now) || dirty
			continue
		}
		dirty = s.remove(id) || dirty
	}
	return dirty
}

// unlist takes an upstream out of use. A member of a replica is remembered,
// because the others may go on with it.
func (s *state) unlist(id string, now time.Duration) bool {
	vm := s.vms[id]
	if vm.Member.Replica == "" {
		return s.remove(id)
	}
	if vm.Lapsed {
		return false
	}
	vm.Lapsed = true
	s.vms[id] = vm
	s.lapsed[id] = now + lapsedFor
	s.logger.Info(decisions.UpstreamLapsed, "upstream", id, "replica", vm.Member.Replica, "rank", vm.Member.Rank,
		"silent_ms", (now - vm.HeardAt).Milliseconds())
	return true
}

func (s *state) remove(id string) bool {
	vm, known := s.vms[id]
	delete(s.vms, id)
	if known {
		s.logger.Info(decisions.UpstreamGone, "upstream", id, "replica", vm.Member.Replica,
			"silent_ms", (bootclock.Now() - vm.HeardAt).Milliseconds())
	}
	return known
}

// publish replaces the view.
func (s *state) publish() {
	v := fleet.NewView(s.config, time.Duration(s.provenAt.Load()), maps.Clone(s.vms))
	s.view.Store(v)
	s.changed()
}
