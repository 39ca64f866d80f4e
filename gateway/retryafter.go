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
	// noRoomSpread is the length of the interval over which the retries of callers
	// are spread whose requests no upstream had room for. Callers wait before a
	// retry for up to a third of the time until their deadline, and have two
	// seconds or more for a stream.
	noRoomSpread = 1500 * time.Millisecond
)

// noRoomRetryAfter returns a random delay after which a caller may retry a request that
// no upstream had room for. Many requests are refused at the same moment, and equal
// delays would make all of them arrive together again.
func noRoomRetryAfter() time.Duration { return noRoomMinDelay + rand.N(noRoomSpread) }
