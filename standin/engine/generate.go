package engine

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
	"github.com/tamarackcleat/tamarackcleat/standin/web"
)

// Values of port.Refusal.Reason.
const (
	refusedGeneration = "wrong_generation"
	refusedNotReady   = "not_ready"
	refusedBusy       = "busy"
	refusedLeaving    = "leaving"
	refusedFencing    = "stale_fencing_number"
	refusedPrefix     = "wrong_prefix"
)

func (s *Service) generate(w http.ResponseWriter, r *http.Request) {
	var req port.GenerateRequest
	if !web.ReadJSON(w, r, &req) {
		return
	}
	answer := AnswerTo(req.Prompt, req.Seed, req.MaxTokens)
	if !validResume(req, answer) {
		web.Refuse(w, http.StatusUnprocessableEntity, refusedPrefix)
		return
	}
	ctx, done, refusal := s.admit(r.Context(), req)
	if refusal != "" {
		web.Refuse(w, statusOf(refusal), refusal)
		return
	}
	defer done()
	if s.Faults.Get().crashes(req.Prompt) {
		s.Crash()
		fault.Cut()
	}
	s.serve(ctx, w, req, answer)
}

// validResume reports whether a request resumes the answer that it got.
func validResume(req port.GenerateRequest, a Answer) bool {
	if req.ResumeFrom < 0 || req.ResumeFrom > a.Tokens {
		return false
	}
	return req.Prefix == "" || req.Prefix == a.Text(req.ResumeFrom)
}

// statusOf returns the status of an answer that refuses for a reason.
func statusOf(refusal string) int {
	switch refusal {
	case refusedGeneration, refusedFencing:
		return http.StatusConflict
	case refusedBusy:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// admit registers a request if the VM is rank 0 of its replica and takes work.
func (s *Service) admit(ctx context.Context, req port.GenerateRequest) (context.Context, func(), string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal := s.member.refusal(req.Replica, req.Generation); refusal != "" {
		return nil, nil, refusal
	}
	ctx, done := s.running.add(ctx, req.RequestID)
	return ctx, done, ""
}

// serve runs an admitted request in a slot of the batch.
func (s *Service) serve(ctx context.Context, w http.ResponseWriter, req port.GenerateRequest, a Answer) {
	defer s.noteLoad()
	if err := s.enter(ctx, req.Priority); err != nil {
		if errors.Is(err, errBusy) {
			web.Refuse(w, statusOf(refusedBusy), refusedBusy)
			return
		}
		fault.Cut()
	}
	defer s.batch.leave()
	s.noteLoad()
	err := s.stream(ctx, s.newChunkWriter(w), req, a)
	if errors.Is(err, errStalled) {
		<-ctx.Done()
	}
	if err != nil {
		fault.Cut()
	}
}

// enter waits for a slot and records the queue meanwhile.
func (s *Service) enter(ctx context.Context, priority int) error {
	waiting, err := s.batch.queue(priority)
	if err != nil || waiting == nil {
		return err
	}
	s.noteLoad()
	return s.batch.await(ctx, waiting)
}

// stream sends the answer from the position that the caller has reached.
func (s *Service) stream(ctx context.Context, cw *chunkWriter, req port.GenerateRequest, a Answer) error {
	cached, blocks := s.cache.use(s.settings.Clock(), req.Prompt, s.Faults.Get().LoseCacheEvery)
	prefill := s.settings.FirstToken
	for range blocks - cached {
		prefill += s.settings.PrefillBlock
	}
	wait := prefill
	for i := req.ResumeFrom; i < a.Tokens; i++ {
		if !s.sleep(ctx, wait) {
			return context.Cause(ctx)
		}
		wait = s.settings.BetweenTokens
		chunk := port.Chunk{RequestID: req.RequestID, Index: i, Text: a.Token(i)}
		if i == req.ResumeFrom {
			chunk.CachedTokens = cached * port.PrefixBlockBytes / bytesPerToken
		}
		if err := cw.send(chunk); err != nil {
			return err
		}
	}
	if !s.sleep(ctx, 0) {
		return context.Cause(ctx)
	}
	return cw.send(port.Chunk{RequestID: req.RequestID, Index: a.Tokens, Final: true, Finish: a.Finish})
}

func (s *Service) cancel(w http.ResponseWriter, r *http.Request) {
	var req port.CancelRequest
	if !web.ReadJSON(w, r, &req) {
		return
	}
	s.running.cancel(req.RequestID)
	web.WriteJSON(w, http.StatusOK, req)
}
