package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
	"github.com/tamarackcleat/tamarackcleat/standin/web"
)

// weightRetry is the time between two tries to reach the weight store.
const weightRetry = 200 * time.Millisecond

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	var o port.Order
	if !web.ReadJSON(w, r, &o) {
		return
	}
	if refusal := s.obey(o); refusal != "" {
		web.Refuse(w, statusOf(refusal), refusal)
		return
	}
	web.WriteJSON(w, http.StatusOK, struct{}{})
}

// obey carries out an order or returns why it does not.
func (s *Service) obey(o port.Order) string {
	checks := s.settings.ChecksFencing && !s.Faults.Get().IgnoreFencing
	s.mu.Lock()
	defer s.mu.Unlock()
	if checks && o.Generation < s.member.highest {
		return refusedFencing
	}
	if s.member.leaving {
		return refusedLeaving
	}
	s.member.highest = max(s.member.highest, o.Generation)
	if o.Verb == port.OrderJoin {
		s.join(o)
		return ""
	}
	foreign := s.member.state != port.EngineIdle && !s.member.is(o.Replica, o.Generation)
	if checks && foreign {
		return refusedGeneration
	}
	s.leaveReplica()
	return ""
}

// join starts loading for a replica. A repeated order changes nothing.
func (s *Service) join(o port.Order) {
	if s.member.is(o.Replica, o.Generation) {
		return
	}
	s.running.cutAll(errSuperseded)
	ctx, cancel := context.WithCancel(s.closed)
	s.member.join(o, cancel)
	go s.loadWeights(ctx, o)
}

// leaveReplica refuses new requests and frees the VM once its streams ended.
func (s *Service) leaveReplica() {
	if s.member.state == port.EngineIdle || s.member.draining {
		return
	}
	s.member.draining = true
	replica, generation := s.member.replica, s.member.generation
	go func() {
		select {
		case <-s.running.empty():
			s.freeFrom(replica, generation)
		case <-s.closed.Done():
		}
	}()
}

// freeFrom takes the VM out of a replica if it is still in it.
func (s *Service) freeFrom(replica string, generation int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.member.is(replica, generation) {
		return false
	}
	s.member.free()
	return true
}

// loadWeights loads the order's model and makes the VM a working member.
func (s *Service) loadWeights(ctx context.Context, o port.Order) {
	if !s.holds(o.Model) && !s.transfer(ctx, o.Model) {
		return
	}
	if !s.sleep(ctx, s.settings.LoadHeld) {
		return
	}
	if o.Rank != 0 || s.settings.MemberCheck <= 0 {
		s.finishLoading(o)
		return
	}
	boots, ok := s.awaitMembers(ctx, o)
	if ok && s.finishLoading(o) {
		s.checkMembers(ctx, o, boots)
	}
}

// finishLoading makes the VM a working member unless another order came.
func (s *Service) finishLoading(o port.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.member.is(o.Replica, o.Generation) {
		return false
	}
	s.member.loaded()
	return true
}

// holds reports whether a model's weights are on the VM.
func (s *Service) holds(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range s.member.held {
		if held == model {
			return true
		}
	}
	return s.settings.WeightStore == ""
}

// transfer reads a model's weights at the weight store's rate.
func (s *Service) transfer(ctx context.Context, model string) bool {
	for {
		wait, err := reserveWeights(ctx, s.settings.WeightStore, model)
		if err == nil {
			return s.sleep(ctx, wait)
		}
		if !fault.Sleep(ctx, weightRetry) {
			return false
		}
	}
}
