package gateway

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/keyed"
)

// goneVM is an upstream that was removed from the view, as it reported itself last, and when
// that was, by the boot clock.
type goneVM struct {
	vm fleet.VM
	at time.Duration
}

// heldReport is a report that is not applied before a time of the boot clock.
type heldReport struct {
	record keyed.Record
	until  time.Duration
}

// justRestored reports whether the log was seen to be restored from a backup less than a time
// ago.
func (s *state) justRestored(now, ago time.Duration) bool {
	return s.restoredAt > 0 && now-s.restoredAt < ago
}

// outdated reports whether a record of a restored log is older than what the node knows of
// the upstream. A record that lists an upstream which is known to be gone is held back: if
// nothing newer comes in time, the upstream has been there all along. snapshot says that the
// record comes from a snapshot; otherwise one without a number is the newest one.
func (s *state) outdated(r keyed.Record, now time.Duration, snapshot bool) bool {
	vm, err := s.decoder.VM(r.Key, r.Value)
	if err != nil {
		// applyReport logs the error.
		return false
	}
	if vm.Revision == 0 && !snapshot {
		return false
	}
	was := s.latest(vm.ID)
	if was.ID == "" {
		was = s.gone[vm.ID].vm
	} else if !was.Unlisted {
		return precedes(vm, was)
	}
	if was.ID == "" || precedes(was, vm) {
		return false
	}
	s.heldBack[vm.ID] = heldReport{r, now + restoredGrace}
	s.logger.Info(decisions.UpstreamHeldBack, "upstream", vm.ID, "boot", vm.Boot, "revision", vm.Revision, "known_revision", was.Revision, "offset", r.Offset)
	return true
}

// precedes reports whether an upstream gave the report a before the report b. Of two reports
// without numbers, one that says that the upstream is leaving is the later one.
func precedes(a, b fleet.VM) bool {
	switch {
	case a.Boot != b.Boot:
		return a.Boot < b.Boot
	case a.Revision != b.Revision:
		return a.Revision < b.Revision
	}
	return !a.Leaving && b.Leaving
}

// releaseHeldBack applies the reports that were held back for long enough. It reports whether
// the view changes.
func (s *state) releaseHeldBack(now time.Duration) bool {
	dirty, changes := false, reportChanges{}
	for id, held := range s.heldBack {
		if now >= held.until {
			delete(s.heldBack, id)
			dirty = s.applyReport(held.record, now, &changes) || dirty
		}
	}
	changes.log(s.logger)
	return dirty
}

// expireGone drops what is known of upstreams that were removed long ago.
func (s *state) expireGone(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, g := range s.gone {
		if now-g.at > goneRetention {
			delete(s.gone, id)
		}
	}
}

// keepUnconfirmed adds zones to the evacuated ones, as the log shows them, that the node knew to
// be evacuated when the log was restored from a backup. They stay until the log says more about
// them, at most for restoredGrace. restored says that the log was restored just now.
func (s *state) keepUnconfirmed(zones map[string]bool, restored bool, now time.Duration) {
	if restored {
		for zone := range s.evacuated {
			if !zones[zone] {
				s.unconfirmed[zone] = now + restoredGrace
			}
		}
	}
	for zone, until := range s.unconfirmed {
		if now < until {
			zones[zone] = true
			continue
		}
		delete(s.unconfirmed, zone)
		delete(zones, zone)
	}
}
