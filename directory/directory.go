// Package directory lets the nodes of a deployment find each other's addresses:
// each node registers itself by a record in a stream of the log and reads the
// records of the others. A node whose record is lost, because the log was restored
// from a backup, registers itself again.
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
	// keyPrefix is the prefix of the keys of node records.
	keyPrefix = "node/"
	// registerInterval is the time between two attempts to register this node, as
	// long as its record was not read back.
	registerInterval = time.Second
	// appendTimeout bounds one append to the log.
	appendTimeout = 700 * time.Millisecond
)

// Log appends records to streams.
type Log interface {
	// Append appends a record, the newest one of its key. After an error the
	// record may have been appended or may still be.
	Append(ctx context.Context, stream, key string, value []byte) error
}

// nodeRecord is the value of a node's record.
type nodeRecord struct {
	// ID is unique to the node's process.
	ID string `json:"id"`
	// Address is where peers reach the node.
	Address netip.AddrPort `json:"address"`
	// Zone is the node's availability zone, Cores its share of the processor in
	// cores.
	Zone  string  `json:"zone,omitempty"`
	Cores float64 `json:"cores,omitempty"`
}

// Directory registers this node and reports the other nodes that it reads from the
// stream.
type Directory struct {
	// Stream is the name of the stream that holds the node records.
	Stream string
	// Name is the name of this node's VM. It is part of the record's key, so a
	// restarted process replaces the record of the former one.
	Name string
	// Self describes this process to its peers.
	Self relay.Peer
	Log  Log
	// OnFound is called for each record of another node.
	OnFound func(relay.Peer)
	// OnRegistered is called when this node's own record is read; it may be nil.
	OnRegistered func()
	// OnProcessEnded is called with the id of a process that must have ended,
	// because another process has registered with the same address.
	OnProcessEnded func(id string)
	Logger         *slog.Logger

	registered atomic.Bool
	// processes holds the newest process found at each address. It needs no lock,
	// because batches are applied one at a time.
	processes map[netip.AddrPort]process
}

// Apply applies a batch of records read from the log stream that holds the node
// records. It must not be called concurrently.
func (d *Directory) Apply(b keyed.Batch) {
	if b.Restored {
		// The records may be older than those that were lost, so they don't show
		// which of two processes came first.
		d.registered.Store(false)
		clear(d.processes)
	}
	for _, r := range b.Records {
		if !strings.HasPrefix(r.Key, keyPrefix) || len(r.Value) == 0 {
			continue
		}
		var e nodeRecord
		if err := json.Unmarshal(r.Value, &e); err != nil || !e.Address.IsValid() {
			d.Logger.Warn(decisions.PeerUnreadableRecord, "key", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		d.report(e)
		// The older one of two processes at an address may come second in a snapshot, so
		// it is reported as ended after it was reported as found.
		d.reportReplacedProcess(e, r.Offset)
	}
}

// report reports a record, that of this node or of another one.
func (d *Directory) report(e nodeRecord) {
	if e.ID != d.Self.ID {
		d.OnFound(relay.Peer{ID: e.ID, Zone: e.Zone, Address: e.Address, Cores: e.Cores})
		return
	}
	d.registered.Store(true)
	if d.OnRegistered != nil {
		d.OnRegistered()
	}
}

// process is the process that registered an address, and the offset of its record.
type process struct {
	id     string
	offset int64
}

// reportReplacedProcess calls OnProcessEnded for the older one of two processes
// that registered the same address. A process binds its address before it
// registers, so the older process has ended.
func (d *Directory) reportReplacedProcess(e nodeRecord, offset int64) {
	if d.processes == nil {
		d.processes = map[netip.AddrPort]process{}
	}
	newest, former := process{e.ID, offset}, process{}
	if known, ok := d.processes[e.Address]; ok {
		former = known
		if known.offset > offset {
			newest, former = known, newest
		}
	}
	d.processes[e.Address] = newest
	if former.id != "" && former.id != newest.id {
		d.OnProcessEnded(former.id)
	}
}

// Run registers this node, and registers it again whenever the log has lost its record,
// until the context ends.
func (d *Directory) Run(ctx context.Context) {
	value, err := json.Marshal(nodeRecord{ID: d.Self.ID, Address: d.Self.Address, Zone: d.Self.Zone, Cores: d.Self.Cores})
	if err != nil {
		d.Logger.Error(decisions.PeerEncode, "error", err)
		return
	}
	t := time.NewTicker(registerInterval)
	defer t.Stop()
	for {
		if !d.registered.Load() {
			d.register(ctx, value)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// register tries one append of this node's record. Whether the log took it is learnt by reading
// the record back.
func (d *Directory) register(ctx context.Context, record []byte) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := d.Log.Append(ctx, d.Stream, keyPrefix+d.Name, record); err != nil {
		d.Logger.Warn(decisions.PeerRegisterFailed, "error", err)
	}
}
