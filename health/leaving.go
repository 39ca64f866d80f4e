package health

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/port"
)

// leavingMark records that a process announced that it is leaving.
type leavingMark struct {
	// boot is that of the process; empty if it was not known.
	boot string
	at   time.Time
}

// markLeaving records that a process announced that it is leaving, and logs its first
// announcement. It reports whether that changed anything.
func (s *Service) markLeaving(now time.Time, p port.Incarnation) bool {
	st, ok := s.vms[p.VM]
	if !ok {
		return false
	}
	if p.Boot == "" {
		p.Boot = st.Report.Boot
	}
	ended := st.previousBoot != "" && st.previousBoot == p.Boot
	if ended || st.announced(p.Boot) {
		return false
	}
	st.leaving = &leavingMark{boot: p.Boot, at: now}
	s.Logger.Info(decisions.UpstreamLeaving, "vm", string(p.VM), "boot", p.Boot, "ended", false)
	return true
}

// updateLeaving ends the mark of a process after a report of another process that was
// asked for later than the mark was set.
func (s *Service) updateLeaving(st *vmState) {
	if st.leaving == nil || st.Report.Boot == st.leaving.boot || !st.AsOf.After(st.leaving.at) {
		return
	}
	s.Logger.Info(decisions.UpstreamLeaving, "vm", string(st.VM.ID), "boot", st.leaving.boot, "ended", true)
	st.leaving = nil
}

// isLeaving reports whether a VM takes no new requests according to the VM list, its
// latest report or its own announcement.
func (st *vmState) isLeaving() bool {
	return st.VM.Leaving || st.Report.State == port.EngineLeaving || st.leaving != nil
}

// announced reports whether the process with a boot identifier announced that it is
// leaving.
func (st *vmState) announced(boot string) bool {
	return st.leaving != nil && st.leaving.boot == boot
}

// Leaving reports whether the process announced that it is leaving.
func (s *Service) Leaving(p port.Incarnation) bool {
	st, ok := s.vms[p.VM]
	return ok && st.announced(p.Boot)
}
