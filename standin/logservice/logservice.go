// Package logservice is a stand-in for the platform's append-only log service:
// streams with offsets, limited retention, a rate limit for appends and long
// polling reads. Its fault switches inject outages and lose the answers to
// appends that have taken effect.
package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
	"github.com/tamarackcleat/tamarackcleat/standin/web"
)

// Limits of the service.
const (
	// maxEntryBytes bounds the size of one entry.
	maxEntryBytes = 1 << 20
	// defaultReadEntries bounds the entries of a read without the parameter max.
	defaultReadEntries = 64
	// maxReadEntries bounds the parameter max.
	maxReadEntries = 1024
	// maxWait bounds the parameter wait_ms of a long poll.
	maxWait = 30 * time.Second
)

// Settings of a log service.
type Settings struct {
	// Retention is how long an entry is kept.
	Retention time.Duration
	// MaxEntries bounds the entries of one stream; 0 means no bound.
	MaxEntries int
	// AppendsPerSecond limits the rate of appends over all streams.
	AppendsPerSecond float64
	// Clock gives the time for retention and for the rate limit.
	Clock func() time.Time
}

// DefaultSettings returns the settings of a log service that accepts 300
// appends a second and keeps entries for 24 hours.
func DefaultSettings() Settings {
	return Settings{Retention: 24 * time.Hour, AppendsPerSecond: 300, Clock: time.Now}
}

// Outage selects how the whole service fails.
type Outage string

const (
	// OutageRefuse refuses all appends and reads; the appends have no effect.
	OutageRefuse Outage = "refuse"
	// OutageLose executes appends, but closes the connections of appends and
	// reads without an answer.
	OutageLose Outage = "lose"
	// OutageHang holds back all answers. An append takes effect late: when the
	// outage ends or when its sender has given up.
	OutageHang Outage = "hang"
)

// Faults are the fault switches.
type Faults struct {
	// Outage, when not empty, makes the whole service fail.
	Outage Outage `json:"outage"`
	// SlowMillis is an extra delay before every answer, in milliseconds.
	SlowMillis int `json:"slow_ms"`
	// LoseAnswers is the number of next appends that take effect but get no
	// answer.
	LoseAnswers int `json:"lose_answers"`
	// RefuseAppends is the number of next appends that are refused without
	// effect.
	RefuseAppends int `json:"refuse_appends"`
	// TruncateTo holds, by stream name, the offset below which entries are
	// removed.
	TruncateTo map[string]int64 `json:"truncate_to"`
}

// Service is the stand-in for the log service. It is an http.Handler and safe for
// concurrent use.
type Service struct {
	// Faults are the fault switches.
	Faults *fault.Switches[Faults]

	settings Settings
	limiter  *rate.Limiter
	streams  streams
	router   *mux.Router
}

// New returns a log service without entries.
func New(settings Settings) *Service {
	burst := max(1, int(settings.AppendsPerSecond))
	s := &Service{
		Faults:   fault.New[Faults](),
		settings: settings,
		limiter:  rate.NewLimiter(rate.Limit(settings.AppendsPerSecond), burst),
		streams:  streams{byName: map[string]*stream{}},
		router:   mux.NewRouter(),
	}
	const entries = "/v1/streams/{stream}/entries"
	s.router.HandleFunc(entries, s.append).Methods(http.MethodPost)
	s.router.HandleFunc(entries, s.read).Methods(http.MethodGet)
	s.router.Handle(fault.Path, s.Faults).Methods(http.MethodGet, http.MethodPost)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// appendRefusal is the body of the answer to an append that had no effect.
type appendRefusal struct {
	Appended bool   `json:"appended"`
	Reason   string `json:"reason"`
}

// append handles POST /v1/streams/{stream}/entries.
func (s *Service) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEntryBytes))
	if err != nil || !json.Valid(data) {
		web.WriteJSON(w, http.StatusBadRequest, appendRefusal{Reason: "bad_entry"})
		return
	}
	if s.refusesAppend() {
		web.WriteJSON(w, http.StatusServiceUnavailable, appendRefusal{Reason: "outage"})
		return
	}
	// The append takes effect even if its sender gave up during the wait.
	s.waitWhileHung(r)
	now := s.settings.Clock()
	if !s.limiter.AllowN(now, 1) {
		web.WriteJSON(w, http.StatusTooManyRequests, appendRefusal{Reason: "rate_limit"})
		return
	}
	offset := s.streams.get(mux.Vars(r)["stream"]).append(now, data)
	fault.Sleep(r.Context(), s.delay())
	if s.losesAnswer() {
		fault.AbortConnection()
	}
	web.WriteJSON(w, http.StatusOK, port.AppendResult{Offset: offset})
}

// refusesAppend reports whether a fault switch refuses an append without effect. It
// counts RefuseAppends down.
func (s *Service) refusesAppend() bool {
	return s.Faults.Consume(func(f *Faults) bool {
		if f.RefuseAppends > 0 {
			f.RefuseAppends--
			return true
		}
		return f.Outage == OutageRefuse
	})
}

// losesAnswer reports whether a fault switch loses the answer to an append that has
// taken effect. It counts LoseAnswers down.
func (s *Service) losesAnswer() bool {
	return s.Faults.Consume(func(f *Faults) bool {
		if f.LoseAnswers > 0 {
			f.LoseAnswers--
			return true
		}
		return f.Outage == OutageLose
	})
}

// waitWhileHung waits until OutageHang ends. It returns false if the sender of the
// request gives up first.
func (s *Service) waitWhileHung(r *http.Request) bool {
	return s.Faults.WaitWhile(r.Context(), func(f Faults) bool { return f.Outage == OutageHang })
}

func (s *Service) delay() time.Duration {
	return time.Duration(s.Faults.Get().SlowMillis) * time.Millisecond
}

// read handles GET /v1/streams/{stream}/entries.
func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	name := mux.Vars(r)["stream"]
	s.awaitEntry(r, name, from, parseWait(query.Get("wait_ms")))
	fault.Sleep(r.Context(), s.delay())
	if !s.waitWhileHung(r) {
		return
	}
	switch s.Faults.Get().Outage {
	case OutageRefuse:
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	case OutageLose:
		fault.AbortConnection()
	}
	web.WriteJSON(w, http.StatusOK, s.readEntries(name, from, parseMax(query.Get("max"))))
}

// awaitEntry waits until the stream has an entry at the offset from, the timeout
// has passed or the reader has disconnected. It doesn't wait during an outage, nor for
// an offset beyond the stream's next one: a reader that asks for such an offset has
// read a longer stream before, and must learn at once that this is a different stream.
func (s *Service) awaitEntry(r *http.Request, name string, from int64, timeout time.Duration) {
	st := s.streams.get(name)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		next, appended := st.nextOffset()
		if from != next || s.Faults.Get().Outage != "" {
			return
		}
		select {
		case <-appended:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// NextOffset returns the offset that the next entry of a stream will get.
func (s *Service) NextOffset(stream string) int64 {
	next, _ := s.streams.get(stream).nextOffset()
	return next
}

// readEntries removes expired entries and returns the result of a read.
func (s *Service) readEntries(name string, from int64, count int) port.ReadResult {
	now := s.settings.Clock()
	st := s.streams.get(name)
	st.expire(now.Add(-s.settings.Retention), s.settings.MaxEntries, s.Faults.Get().TruncateTo[name])
	result := st.read(from, count)
	result.RetentionMillis = s.settings.Retention.Milliseconds()
	return result
}

// parseWait returns the wait of a long poll, at most maxWait; 0 if the parameter is
// missing or invalid.
func parseWait(value string) time.Duration {
	ms, err := strconv.Atoi(value)
	if err != nil || ms < 0 {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxWait)
}

// parseMax returns the maximum number of entries of a read, at most maxReadEntries;
// defaultReadEntries if the parameter is missing or invalid.
func parseMax(value string) int {
	n, err := strconv.Atoi(value)
	if err != nil || n <= 0 {
		return defaultReadEntries
	}
	return min(n, maxReadEntries)
}
