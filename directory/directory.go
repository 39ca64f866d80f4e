// Package directory tells the nodes of a deployment where to find each other,
// through records of the log.
package directory

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

const (
	// keyPrefix begins the keys of nodes.
	keyPrefix = "node/"
	// registerEvery is the time between attempts until the own record was
	// read back.
	registerEvery = time.Second
	// appendTimeout bounds one append.
	appendTimeout = 700 * time.Millisecond
)

// Log appends records.
type Log interface {
	// Append appends the newest record of a key. An error leaves open
	// whether the record was or will be appended.
	Append(ctx context.Context, stream, key string, value []byte) error
}

// entry is the value of a node's record.
type entry struct {
	// ID is unique to the node's process.
	ID string `json:"id"`
	// Address is where peers reach it.
	Address netip.AddrPort `json:"address"`
	// Zone is its availability zone, Cores its processor share.
	Zone  string  `json:"zone,omitempty"`
	Cores float64 `json:"cores,omitempty"`
}

// Directory registers this node and hands on the others.
type Directory struct {
	// Stream is the stream of the records.
	Stream string
	// Name is the name of the VM; a restarted process replaces its record.
	Name string
	// Self is this process.
	Self relay.Peer
	Log  Log
	// Found is called for each other node.
	Found func(relay.Peer)
	// Ended is called with the id of a process that has ended: another one
	// has its address.
	Ended  func(id string)
	Logger *slog.Logger

	registered atomic.Bool
	// processes holds those found, by address; batches come one at a time.
	processes map[netip.AddrPort]process
}

// Apply takes a batch of the stream.
func (d *Directory) Apply(b keyed.Batch) {
	for _, r := range b.Records {
		if !strings.HasPrefix(r.Key, keyPrefix) || len(r.Value) == 0 {
			continue
		}
		var e entry
		if err := json.Unmarshal(r.Value, &e); err != nil || !e.Address.IsValid() {
			d.Logger.Warn(decisions.PeerUnreadableRecord, "key", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		d.noteEnd(e, r.Offset)
		if e.ID == d.Self.ID {
			d.registered.Store(true)
			continue
		}
		d.Found(relay.Peer{ID: e.ID, Zone: e.Zone, Address: e.Address, Cores: e.Cores})
	}
}

// process is the newest record of an address.
type process struct {
	id     string
	offset int64
}

// noteEnd tells of the former process at an address. Processes bind their
// address before they register, so it has ended.
func (d *Directory) noteEnd(e entry, offset int64) {
	if d.processes == nil {
		d.processes = map[netip.AddrPort]process{}
	}
	newest, other := process{e.ID, offset}, process{}
	if known, ok := d.processes[e.Address]; ok {
		other = known
		if known.offset > offset {
			newest, other = known, newest
		}
	}
	d.processes[e.Address] = newest
	if other.id != "" && other.id != newest.id {
		d.Ended(other.id)
	}
}

// Run registers this node until its record was read back.
func (d *Directory) Run(ctx context.Context) {
	value, err := json.Marshal(entry{ID: d.Self.ID, Address: d.Self.Address, Zone: d.Self.Zone, Cores: d.Self.Cores})
	if err != nil {
		d.Logger.Error(decisions.PeerEncode, "error", err)
		return
	}
	t := time.NewTicker(registerEvery)
	defer t.Stop()
	for !d.registered.Load() {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		if err := d.Log.Append(call, d.Stream, keyPrefix+d.Name, value); err != nil {
			d.Logger.Warn(decisions.PeerRegisterFailed, "error", err)
		}
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
