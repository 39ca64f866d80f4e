package retry

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
)

// Name is the name of the service.
const Name = "retry"

// Succeeded is the message that reports that a request was answered.
type Succeeded struct {
	// Class is the class of the request.
	Class string
}

// Failed is the message that asks whether to retry after a failed attempt. The reply
// is a Decision.
type Failed struct {
	// Ask identifies the question that the reply answers.
	Ask kernel.AskID
	// Failure describes the attempt.
	Failure Failure
}

// Service is the kernel service "retry". It handles Succeeded and Failed and ignores
// other messages.
type Service struct {
	policy *Policy
}

// NewService returns a Service that uses policy for its decisions.
func NewService(policy *Policy) *Service { return &Service{policy: policy} }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case Succeeded:
		s.policy.RecordSuccess(now, m.Class)
	case Failed:
		return []kernel.Effect{kernel.Reply{ID: m.Ask, Msg: s.policy.Next(now, m.Failure)}}
	}
	return nil
}
