package gateway

import (
	"math/rand/v2"
	"time"
)

const (
	// roomFirst is the earliest return of a caller that found no room: a stream
	// lasts one to two seconds, so little ends sooner.
	roomFirst = 500 * time.Millisecond
	// roomSpread is the time over which such callers return. Callers wait up to a
	// third of their time, which is two seconds and more for streams.
	roomSpread = 1500 * time.Millisecond
)

// roomAfter returns when a caller that found no room may come back. Many are
// refused at the same moment, and would meet again if they all waited alike.
func roomAfter() time.Duration { return roomFirst + rand.N(roomSpread) }
