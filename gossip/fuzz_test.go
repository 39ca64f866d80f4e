package gossip

import (
	"net/netip"
	"testing"
	"time"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

// FuzzMessage handles arbitrary bytes as messages of two peers and sends the state that
// results. No message may end the process make another node's state negative, or change the
// version of the configuration that this node tells.
func FuzzMessage(f *testing.F) {
	f.Add([]byte(`{"node":"a","zone":"z","cores":1,"dir":"up","nodes":2,"config":-7,"loads":{"v":{"n":1,"u":2}},"silent":["v"]}`),
		[]byte(`{"node":"b","zone":"z","cores":2,"dir":"down","excess":{"v":{"n":-9}},"loads":{"v":{"n":1}}}`))
	f.Add([]byte(`{"node":"a","dir":"down","parts":{"suspects":[{"part":"p","crashes":[{"id":18446744073709551615,"age":-1}],"start":-1}],"claims":[{"part":"p","node":"b","running":true}]}}`), []byte(`{"parts":[]}`))
	f.Add([]byte(`{"node":"a","dir":"up","nodes":-5,"partial":true,"crashes":[{}],"loads":{"":{"n":9223372036854775807}}}`), []byte(`null`))
	f.Add([]byte(`{"node":"a","dir":"up","loads":"i-1,2,3;i%2C,4;,,;%zz,1"}`), []byte(`{"node":"b","loads":"a,1;","excess":"a,-1"}`))
	f.Add([]byte(`{"node":"a","dir":"sideways","excess":{"x":{}}}`), []byte(`[]`))
	const ownVersion = 3
	f.Fuzz(func(t *testing.T, first, second []byte) {
		now := time.Unix(0, 0)
		table := table{self: relay.Peer{ID: "self", Zone: "z", Cores: 1}, peers: map[string]*peer{}, onPeerEvent: func(string, *peer, time.Duration) {}}
		for i := range maxMeshPeers + 1 {
			table.register(now, relay.Peer{ID: string(rune('A' + i)), Zone: "z", Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))})
		}
		for i, data := range [][]byte{first, second} {
			m, err := decodeMessage(data)
			if err != nil || m.Node == "" || m.Node == table.self.ID {
				continue
			}
			table.recordMessage(now, m, netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(100+i)))
		}
		for _, o := range table.nextMessages(now, Message{ConfigVersion: ownVersion, Loads: map[string]dispatch.Load{"v": {InFlight: 1}}}) {
			data, err := o.encode()
			if err != nil {
				t.Fatal(err)
			}
			m, err := decodeMessage(data)
			if err != nil {
				t.Fatalf("%v: %s", err, data)
			}
			if m.Nodes < 0 || m.ConfigVersion != ownVersion {
				t.Fatalf("a message for %d nodes with version %d: %s", m.Nodes, m.ConfigVersion, data)
			}
		}
	})
}
