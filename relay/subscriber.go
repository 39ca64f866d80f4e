package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/keyed"
)

const (
	// dialTimeout bounds the time to connect to a peer, which takes a few
	// milliseconds.
	dialTimeout = 200 * time.Millisecond
	// maxResponse bounds a response in bytes: the tails of all streams with
	// records of some hundred bytes.
	maxResponse = 1 << 20
	// sourceIdle closes connections to peers that are no longer polled.
	sourceIdle = 5 * time.Second
)

// Subscriber keeps streams up to date from a peer. It is safe for concurrent
// use.
type Subscriber struct {
	streams []*keyed.Stream
	source  func() (Peer, bool)
	client  *http.Client
	logger  *slog.Logger

	mu sync.Mutex
	// provenAt holds, by stream, the newest proof that came from a peer.
	provenAt map[string]time.Duration
	asked    Peer
	// connected says that the peer responded to the last poll.
	connected bool
}

// NewSubscriber returns a Subscriber of the peer that source returns from time
// to time.
func NewSubscriber(streams []*keyed.Stream, source func() (Peer, bool), logger *slog.Logger) *Subscriber {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Subscriber{
		streams:  sortedStreams(streams),
		source:   source,
		logger:   logger,
		provenAt: map[string]time.Duration{},
		client: &http.Client{
			Timeout: pollHold + pollSlack,
			Transport: &http.Transport{
				DialContext:        dialer.DialContext,
				DisableCompression: true,
				IdleConnTimeout:    sourceIdle,
				ReadBufferSize:     4 << 10,
				WriteBufferSize:    1 << 10,
			},
		},
	}
}

// Serves reports whether a stream's state came from a peer lately.
func (s *Subscriber) Serves(stream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.provenAt[stream]
	return ok && bootclock.Now()-at < maxStaleness
}

// Connected reports whether a peer responds to polls, whatever the age of what it
// hands on.
func (s *Subscriber) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connected
}

// Run polls until the context ends.
func (s *Subscriber) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := retryDelay
		peer, ok := s.choose()
		if !ok {
			s.noteConnected(false)
		} else {
			news, err := s.poll(ctx, peer)
			s.noteConnected(err == nil)
			switch {
			case err != nil:
				s.failed(ctx, peer, err)
			case news:
				pause = batchDelay
			default:
				pause = 0
			}
		}
		keyed.Sleep(ctx, pause)
	}
}

func (s *Subscriber) noteConnected(connected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connected = connected
}

// choose returns the peer to poll and notes a change.
func (s *Subscriber) choose() (Peer, bool) {
	peer, ok := s.source()
	s.mu.Lock()
	defer s.mu.Unlock()
	if peer.ID != s.asked.ID {
		s.logger.Info(decisions.StreamSource, "peer", peer.ID, "before", s.asked.ID)
		s.asked = peer
		// What another peer proved is not taken for this one's.
		clear(s.provenAt)
	}
	return peer, ok
}

// failed makes the streams' followers read the log.
func (s *Subscriber) failed(ctx context.Context, peer Peer, err error) {
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	serving := len(s.provenAt) > 0
	clear(s.provenAt)
	s.mu.Unlock()
	if serving {
		s.logger.Warn(decisions.StreamSourceLost, "peer", peer.ID, "error", err)
	}
}

// poll sends one poll and applies the response. It reports whether there were
// records.
func (s *Subscriber) poll(ctx context.Context, peer Peer) (bool, error) {
	q := pollRequest{After: map[string]int64{}}
	for _, st := range s.streams {
		if next, based := st.Next(); based {
			q.After[st.Name] = next
		}
	}
	if len(q.After) == 0 {
		return false, errors.New("no stream has been read yet")
	}
	askedAt := bootclock.Now()
	a, err := s.exchange(ctx, peer, q)
	if err != nil {
		return false, err
	}
	news := false
	for _, st := range s.streams {
		p, ok := a.Streams[st.Name]
		if !ok {
			continue
		}
		b, ok := decodePart(p, q.After[st.Name], askedAt)
		if !ok {
			return news, errors.Newf("stream %s: %d records do not lead to offset %d", st.Name, len(p.Records), p.Next)
		}
		if st.Take(b) {
			s.prove(st.Name, b.SentAt)
		}
		news = news || len(b.Records) > 0
	}
	return news, nil
}

// prove notes a proof from a peer.
func (s *Subscriber) prove(stream string, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.provenAt[stream] = max(s.provenAt[stream], at)
}

// exchange sends a poll to a peer.
func (s *Subscriber) exchange(ctx context.Context, peer Peer, q pollRequest) (pollResponse, error) {
	var a pollResponse
	body, err := json.Marshal(q)
	if err != nil {
		return a, errors.Wrap(err, "encoding a poll")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.Address.String()+Path, bytes.NewReader(body))
	if err != nil {
		return a, errors.Wrap(err, "polling a peer")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return a, errors.Wrap(err, "polling a peer")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return a, errors.Wrap(err, "reading a peer's response")
	}
	if resp.StatusCode != http.StatusOK {
		return a, errors.Newf("a peer responded with status %d", resp.StatusCode)
	}
	return a, errors.Wrap(json.Unmarshal(data, &a), "decoding a peer's response")
}
