package retry

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
)

// Name is the name of the service.
const Name = "retry"

// Succeeded notes a request that was answered.
type Succeeded struct {
	// Class is the class of the request.
	Class string
}

// Failed asks what to do about a failed attempt. The reply is a Decision.
type Failed struct {
	// Ask identifies the reply.
	Ask kernel.AskID
	// Failure describes the attempt.
	Failure Failure
}

// Service is the kernel service "retry".
type Service struct {
	policy *Policy
}

// NewService returns a Service that decides by policy.
func NewService(policy *Policy) *Service { return &Service{policy: policy} }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case Succeeded:
		s.policy.Succeeded(now, m.Class)
	case Failed:
		return []kernel.Effect{kernel.Reply{ID: m.Ask, Msg: s.policy.Next(now, m.Failure)}}
	}
	return nil
}
