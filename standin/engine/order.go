package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
	"github.com/tamarackcleat/tamarackcleat/standin/web"
)

// weightRetryInterval is the time between two attempts to reach the weight store.
const weightRetryInterval = 200 * time.Millisecond

func (s *Service) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o port.Order
	if !web.ReadJSON(w, r, &o) {
		return
	}
	if refusal := s.applyOrder(o); refusal != "" {
		web.WriteRefusal(w, statusOf(refusal), refusal)
		return
	}
	web.WriteJSON(w, http.StatusOK, struct{}{})
}

// applyOrder carries out an order. It returns the reason if the VM refuses the
// order and an empty string otherwise.
func (s *Service) applyOrder(o port.Order) string {
	checks := s.settings.ChecksFencing && !s.Faults.Get().IgnoreFencing
	s.mu.Lock()
	defer s.mu.Unlock()
	if checks && o.Generation < s.member.highestGeneration {
		return refusedFencing
	}
	if s.member.stopping {
		return refusedLeaving
	}
	s.member.highestGeneration = max(s.member.highestGeneration, o.Generation)
	if o.Verb == port.OrderJoin {
		s.join(o)
		return ""
	}
	otherReplica := s.member.state != port.EngineIdle && !s.member.isIn(o.Replica, o.Generation)
	if checks && otherReplica {
		return refusedGeneration
	}
	s.startDraining()
	return ""
}

// join moves the VM to the order's replica, cancels all requests of its former
// one and starts loading weights. A repeated order changes nothing.
func (s *Service) join(o port.Order) {
	if s.member.isIn(o.Replica, o.Generation) {
		return
	}
	s.requests.cancelAll(errSuperseded)
	ctx, cancel := context.WithCancel(s.closed)
	s.member.join(o, cancel)
	go s.loadWeights(ctx, o)
}

// startDraining makes the VM refuse new requests and leave its replica once its
// streams have ended.
func (s *Service) startDraining() {
	if s.member.state == port.EngineIdle || s.member.draining {
		return
	}
	s.member.draining = true
	replica, generation := s.member.replica, s.member.generation
	go func() {
		select {
		case <-s.requests.whenEmpty():
			s.exitReplica(replica, generation)
		case <-s.closed.Done():
		}
	}()
}

// exitReplica makes the VM idle if it still is a member of the replica of that
// generation, and reports whether it was.
func (s *Service) exitReplica(replica string, generation int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.member.isIn(replica, generation) {
		return false
	}
	s.member.becomeIdle()
	return true
}

// loadWeights loads the order's model and makes the VM a ready member of the
// replica. Rank 0 with Settings.MemberCheck set becomes ready only when all
// other members have joined, and checks them from then on.
func (s *Service) loadWeights(ctx context.Context, o port.Order) {
	if !s.hasWeights(o.Model) && !s.transferWeights(ctx, o.Model) {
		return
	}
	if !s.sleep(ctx, s.settings.LocalLoadTime) {
		return
	}
	if o.Rank != 0 || s.settings.MemberCheckInterval <= 0 {
		s.finishLoading(o)
		return
	}
	boots, ok := s.awaitMembers(ctx, o)
	if ok && s.finishLoading(o) {
		s.checkMembers(ctx, o, boots)
	}
}

// finishLoading makes the VM a ready member of the order's replica. It returns
// false if a later order has taken the VM out of that replica.
func (s *Service) finishLoading(o port.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.member.isIn(o.Replica, o.Generation) {
		return false
	}
	s.member.setReady()
	return true
}

// hasWeights reports whether a model's weights are on the VM. Without a weight
// store those of every model are.
func (s *Service) hasWeights(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.member.heldWeights {
		if name == model {
			return true
		}
	}
	return s.settings.WeightStore == ""
}

// transferWeights waits for as long as the weight store says that the transfer
// of a model's weights takes. It retries while requests to the store fail, and
// returns false if the context ended first.
func (s *Service) transferWeights(ctx context.Context, model string) bool {
	for {
		wait, err := reserveWeights(ctx, s.settings.WeightStore, model)
		if err == nil {
			return s.sleep(ctx, wait)
		}
		if !fault.Sleep(ctx, weightRetryInterval) {
			return false
		}
	}
}
