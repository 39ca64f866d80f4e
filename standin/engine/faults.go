package engine

import "strings"

// Faults are the fault switches of an engine VM.
type Faults struct {
	// Pause freezes the VM: it neither answers nor makes progress.
	Pause bool `json:"pause"`
	// CrashOn crashes the VM when a prompt contains the text.
	CrashOn string `json:"crash_on"`
	// SlowFactor, when over 1, makes the VM a straggler.
	SlowFactor float64 `json:"slow_factor"`
	// IgnoreFencing makes the VM obey orders with an old generation.
	IgnoreFencing bool `json:"ignore_fencing"`
	// DropEvery, DuplicateEvery, SwapEvery and ForeignEvery spoil every nth
	// chunk of the VM: it is lost, sent twice, sent after its successor, or
	// preceded by a chunk of another request.
	DropEvery      int `json:"drop_every"`
	DuplicateEvery int `json:"duplicate_every"`
	SwapEvery      int `json:"swap_every"`
	ForeignEvery   int `json:"foreign_every"`
	// CutNext is the number of coming streams that are cut off after
	// BreakAfter chunks; StallNext is the number of those that stop there
	// without an end.
	CutNext    int `json:"cut_next"`
	StallNext  int `json:"stall_next"`
	BreakAfter int `json:"break_after"`
	// LoseCacheEvery loses every nth cache event.
	LoseCacheEvery int `json:"lose_cache_every"`
}

// crashes reports whether a prompt crashes the VM.
func (f Faults) crashes(prompt string) bool {
	return f.CrashOn != "" && strings.Contains(prompt, f.CrashOn)
}

// hits reports whether the nth chunk or event is one of every so many.
func hits(n int64, every int) bool { return every > 0 && n%int64(every) == 0 }
