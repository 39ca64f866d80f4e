// Package logservice is a stand-in of the platform's append-only log: streams
// with offsets, limited retention, an append rate limit, long polling reads,
// and faults such as outages and answers that are lost after the effect.
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

// Bounds of the service.
const (
	// maxEntryBytes bounds the data of one entry.
	maxEntryBytes = 1 << 20
	// defaultReadEntries is the number of entries of a read without max.
	defaultReadEntries = 64
	// maxReadEntries bounds max.
	maxReadEntries = 1024
	// maxWait bounds a long poll.
	maxWait = 30 * time.Second
)

// Settings of a log service.
type Settings struct {
	// Retention is how long an entry is kept.
	Retention time.Duration
	// MaxEntries bounds the entries of one stream; 0 means no bound.
	MaxEntries int
	// AppendsPerSecond is the rate limit over all streams.
	AppendsPerSecond float64
	// Clock is the time of retention and of the rate limit.
	Clock func() time.Time
}

// DefaultSettings returns the settings of a log service that accepts 300
// appends a second and keeps entries for an hour.
func DefaultSettings() Settings {
	return Settings{Retention: 24 * time.Hour, AppendsPerSecond: 300, Clock: time.Now}
}

// Outage is a way in which the whole service fails.
type Outage string

const (
	// OutageRefuse refuses appends before their effect, and reads.
	OutageRefuse Outage = "refuse"
	// OutageLose carries out appends but cuts the connection instead of
	// answering, and cuts reads.
	OutageLose Outage = "lose"
	// OutageHang answers nothing. An append takes effect late: when the
	// outage ends or when its sender has given up.
	OutageHang Outage = "hang"
)

// Faults are the fault switches.
type Faults struct {
	// Outage, when not empty, makes the whole service fail.
	Outage Outage `json:"outage"`
	// SlowMillis delays every answer.
	SlowMillis int `json:"slow_ms"`
	// LoseAnswers is the number of coming appends that take effect without
	// an answer.
	LoseAnswers int `json:"lose_answers"`
	// RefuseAppends is the number of coming appends that are refused before
	// their effect.
	RefuseAppends int `json:"refuse_appends"`
	// TruncateTo gives, by stream, an offset below which entries are gone.
	TruncateTo map[string]int64 `json:"truncate_to"`
}

// Service is the stand-in; it is an http.Handler.
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

// appendRefusal is the body of an answer that an append had no effect.
type appendRefusal struct {
	Appended bool   `json:"appended"`
	Reason   string `json:"reason"`
}

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
	s.hang(r)
	now := s.settings.Clock()
	if !s.limiter.AllowN(now, 1) {
		web.WriteJSON(w, http.StatusTooManyRequests, appendRefusal{Reason: "rate_limit"})
		return
	}
	offset := s.streams.get(mux.Vars(r)["stream"]).append(now, data)
	fault.Sleep(r.Context(), s.delay())
	if s.losesAnswer() {
		fault.Cut()
	}
	web.WriteJSON(w, http.StatusOK, port.AppendResult{Offset: offset})
}

// refusesAppend reports whether an append is refused before its effect.
func (s *Service) refusesAppend() bool {
	return s.Faults.Take(func(f *Faults) bool {
		if f.RefuseAppends > 0 {
			f.RefuseAppends--
			return true
		}
		return f.Outage == OutageRefuse
	})
}

// losesAnswer reports whether an append's answer is lost after its effect.
func (s *Service) losesAnswer() bool {
	return s.Faults.Take(func(f *Faults) bool {
		if f.LoseAnswers > 0 {
			f.LoseAnswers--
			return true
		}
		return f.Outage == OutageLose
	})
}

// hang waits while the service hangs, at most until the sender gives up.
func (s *Service) hang(r *http.Request) bool {
	return s.Faults.WaitWhile(r.Context(), func(f Faults) bool { return f.Outage == OutageHang })
}

func (s *Service) delay() time.Duration {
	return time.Duration(s.Faults.Get().SlowMillis) * time.Millisecond
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	name := mux.Vars(r)["stream"]
	s.awaitEntry(r, name, from, waitOf(query.Get("wait_ms")))
	fault.Sleep(r.Context(), s.delay())
	if !s.hang(r) {
		return
	}
	switch s.Faults.Get().Outage {
	case OutageRefuse:
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	case OutageLose:
		fault.Cut()
	}
	web.WriteJSON(w, http.StatusOK, s.entries(name, from, countOf(query.Get("max"))))
}

// awaitEntry waits until the entry at the stream's end exists, a time has
// passed or the caller is gone. An offset beyond the end is not waited for: its
// reader must learn at once that the log is another one.
func (s *Service) awaitEntry(r *http.Request, name string, from int64, wait time.Duration) {
	st := s.streams.get(name)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		next, grown := st.end()
		if from != next || s.Faults.Get().Outage != "" {
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// Next returns the next offset of a stream.
func (s *Service) Next(stream string) int64 {
	next, _ := s.streams.get(stream).end()
	return next
}

// entries returns what a read gives now.
func (s *Service) entries(name string, from int64, count int) port.ReadResult {
	now := s.settings.Clock()
	st := s.streams.get(name)
	st.expire(now.Add(-s.settings.Retention), s.settings.MaxEntries, s.Faults.Get().TruncateTo[name])
	result := st.read(from, count)
	result.RetentionMillis = s.settings.Retention.Milliseconds()
	return result
}

func waitOf(value string) time.Duration {
	ms, err := strconv.Atoi(value)
	if err != nil || ms < 0 {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxWait)
}

func countOf(value string) int {
	n, err := strconv.Atoi(value)
	if err != nil || n <= 0 {
		return defaultReadEntries
	}
	return min(n, maxReadEntries)
}
