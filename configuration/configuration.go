// Package configuration is the kernel service that publishes configuration and
// keeps the accepted one in force.
//
// The guarantee: a change is accepted by its position in the log and the
// version it was made from, so racing operators get a conflict and never
// overwrite each other; the version in force on a node never decreases.
package configuration

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Name is the service's registered name.
const Name = "configuration"

// publishWait bounds the wait for the read-back of a change.
const publishTimeout = 4 * time.Second

// Publish asks to append a change. The reply is Published or *verdict.Error.
type Publish struct {
	Ask     kernel.AskID
	Request api.PublishRequest
}

// Published says that a change was accepted.
type Published struct {
	State ledger.ConfigState
}

// Changed tells subscribers the document in force.
type Changed struct {
	Version  int64
	Document *dynamic.Document
}

// publishOver is the timer that ends the wait of a publication.
type publishTimedOut struct{ id string }

// Log is what the service reads of the log service.
type Log interface {
	Ledgers() *logfollow.Ledgers
}

// Service is the kernel service of configuration.
type Service struct {
	log         Log
	subscribers []string
	waiting     map[string][]kernel.AskID
	inForce     Changed
}

// New returns the service.
func New(log Log) *Service {
	return &Service{log: log, waiting: map[string][]kernel.AskID{}}
}

// Validate is the ledger's check of a document.
func Validate(text string) error {
	_, err := dynamic.Parse("document", []byte(text))
	return err
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Subscribe sends Changed to a service.
func (s *Service) Subscribe(service string) { s.subscribers = append(s.subscribers, service) }

// InForce returns the document in force; its Document is nil before the first.
func (s *Service) InForce() Changed { return s.inForce }

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case Publish:
		return s.publish(now, m)
	case logfollow.Applied:
		return append(s.refresh(), s.replyToPublishers(m.Record, m.Result)...)
	case logfollow.Rebuilt:
		return s.refresh()
	case logfollow.Abandoned:
		return s.abandon(m.Record.ID)
	case publishTimedOut:
		return s.abandon(m.id)
	}
	return nil
}

func (s *Service) publish(now time.Time, m Publish) []kernel.Effect {
	req := m.Request
	state := s.log.Ledgers().Config.State()
	if accepted, _ := state.Accepted(req.ID, req.Base); accepted {
		return reply(m.Ask, Published{State: state})
	}
	if err := Validate(req.Document); err != nil {
		return reply(m.Ask, verdict.Refuse(verdict.ReasonInvalidConfig, "%v", err))
	}
	s.waiting[req.ID] = append(s.waiting[req.ID], m.Ask)
	giveUp := now.Add(publishTimeout)
	return []kernel.Effect{
		kernel.Send{To: logfollow.Name, Msg: logfollow.Append{
			Stream: record.StreamConfig,
			From:   Name,
			GiveUp: giveUp,
			Record: record.Record{
				ID:       req.ID,
				AtMillis: now.UnixMilli(),
				Config:   &record.ConfigChange{Base: req.Base, Document: req.Document, Author: req.Author},
			},
		}},
		kernel.SetTimer{To: Name, After: publishTimeout, Msg: publishTimedOut{req.ID}},
	}
}

func reply(id kernel.AskID, msg kernel.Message) []kernel.Effect {
	return []kernel.Effect{kernel.Reply{ID: id, Msg: msg}}
}

// answer replies to the publishers of a record that was read back.
func (s *Service) replyToPublishers(r record.Record, res ledger.Result) []kernel.Effect {
	if r.Config == nil {
		return nil
	}
	state := s.log.Ledgers().Config.State()
	accepted, certain := state.Accepted(r.ID, r.Config.Base)
	var answer kernel.Message = Published{State: state}
	if !accepted {
		answer = rejection(res.Cause, state, certain)
	}
	return s.replyAll(r.ID, answer)
}

// rejection is the answer to a change that the ledger rejected. known says that
// no earlier copy of the change can have been accepted.
func rejection(c ledger.Cause, state ledger.ConfigState, certain bool) *verdict.Error {
	if c == ledger.CauseStaleBase {
		conflict := verdict.Refuse(verdict.ReasonConflict, "version %d by %q is in force; make the change from it", state.Version, state.Author)
		if !certain {
			return conflict.WithVerdict(verdict.MayHaveRun)
		}
		return conflict
	}
	return verdict.Refuse(verdict.ReasonInvalidConfig, "the document does not validate")
}

// over ends the wait for a change that was not read back in time.
func (s *Service) abandon(id string) []kernel.Effect {
	return s.replyAll(id, verdict.New(verdict.MayHaveRun, verdict.ReasonLogUnavailable,
		"the change could not be read back; publish again with the same id, or read the version in force"))
}

func (s *Service) replyAll(id string, answer kernel.Message) []kernel.Effect {
	var out []kernel.Effect
	for _, ask := range s.waiting[id] {
		out = append(out, kernel.Reply{ID: ask, Msg: answer})
	}
	delete(s.waiting, id)
	return out
}

// refresh puts the ledger's document in force if it is newer.
func (s *Service) refresh() []kernel.Effect {
	state := s.log.Ledgers().Config.State()
	if state.Version <= s.inForce.Version {
		return nil
	}
	doc, err := dynamic.Parse("document", []byte(state.Document))
	if err != nil {
		return nil
	}
	s.inForce = Changed{Version: state.Version, Document: doc}
	var out []kernel.Effect
	for _, name := range s.subscribers {
		out = append(out, kernel.Send{To: name, Msg: s.inForce})
	}
	return out
}
