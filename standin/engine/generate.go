package engine

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
	"github.com/tamarackcleat/tamarackcleat/standin/web"
)

// Reasons to refuse a request or an order: values of port.Refusal.Reason.
const (
	refusedGeneration = "wrong_generation"
	refusedNotReady   = "not_ready"
	refusedBusy       = "busy"
	refusedLeaving    = "leaving"
	refusedFencing    = "stale_fencing_number"
	refusedPrefix     = "wrong_prefix"
)

func (s *Service) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var req port.GenerateRequest
	if !web.ReadJSON(w, r, &req) {
		return
	}
	if s.notices.Refuse(w, s.beginPause) {
		return
	}
	answer := AnswerTo(req.Prompt, req.Seed, req.MaxTokens)
	if !validResume(req, answer) {
		web.WriteRefusal(w, http.StatusUnprocessableEntity, refusedPrefix)
		return
	}
	ctx, done, refusal := s.admit(r.Context(), req)
	if refusal != "" {
		web.WriteRefusal(w, statusOf(refusal), refusal)
		return
	}
	defer done()
	if s.Faults.Get().crashes(req.Prompt, 0) {
		s.Crash()
		fault.AbortConnection()
	}
	if part := s.Faults.Get().Endless; part != "" {
		fault.ServeEndless(w, part, "")
		return
	}
	s.serve(ctx, w, req, answer)
}

// validResume reports whether the index of the token at which a request resumes is
// within the answer and the answer prefix in the request, if any, equals the answer
// up to that token.
func validResume(req port.GenerateRequest, a Answer) bool {
	if req.ResumeFrom < 0 || req.ResumeFrom > a.Tokens {
		return false
	}
	return req.AnswerPrefix == "" || req.AnswerPrefix == a.Text(req.ResumeFrom)
}

// statusOf returns the HTTP status for a reason of refusal.
func statusOf(refusal string) int {
	switch refusal {
	case refusedGeneration, refusedFencing:
		return http.StatusConflict
	case refusedBusy:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// admit registers a request if the VM is rank 0 of the request's replica and
// takes work, and returns the reason of refusal otherwise. The caller of admit
// must call the returned function when the request ends.
func (s *Service) admit(ctx context.Context, req port.GenerateRequest) (context.Context, func(), string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal := s.member.refusal(req.Replica, req.Generation); refusal != "" {
		return nil, nil, refusal
	}
	ctx, done := s.requests.add(ctx, req.RequestID)
	return ctx, done, ""
}

// serve runs an admitted request in a slot of the batch, for which it may wait
// in the queue. It cuts the connection if the request doesn't end normally.
func (s *Service) serve(ctx context.Context, w http.ResponseWriter, req port.GenerateRequest, a Answer) {
	defer s.recordLoad()
	if err := s.acquireSlot(ctx, req.Priority); err != nil {
		if errors.Is(err, errQueueFull) {
			web.WriteRefusal(w, statusOf(refusedBusy), refusedBusy)
			return
		}
		fault.AbortConnection()
	}
	defer s.batch.release()
	s.recordLoad()
	err := s.stream(ctx, s.newChunkWriter(w), req, a)
	if errors.Is(err, errStreamStalled) {
		<-ctx.Done()
	}
	if err != nil {
		fault.AbortConnection()
	}
}

// acquireSlot waits for a slot of the batch. It records the load when the
// request is queued.
func (s *Service) acquireSlot(ctx context.Context, priority int) error {
	waiting, err := s.batch.acquireOrQueue(priority)
	if err != nil || waiting == nil {
		return err
	}
	s.recordLoad()
	return s.batch.wait(ctx, waiting)
}

// stream sends the answer's tokens from req.ResumeFrom on and then a final chunk
// without text. The first chunk comes after FirstTokenTime plus
// PrefillBlockTime for each prompt block that wasn't cached, the others every
// TokenInterval.
func (s *Service) stream(ctx context.Context, cw *chunkWriter, req port.GenerateRequest, a Answer) error {
	cached, blocks := s.cache.lookupAndAdd(s.settings.Clock(), req.Prompt, s.Faults.Get().LoseCacheEvery)
	prefill := s.settings.FirstTokenTime
	for range blocks - cached {
		prefill += s.settings.PrefillBlockTime
	}
	wait := prefill
	for i := req.ResumeFrom; i < a.Tokens; i++ {
		if !s.sleep(ctx, wait) {
			return context.Cause(ctx)
		}
		wait = s.settings.TokenInterval
		chunk := port.Chunk{RequestID: req.RequestID, Index: i, Text: a.Token(i)}
		if i == req.ResumeFrom {
			chunk.CachedTokens = cached * port.PrefixBlockBytes / bytesPerToken
		}
		if err := cw.send(chunk); err != nil {
			return err
		}
		if s.Faults.Get().crashes(req.Prompt, i+1-req.ResumeFrom) {
			s.Crash()
			return errCrashed
		}
	}
	if !s.sleep(ctx, 0) {
		return context.Cause(ctx)
	}
	return cw.send(port.Chunk{RequestID: req.RequestID, Index: a.Tokens, Final: true, FinishReason: a.FinishReason})
}

func (s *Service) handleCancel(w http.ResponseWriter, r *http.Request) {
	var req port.CancelRequest
	if !web.ReadJSON(w, r, &req) {
		return
	}
	s.requests.cancel(req.RequestID)
	web.WriteJSON(w, http.StatusOK, req)
}
