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

// maxRequest bounds a poll in bytes: a name and an offset a stream.
const maxRequest = 4 << 10

// Handler serves peers' polls of streams.
func Handler(streams []*keyed.Stream) http.Handler {
	h := &server{streams: map[string]*keyed.Stream{}}
	for _, s := range streams {
		h.streams[s.Name] = s
	}
	r := mux.NewRouter()
	r.HandleFunc(Path, h.poll).Methods(http.MethodPost)
	return r
}

type server struct{ streams map[string]*keyed.Stream }

// poll holds a poll until a stream has records for it.
func (h *server) poll(w http.ResponseWriter, r *http.Request) {
	var q pollRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest)).Decode(&q); err != nil {
		http.Error(w, "decoding the poll: "+err.Error(), http.StatusBadRequest)
		return
	}
	// The channels are taken before the look at the streams, so that no
	// record falls between.
	changed := h.changes(q)
	a, news := h.collect(q)
	if !news {
		wait(r.Context(), changed, pollHold)
		a, _ = h.collect(q)
	}
	w.Header().Set("Content-Type", "application/json")
	// A peer that went away polls another node.
	_ = json.NewEncoder(w).Encode(a)
}

// collect returns what streams hold after the request's offsets, and whether
// any has records.
func (h *server) collect(q pollRequest) (pollResponse, bool) {
	a, news := pollResponse{Streams: map[string]part{}}, false
	for name, from := range q.After {
		s, ok := h.streams[name]
		if !ok {
			continue
		}
		if b, ok := s.Tail(from); ok {
			a.Streams[name] = encodePart(b, bootclock.Now())
			news = news || len(b.Records) > 0
		}
	}
	return a, news
}

// changes returns the channels that tell of records in the streams polled.
func (h *server) changes(q pollRequest) []<-chan struct{} {
	var out []<-chan struct{}
	for name := range q.After {
		if s, ok := h.streams[name]; ok {
			out = append(out, s.Changed())
		}
	}
	return out
}

// wait returns when a channel is closed, the time is over or the context ends.
func wait(ctx context.Context, changed []<-chan struct{}, limit time.Duration) {
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
