// Package configuration is the kernel service that publishes changes of the
// configuration document and tells other services the document in force.
//
// The guarantees: a change is accepted only if it was made from the version that
// is in force at the change's position in the log, so of two operators who
// publish at the same time one gets a conflict and neither overwrites the other's
// change. The version in force on a node never decreases.
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

// Name is the name under which the service is registered with the kernel.
const Name = "configuration"

// publishTimeout is how long a publisher waits at most for its change to be
// read back from the log.
const publishTimeout = 4 * time.Second

// Publish is the message that asks the service to publish a change of the
// configuration. The reply is a Published message or a *verdict.Error.
type Publish struct {
	// Ask identifies the call of kernel.Node.Ask to which the service replies.
	Ask kernel.AskID
	// Request is the change.
	Request api.PublishRequest
}

// Published is the reply to a Publish message whose change was accepted.
type Published struct {
	// State is the configuration in force, which may be later than the
	// published change.
	State ledger.ConfigState
}

// Changed is the message that tells subscribers which configuration is in
// force.
type Changed struct {
	// Version counts the accepted changes; 0 before the first.
	Version int64
	// Document is the parsed document; nil before the first change.
	Document *dynamic.Document
}

// publishTimedOut is the message of the timer that ends the wait for a change; id
// is the record identifier of the change.
type publishTimedOut struct{ id string }

// Log is the part of the log service that this service uses.
type Log interface {
	// Ledgers returns this node's ledgers of all streams.
	Ledgers() *logfollow.Ledgers
}

// Service is the configuration service of one node.
type Service struct {
	log         Log
	subscribers []string
	// waiting holds the publishers that wait for a reply, by the record
	// identifier of their change.
	waiting map[string][]kernel.AskID
	inForce Changed
}

// New returns the service of one node. log gives access to the ledger of the
// configuration stream.
func New(log Log) *Service {
	return &Service{log: log, waiting: map[string][]kernel.AskID{}}
}

// Validate returns an error if text is not a valid configuration document. The
// ledger accepts only valid documents.
func Validate(text string) error {
	_, err := dynamic.Parse("document", []byte(text))
	return err
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Subscribe adds a service, by name, that gets a Changed message for each new
// version in force.
func (s *Service) Subscribe(service string) { s.subscribers = append(s.subscribers, service) }

// InForce returns the configuration in force on this node. Its Document is nil
// if no change has been accepted yet.
func (s *Service) InForce() Changed { return s.inForce }

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case Publish:
		return s.publish(now, m)
	case logfollow.RecordApplied:
		return append(s.refresh(), s.replyToPublishers(m.Record, m.Result)...)
	case logfollow.LedgerRebuilt:
		return s.refresh()
	case logfollow.AppendAbandoned:
		return s.abandon(m.Record.ID)
	case publishTimedOut:
		return s.abandon(m.id)
	}
	return nil
}

// publish checks a change and appends it to the configuration stream. The
// publisher gets its reply at once if the change was accepted before or if the
// document is not valid, else when the change is read back or given up.
func (s *Service) publish(now time.Time, m Publish) []kernel.Effect {
	req := m.Request
	state := s.log.Ledgers().Config.State()
	if accepted, _ := state.Accepted(req.ID, req.BaseVersion); accepted {
		return reply(m.Ask, Published{State: state})
	}
	if err := Validate(req.Document); err != nil {
		return reply(m.Ask, verdict.Refuse(verdict.ReasonInvalidConfig, "%v", err))
	}
	s.waiting[req.ID] = append(s.waiting[req.ID], m.Ask)
	deadline := now.Add(publishTimeout)
	return []kernel.Effect{
		kernel.Send{To: logfollow.Name, Msg: logfollow.AppendRecord{
			Stream:   record.StreamConfig,
			From:     Name,
			Deadline: deadline,
			Record: record.Record{
				ID:       req.ID,
				AtMillis: now.UnixMilli(),
				Config:   &record.ConfigChange{BaseVersion: req.BaseVersion, Document: req.Document, Author: req.Author},
			},
		}},
		kernel.SetTimer{To: Name, After: publishTimeout, Msg: publishTimedOut{req.ID}},
	}
}

// reply returns the effect that replies to a single call of kernel.Node.Ask.
func reply(id kernel.AskID, msg kernel.Message) []kernel.Effect {
	return []kernel.Effect{kernel.Reply{ID: id, Msg: msg}}
}

// replyToPublishers replies to the publishers of a change that was read back,
// where res is the ledger's verdict on this copy of the record.
func (s *Service) replyToPublishers(r record.Record, res ledger.Result) []kernel.Effect {
	if r.Config == nil {
		return nil
	}
	state := s.log.Ledgers().Config.State()
	accepted, certain := state.Accepted(r.ID, r.Config.BaseVersion)
	var answer kernel.Message = Published{State: state}
	if !accepted {
		answer = rejection(res.Cause, state, certain)
	}
	return s.replyAll(r.ID, answer)
}

// rejection returns the reply to the publishers of a change that the ledger
// rejected with cause c. certain says that no earlier copy of the change can have
// been accepted.
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

// abandon replies to the publishers of a change that was not read back in time.
func (s *Service) abandon(id string) []kernel.Effect {
	return s.replyAll(id, verdict.New(verdict.MayHaveRun, verdict.ReasonLogUnavailable,
		"the change could not be read back; publish again with the same id, or read the version in force"))
}

// replyAll sends the answer to all publishers that wait for the change with the
// given record identifier.
func (s *Service) replyAll(id string, answer kernel.Message) []kernel.Effect {
	var out []kernel.Effect
	for _, ask := range s.waiting[id] {
		out = append(out, kernel.Reply{ID: ask, Msg: answer})
	}
	delete(s.waiting, id)
	return out
}

// refresh puts the ledger's configuration in force on this node if it is newer,
// and tells the subscribers.
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
