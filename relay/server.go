package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"reflect"
	"time"

	"github.com/gorilla/mux"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/keyed"
)

// maxRequestBytes bounds the body of a poll, which holds a name and an offset for
// each stream.
const maxRequestBytes = 4 << 10

// Handler returns the HTTP handler that serves peers' polls of the streams, and the record of the
// configuration in force, which configuration returns; it must not be changed.
func Handler(streams []*keyed.Stream, configuration func() []byte) http.Handler {
	h := &server{streams: map[string]*keyed.Stream{}}
	for _, s := range streams {
		h.streams[s.Name] = s
	}
	r := mux.NewRouter()
	r.HandleFunc(PollPath, h.poll).Methods(http.MethodPost)
	r.HandleFunc(ConfigurationPath, h.serveConfiguration(configuration)).Methods(http.MethodGet)
	return r
}

// server holds the streams that are served, by name.
type server struct {
	streams map[string]*keyed.Stream
	values  compressor
}

// poll answers a peer's poll as soon as a polled stream has records, or after
// pollWait.
func (h *server) poll(w http.ResponseWriter, r *http.Request) {
	var q pollRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&q); err != nil {
		http.Error(w, "decoding the poll: "+err.Error(), http.StatusBadRequest)
		return
	}
	// The channels are read before the streams, so that a record that arrives
	// in between is not missed.
	changed := h.changeChannels(q)
	a, hasRecords := h.collect(q)
	if !hasRecords {
		waitAny(r.Context(), changed, pollWait)
		a, _ = h.collect(q)
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error is ignored: the peer has closed the connection and polls
	// again, here or at another node.
	_ = json.NewEncoder(w).Encode(a)
}

// collect returns the records that the streams hold from the requested offsets,
// and whether there are any or the log has begun a later era. It leaves out unknown
// streams and offsets that are no longer held.
func (h *server) collect(q pollRequest) (pollResponse, bool) {
	a, hasRecords := pollResponse{Streams: map[string]streamResponse{}}, false
	compress := h.values.compress
	if !q.Gzip {
		compress = func([]byte) []byte { return nil }
	}
	for name, from := range q.After {
		s, ok := h.streams[name]
		if !ok {
			continue
		}
		era := q.Eras[name]
		s.RecordEra(era)
		if b, ok := s.Tail(keyed.Position{Era: era, Offset: from}); ok {
			a.Streams[name] = encodeStreamResponse(b, bootclock.Now(), compress)
			hasRecords = hasRecords || len(b.Records) > 0
		} else if latest := s.LatestEra(); latest > era && era > 0 {
			a.Streams[name] = streamResponse{Era: latest}
			hasRecords = true
		}
	}
	return a, hasRecords
}

// changeChannels returns the channels that are closed when records arrive in the
// polled streams.
func (h *server) changeChannels(q pollRequest) []<-chan struct{} {
	var out []<-chan struct{}
	for name := range q.After {
		if s, ok := h.streams[name]; ok {
			out = append(out, s.Changed())
		}
	}
	return out
}

// waitAny returns when one of the channels is closed, the limit has passed or the
// context ends.
func waitAny(ctx context.Context, changed []<-chan struct{}, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	cases := []reflect.SelectCase{
		{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(ctx.Done())},
		{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(t.C)},
	}
	for _, c := range changed {
		cases = append(cases, reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(c)})
	}
	reflect.Select(cases)
}
