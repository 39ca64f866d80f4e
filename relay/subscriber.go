package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/wirecheck"
)

const (
	// dialTimeout bounds the time to connect to a peer, which normally takes a
	// few milliseconds.
	dialTimeout = 200 * time.Millisecond
	// maxResponseBytes bounds the body of a response, which holds the newest
	// records of all streams, each a few hundred bytes long; limitPollResponse
	// names the limit. maxResponseHeadBytes bounds its status line and header.
	maxResponseBytes     = 8 << 20
	limitPollResponse    = "poll_response"
	maxResponseHeadBytes = 16 << 10
	// idleConnTimeout is how long a connection to a peer that is no longer
	// polled stays open.
	idleConnTimeout = 5 * time.Second
)

// Subscriber keeps streams up to date by polling a peer. It is safe for
// concurrent use.
type Subscriber struct {
	streams []*keyed.Stream
	source  func() (Peer, bool)
	client  *http.Client
	logger  *slog.Logger

	mu sync.Mutex
	// freshAt holds, by stream, the latest time of the boot clock at which the
	// copy received from polledPeer was known to be complete. It is emptied
	// when a poll fails or the peer changes.
	freshAt    map[string]time.Duration
	polledPeer Peer
	// connected says that the last poll got a valid response.
	connected bool
}

// NewSubscriber returns a Subscriber for the streams. Before each poll it calls
// source for the peer to poll; source returns false if there is none.
func NewSubscriber(streams []*keyed.Stream, source func() (Peer, bool), logger *slog.Logger) *Subscriber {
	return &Subscriber{
		streams: sortByName(streams),
		source:  source,
		logger:  logger,
		freshAt: map[string]time.Duration{},
		client:  newClient(pollWait + pollTimeoutMargin),
	}
}

// newClient returns an HTTP client for requests to peers with a timeout.
func newClient(timeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			DialContext:            wirecheck.Dial(dialer.DialContext),
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeadBytes,
			IdleConnTimeout:        idleConnTimeout,
			ReadBufferSize:         4 << 10,
			WriteBufferSize:        1 << 10,
		},
	}
}

// Relayed reports whether the peer keeps a stream up to date, so that the log
// need not be read: the copy received from the peer is younger than maxStaleness.
func (s *Subscriber) Relayed(stream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.freshAt[stream]
	return ok && bootclock.Now()-at < maxStaleness
}

// Connected reports whether a peer responds to polls, however stale the streams
// that it serves are.
func (s *Subscriber) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connected
}

// Run polls the peer until the context ends.
func (s *Subscriber) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := retryDelay
		peer, ok := s.selectPeer()
		if !ok {
			s.setConnected(false)
		} else {
			hasRecords, err := s.poll(ctx, peer)
			s.setConnected(err == nil)
			switch {
			case err != nil:
				s.handlePollError(ctx, peer, err)
			case hasRecords:
				pause = batchDelay
			default:
				pause = 0
			}
		}
		keyed.Sleep(ctx, pause)
	}
}

func (s *Subscriber) setConnected(connected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connected = connected
}

// selectPeer returns the peer to poll, or false if there is none. It logs a change
// of the peer.
func (s *Subscriber) selectPeer() (Peer, bool) {
	peer, ok := s.source()
	s.mu.Lock()
	defer s.mu.Unlock()
	if peer.ID != s.polledPeer.ID {
		s.logger.Info(decisions.StreamSource, "peer", peer.ID, "before", s.polledPeer.ID)
		s.polledPeer = peer
		// The freshness received from the previous peer says nothing about
		// the new one.
		clear(s.freshAt)
	}
	return peer, ok
}

// handlePollError clears the freshness of all streams, which makes their followers
// read the log.
func (s *Subscriber) handlePollError(ctx context.Context, peer Peer, err error) {
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	wasServing := len(s.freshAt) > 0
	clear(s.freshAt)
	s.mu.Unlock()
	if wasServing {
		s.logger.Warn(decisions.StreamSourceLost, "peer", peer.ID, "error", err)
	}
}

// poll sends one poll and applies the response. It reports whether the response
// held records.
func (s *Subscriber) poll(ctx context.Context, peer Peer) (bool, error) {
	q := pollRequest{After: map[string]int64{}, Eras: map[string]int64{}, Gzip: true}
	for _, st := range s.streams {
		if next, based := st.Next(); based {
			q.After[st.Name] = next.Offset
			if next.Era > 0 {
				q.Eras[st.Name] = next.Era
			}
		}
	}
	if len(q.After) == 0 {
		return false, errors.New("no stream has been read from the log yet")
	}
	sentAt := bootclock.Now()
	a, err := s.sendPoll(ctx, peer, q)
	if err != nil {
		return false, err
	}
	hasRecords := false
	for _, st := range s.streams {
		p, ok := a.Streams[st.Name]
		if !ok {
			continue
		}
		if p.Era != q.Eras[st.Name] {
			st.RecordEra(p.Era)
			continue
		}
		b, err := decodeStreamResponse(p, q.After[st.Name], sentAt)
		if err != nil {
			return hasRecords, errors.Wrapf(err, "stream %s", st.Name)
		}
		if st.Apply(b) {
			s.recordFreshness(st.Name, b.SentAt)
		}
		hasRecords = hasRecords || len(b.Records) > 0
	}
	return hasRecords, nil
}

// recordFreshness records that the copy of a stream received from the peer was
// complete at a time of the boot clock.
func (s *Subscriber) recordFreshness(stream string, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshAt[stream] = max(s.freshAt[stream], at)
}

// sendPoll sends a poll to a peer and returns its response.
func (s *Subscriber) sendPoll(ctx context.Context, peer Peer, q pollRequest) (pollResponse, error) {
	var a pollResponse
	body, err := json.Marshal(q)
	if err != nil {
		return a, errors.Wrap(err, "encoding the poll request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.Address.String()+PollPath, bytes.NewReader(body))
	if err != nil {
		return a, errors.Wrap(err, "polling a peer")
	}
	req.Header.Set("Content-Type", "application/json")
	data, err := do(s.client, req, limitPollResponse)
	if err != nil {
		return a, errors.Wrap(err, "polling a peer")
	}
	return a, errors.Wrap(json.Unmarshal(data, &a), "decoding the peer's response")
}
