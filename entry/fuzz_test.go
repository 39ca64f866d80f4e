package entry

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/peers"
	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// FuzzDecodeChat checks that decodeChat refuses or accepts any body without a
// panic, that a refused request has the verdict NotRun, and that the token limit
// is at most that of the class.
func FuzzDecodeChat(f *testing.F) {
	for _, s := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`,
		`{"model":"m","messages":[{"content":[{"type":"image_url"}]}]}`,
		`{"model":"m","messages":[{}],"max_tokens":-1}`, `{"n":2}`, `null`, ``, `[[]]`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		chat, failure := decodeChat(data)
		if failure != nil {
			if failure.Verdict != verdict.NotRun {
				t.Fatalf("the refusal of a body that can't be decoded must have the verdict NotRun: %v", failure)
			}
			return
		}
		chat.prompt()
		if longest := 100; chat.maxTokens(longest) > longest {
			t.Fatal("the token limit is above that of the class")
		}
	})
}

// FuzzHeartbeat checks that the health service merges the health report in any
// heartbeat without a panic, and that it acknowledges either the sequence number of
// the report or nothing.
func FuzzHeartbeat(f *testing.F) {
	for _, s := range []string{
		`{"node":"n2","address":"127.0.0.1:1","through":{"config":1},"share":{"base":0,"seq":2,"vms":[{"vm":"v","alive":true}]}}`,
		`{"share":{"base":5,"seq":1}}`, `{"share":{"base":-1,"seq":-1,"vms":[{"gone":true}]}}`, `{}`, `[]`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var heartbeat peers.Heartbeat
		if json.Unmarshal(data, &heartbeat) != nil || heartbeat.Share == nil {
			return
		}
		now := time.Unix(1000, 0)
		s := health.New("n1", func(time.Time) []string { return nil }, func(time.Time) bool { return true },
			ledger.NewControl(), rand.New(rand.NewPCG(1, 1)))
		if ack := s.Merge(now, record.NodeID(heartbeat.Node), *heartbeat.Share); ack != 0 && ack != heartbeat.Share.Seq {
			t.Fatalf("acknowledged sequence number %d, want 0 or %d", ack, heartbeat.Share.Seq)
		}
		s.Observations()
	})
}
