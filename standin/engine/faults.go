package engine

import (
	"strings"

	"github.com/tamarackcleat/tamarackcleat/standin/fault"
)

// Faults holds the fault switches of an engine VM. The zero value has no faults.
type Faults struct {
	// Pause stops the VM as long as it is set: the VM neither answers nor
	// makes progress.
	Pause bool `json:"pause"`
	// CrashOn, if not empty, crashes the VM when a prompt contains this text, after it has
	// sent CrashAfter chunks of the answer.
	CrashOn    string `json:"crash_on"`
	CrashAfter int    `json:"crash_after"`
	// SlowFactor, if over 1, multiplies the times that the VM takes to load
	// weights and to produce tokens.
	SlowFactor float64 `json:"slow_factor"`
	// IgnoreFencing makes the VM obey orders with an old generation.
	IgnoreFencing bool `json:"ignore_fencing"`
	// DropEvery, DuplicateEvery, SwapEvery and ForeignEvery, if over 0,
	// change every nth chunk, counted over all streams of the VM: it is lost,
	// sent twice, sent after its successor, or preceded by a chunk of another
	// request.
	DropEvery      int `json:"drop_every"`
	DuplicateEvery int `json:"duplicate_every"`
	SwapEvery      int `json:"swap_every"`
	ForeignEvery   int `json:"foreign_every"`
	// CutNext is the number of future streams that are cut off after
	// BreakAfter chunks. StallNext is the number of future streams that stop
	// after BreakAfter chunks while their connection stays open; CutNext is
	// used up first.
	CutNext    int `json:"cut_next"`
	StallNext  int `json:"stall_next"`
	BreakAfter int `json:"break_after"`
	// Endless is the part of the answers to prompts that does not end.
	Endless fault.EndlessPart `json:"endless"`
	// AnnounceLeaving makes all answers say that the VM is leaving, while it serves on
	// and its reports don't say so. A VM that leaves says so in any case.
	AnnounceLeaving bool `json:"announce_leaving"`
	// PauseMillis, if over 0, is the length in milliseconds of a pause that begins with
	// the next request: the VM refuses all requests in it and says for how long.
	PauseMillis int `json:"pause_ms"`
	// LoseCacheEvery, if over 0, loses every nth cache event.
	LoseCacheEvery int `json:"lose_cache_every"`
}

// crashes reports whether a prompt crashes the VM once it has sent a number of chunks.
func (f Faults) crashes(prompt string, sent int) bool {
	return f.CrashOn != "" && sent == f.CrashAfter && strings.Contains(prompt, f.CrashOn)
}

// isEveryNth reports whether n is a multiple of every; it is false if every is
// 0 or less.
func isEveryNth(n int64, every int) bool { return every > 0 && n%int64(every) == 0 }
