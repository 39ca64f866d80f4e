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

// maxQuestion bounds a question in bytes: a name and an offset a stream.
const maxQuestion = 4 << 10

// Handler answers peers' questions on streams.
func Handler(streams []*keyed.Stream) http.Handler {
	h := &server{streams: map[string]*keyed.Stream{}}
	for _, s := range streams {
		h.streams[s.Name] = s
	}
	r := mux.NewRouter()
	r.HandleFunc(Path, h.answer).Methods(http.MethodPost)
	return r
}

type server struct{ streams map[string]*keyed.Stream }

// answer holds a question until a stream has records for it.
func (h *server) answer(w http.ResponseWriter, r *http.Request) {
	var q question
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuestion)).Decode(&q); err != nil {
		http.Error(w, "decoding the question: "+err.Error(), http.StatusBadRequest)
		return
	}
	// The channels are taken before the look at the streams, so that no
	// record falls between.
	changed := h.changes(q)
	a, news := h.collect(q)
	if !news {
		wait(r.Context(), changed, hold)
		a, _ = h.collect(q)
	}
	w.Header().Set("Content-Type", "application/json")
	// A peer that went away asks another node.
	_ = json.NewEncoder(w).Encode(a)
}

// collect returns what streams hold after the question's offsets, and whether
// any has records.
func (h *server) collect(q question) (answer, bool) {
	a, news := answer{Streams: map[string]part{}}, false
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

// changes returns the channels that tell of records in the streams asked for.
func (h *server) changes(q question) []<-chan struct{} {
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
