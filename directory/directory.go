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
}

// Directory registers this node and hands on the others.
type Directory struct {
	// Stream is the stream of the records.
	Stream string
	// Name is the name of the VM; a restarted process replaces its record.
	Name string
	// ID and Address are this process's.
	ID      string
	Address netip.AddrPort
	Log     Log
	// Found is called for each other node.
	Found  func(id string, address netip.AddrPort)
	Logger *slog.Logger

	registered atomic.Bool
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
		if e.ID == d.ID {
			d.registered.Store(true)
			continue
		}
		d.Found(e.ID, e.Address)
	}
}

// Run registers this node until its record was read back.
func (d *Directory) Run(ctx context.Context) {
	value, err := json.Marshal(entry{ID: d.ID, Address: d.Address})
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
