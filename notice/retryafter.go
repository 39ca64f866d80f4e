// Package notice interprets what an upstream says of itself in its answers: that it is
// leaving, and that it wants no requests for some time.
//
// It guarantees that an upstream which asked for a pause is granted no request until the
// pause has passed by the monotonic clock, whatever it or others say in between, and that
// the requests granted afterwards grow in steps.
package notice

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Notice is what an upstream says of itself in one answer.
type Notice struct {
	// Leaving says that the upstream's process is about to end.
	Leaving bool
	// Pause is how long the upstream wants no request; 0 if it asks for no pause.
	Pause time.Duration
	// Unused is why a value of the header Retry-After was not used; empty if all were.
	Unused Problem
	// Cold is how long the upstream is still cold; 0 if it does not say so. UnusedCold
	// is why a value for that was not used; empty if all were.
	Cold       time.Duration
	UnusedCold Problem
}

// Problem is what is wrong with the values of a Retry-After header.
type Problem string

// Problems with the values of a Retry-After header.
const (
	// Unreadable means that a value is not a number of seconds.
	Unreadable Problem = "unreadable"
	// Negative means that a value is below zero.
	Negative Problem = "negative"
	// TooLong means that a value is above MaxPause, which is used in its place.
	TooLong Problem = "too_long"
	// Repeated means that there are different values, of which the longest is used.
	Repeated Problem = "repeated"
)

// MaxPause bounds the pause that an upstream can ask for.
const MaxPause = time.Hour

// ParseRetryAfter returns the time in the values of a Retry-After header, in seconds that
// may have a fraction; 0 if none can be used. The problem says what was not used.
func ParseRetryAfter(values []string) (time.Duration, Problem) {
	var longest time.Duration
	var problem Problem
	for i, v := range values {
		pause, p := parseSeconds(v)
		if i > 0 && p == "" && problem == "" && pause != longest {
			p = Repeated
		}
		longest = max(longest, pause)
		if p != "" {
			problem = p
		}
	}
	return longest, problem
}

// parseSeconds returns a number of seconds as a duration between 0 and MaxPause.
func parseSeconds(v string) (time.Duration, Problem) {
	s, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	switch {
	case math.IsNaN(s):
		return 0, Unreadable
	case s > MaxPause.Seconds():
		return MaxPause, TooLong
	case err != nil:
		return 0, Unreadable
	case s < 0:
		return 0, Negative
	}
	return time.Duration(s * float64(time.Second)), ""
}
