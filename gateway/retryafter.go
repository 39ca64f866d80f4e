package gateway

import (
	"math/rand/v2"
	"time"
)

const (
	// noRoomMinDelay is the shortest delay after which a caller may retry a request
	// that no upstream had room for. A stream lasts one to two seconds, so few end
	// sooner.
	noRoomMinDelay = 500 * time.Millisecond
	// noRoomSpread is the time over which the retries of such callers are spread.
	// Callers wait before a retry for up to a third of the time they have, and
	// that time is two seconds or more for streams.
	noRoomSpread = 1500 * time.Millisecond
)

// noRoomRetryAfter returns a random delay after which a caller may retry a request that
// no upstream had room for. Many requests are refused at the same moment, and equal
// delays would make all of them arrive together again.
func noRoomRetryAfter() time.Duration { return noRoomMinDelay + rand.N(noRoomSpread) }
