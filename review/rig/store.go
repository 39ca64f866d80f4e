package rig

import (
	"encoding/base64"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// defaultMaxKb bounds a response to log-read unless the reader names another limit.
	defaultMaxKb = 1024
	// maxPageItems and maxPageBytes bound a page of log-newest.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// readPollInterval is the time between two checks whether a waiting read can go on.
	readPollInterval = 5 * time.Millisecond
	// storeAnswerTime is the time that the store takes for an answer.
	storeAnswerTime = 4 * time.Millisecond
)

// Store is a metadata store with keyed topics of one partition. It loses nothing.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu     sync.Mutex
	topics map[string]*topic
}

// topic holds the records of a partition.
type topic struct{ records [][]byte }

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, topics: map[string]*topic{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tamarackcleat/log-newest", s.handleNewest)
	mux.HandleFunc("GET /tamarackcleat/log-read", s.handleRead)
	mux.HandleFunc("POST /tamarackcleat/log-append", s.handleAppend)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	// The error says that the server was closed.
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Address returns where the store listens.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	// The process ends soon, so an error is irrelevant.
	_ = s.server.Close()
}

// Put appends a record of a key to a keyed topic; an empty value drops the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// item is a record in a page of log-newest.
type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	newest := map[string]item{}
	for i, rec := range t.records {
		key, value := string(rec[1:1+rec[0]]), rec[1+rec[0]:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
	}
	end := len(t.records)
	s.mu.Unlock()
	var keys []string
	for key := range newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		size += len(newest[key].Value)
		if len(items) == maxPageItems || len(items) > 0 && size > maxPageBytes {
			more = true
			break
		}
		items = append(items, newest[key])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	maxKb, err := strconv.Atoi(q.Get("maxKb"))
	if err != nil {
		maxKb = defaultMaxKb
	}
	for end := time.Now().Add(time.Duration(waitMs) * time.Millisecond); ; time.Sleep(readPollInterval) {
		s.mu.Lock()
		records := s.topic(q.Get("topic")).records
		s.mu.Unlock()
		if from < len(records) || time.Now().After(end) || r.Context().Err() != nil {
			// A failed write needs no handling: the reader reads again.
			_, _ = w.Write(encodeRecords(records, from, maxKb<<10))
			return
		}
	}
}

// encodeRecords returns the body of a response to log-read: the end, the first offset, and
// the records from an offset on, at most limit bytes unless the first one is larger.
func encodeRecords(records [][]byte, from, limit int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < len(records); i++ {
		if i > from && len(out)+4+len(records[i]) > limit {
			break
		}
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(records[i]))), records[i]...)
	}
	return out
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 || len(body) != 4+int(binary.BigEndian.Uint32(body)) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	offset := len(t.records)
	if at := q.Get("at"); at != "" && at != strconv.Itoa(offset) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"endOffset": offset})
		return
	}
	t.records = append(t.records, body[4:])
	writeJSON(w, http.StatusOK, map[string]int{"offset": offset, "endOffset": offset + 1})
}
