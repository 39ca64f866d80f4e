package ledger

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/record"
)

// ValidateDocument returns an error if a configuration document is not valid.
// It must be a pure function of the text, so that all nodes accept the same
// documents.
type ValidateDocument func(text string) error

// ConfigState is the accepted configuration.
type ConfigState struct {
	// Version is the number of accepted changes; 0 before the first.
	Version int64 `json:"version"`
	// Document is the YAML text that is in force.
	Document string `json:"document"`
	// Author names who published Document.
	Author string `json:"author,omitempty"`
	// RecentChangeIDs holds the record identifiers of the last accepted
	// changes, at most MaxRecentChanges of them, the newest last.
	RecentChangeIDs []string `json:"recent,omitempty"`
}

// MaxRecentChanges is the number of accepted configuration changes whose record
// identifiers are kept. They show whether a change that is published again, or one
// whose record was appended more than once, was already accepted.
const MaxRecentChanges = 256

// Accepted reports whether the change with a record identifier, made against
// version base, was accepted. If it was, it became version base+1; known is
// false if the record identifier of that version is no longer kept.
func (s ConfigState) Accepted(id string, base int64) (accepted, known bool) {
	if slices.Contains(s.RecentChangeIDs, id) {
		return true, true
	}
	oldestKept := s.Version - int64(len(s.RecentChangeIDs)) + 1
	return false, base >= s.Version || base+1 >= oldestKept
}

// Config is the ledger of the configuration stream.
type Config struct {
	validate ValidateDocument
	state    ConfigState
}

// NewConfig returns a ledger without any change.
func NewConfig(validate ValidateDocument) *Config {
	return &Config{validate: validate}
}

// State returns the accepted configuration.
func (c *Config) State() ConfigState { return c.state }

// Apply implements Ledger.
func (c *Config) Apply(_ record.Position, r record.Record) Result {
	change := r.Config
	if change == nil {
		return rejected(CauseWrongStream)
	}
	if slices.Contains(c.state.RecentChangeIDs, r.ID) {
		return rejected(CauseDuplicate)
	}
	if change.BaseVersion != c.state.Version {
		return rejected(CauseStaleBase)
	}
	if err := c.validate(change.Document); err != nil {
		return rejected(CauseInvalid)
	}
	recent := append(slices.Clone(c.state.RecentChangeIDs), r.ID)
	c.state = ConfigState{
		Version:         c.state.Version + 1,
		Document:        change.Document,
		Author:          change.Author,
		RecentChangeIDs: recent[max(0, len(recent)-MaxRecentChanges):],
	}
	return accepted()
}

// Snapshot implements Ledger.
func (c *Config) Snapshot() (json.RawMessage, error) { return json.Marshal(c.state) }

// Restore implements Ledger.
func (c *Config) Restore(state json.RawMessage) error {
	var s ConfigState
	if err := json.Unmarshal(state, &s); err != nil {
		return errors.Wrap(err, "decoding the state of the configuration ledger")
	}
	c.state = s
	return nil
}

// Reset implements Ledger.
func (c *Config) Reset() { c.state = ConfigState{} }
