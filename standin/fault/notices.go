package fault

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/web"
)

// NoticesPath is the URL path at which a VM returns Heeded.
const NoticesPath = "/notices"

const (
	// reactionTime is the time after a refusal with a pause until which requests don't
	// count as sent in the pause.
	reactionTime = 500 * time.Millisecond
	// maxDelays bounds Heeded.AfterLeavingMillis.
	maxDelays = 10_000
	// reasonPausing is the port.Refusal.Reason of requests in a pause.
	reasonPausing = "pausing"
)

// Heeded counts the requests that arrive at a VM although it has announced that it takes
// none. It is the answer to GET /notices.
type Heeded struct {
	// Requests is the number of requests, Refused that of those refused in a pause.
	Requests int `json:"requests"`
	Refused  int `json:"refused"`
	// Pauses is the number of pauses that the VM asked for, and MostInPause the largest
	// number of requests in one of them, from half a second after its start on.
	Pauses      int `json:"pauses"`
	MostInPause int `json:"most_in_pause"`
	// AfterLeavingMillis holds the times, in milliseconds, of the requests after the
	// first one whose answer announces the leaving, since its arrival.
	AfterLeavingMillis []int64 `json:"after_leaving_ms"`
}

// Notices makes a VM announce its leaving and its pauses, and counts the requests that
// don't heed them. It is safe for concurrent use.
type Notices struct {
	mu          sync.Mutex
	heeded      Heeded
	leaving     bool
	announcedAt time.Time
	pausedAt    time.Time
	pausedUntil time.Time
	inPause     int
}

// Announce adds what the VM says of itself to the header of an answer.
func (n *Notices) Announce(h http.Header, boot string, leaving bool) {
	h.Set(port.HeaderBoot, boot)
	if !leaving {
		return
	}
	h.Set(port.HeaderLeaving, "1")
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// Refuse counts a request and refuses it if the VM pauses. begin returns the length of
// a pause that begins with this request, 0 for none. It reports whether the request was
// answered.
func (n *Notices) Refuse(w http.ResponseWriter, begin func() time.Duration) bool {
	left := n.arrive(time.Now(), begin)
	if left <= 0 {
		return false
	}
	w.Header().Set(port.HeaderRetryAfter, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	web.WriteRefusal(w, http.StatusServiceUnavailable, reasonPausing)
	return true
}

// arrive counts a request and returns how long the VM pauses yet.
func (n *Notices) arrive(now time.Time, begin func() time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heeded.Requests++
	switch {
	case !n.leaving:
	case n.announcedAt.IsZero():
		n.announcedAt = now
	case len(n.heeded.AfterLeavingMillis) < maxDelays:
		n.heeded.AfterLeavingMillis = append(n.heeded.AfterLeavingMillis, now.Sub(n.announcedAt).Milliseconds())
	}
	if !now.Before(n.pausedUntil) {
		d := begin()
		if d <= 0 {
			return 0
		}
		n.heeded.Pauses++
		n.pausedAt, n.pausedUntil, n.inPause = now, now.Add(d), 0
	}
	n.heeded.Refused++
	if now.Sub(n.pausedAt) > reactionTime {
		n.inPause++
		n.heeded.MostInPause = max(n.heeded.MostInPause, n.inPause)
	}
	return n.pausedUntil.Sub(now)
}

// ServeHTTP answers with Heeded as JSON.
func (n *Notices) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, n.heeded)
}
