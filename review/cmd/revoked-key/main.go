// Command revoked-key is a case of the review: a key is taken away while an entry machine
// is cut off from the store, and requests with the key come as the cut ends.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
	"github.com/tamarackcleat/tamarackcleat/review/rig"
	"github.com/tamarackcleat/tamarackcleat/standin/link"
)

const (
	keptKey, revokedKey = "key-kept", "key-revoked"
	// cutTime is how long the store turns the machine away.
	cutTime = 7 * time.Second
	// watchTime is how long requests are sent from the beginning of the cut on.
	watchTime = 12 * time.Second
	// Each of the clients keeps its connection and sends its next request thinkTime
	// after an answer.
	clients   = 24
	thinkTime = 300 * time.Millisecond
	// bodyDelay is the time between the header and the body of a request, as if a
	// packet had been lost: the kernel sends it again after 200 ms or more.
	bodyDelay = 300 * time.Millisecond
	deadline  = time.Second
)

func config(version int, keys ...string) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[
	{"name":"order","host":"%s","pathPrefix":"/order/","type":"non_idempotent","timeoutMs":1000,"sloMs":100,"priority":2,"service":"desk","maxAttempts":1}],
	"services":[{"name":"desk","healthPath":"/healthz","maxConns":96}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"team","apiKeys":["%s"]}]}`, version, rig.Host, strings.Join(keys, `","`)))
}

func main() {
	path := flag.String("record", "record.txt", "the file of the record")
	flag.Parse()
	record, err := rig.NewRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(record.Finish(play(record)))
}

// play plays the case and records the violations. It returns why it could not be played.
func play(record *rig.Record) error {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fleet := standin.NewFleet()
	defer fleet.Close()
	fleet.WorkTime = 15 * time.Millisecond
	fleet.PutConfig(config(1, keptKey, revokedKey))
	for i := range 3 {
		fleet.Add(fmt.Sprintf("desk-%d", i), "desk", "")
	}
	storeLink, err := link.New("127.0.0.1:0", fleet.Store.Address())
	if err != nil {
		return err
	}
	defer storeLink.Close()
	node, err := rig.NewNode(dir, "edge-zone-plateau-1", storeLink.Address())
	if err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		return err
	}
	defer node.Kill()
	if err := rig.Await(10*time.Second, "the node is ready", node.Ready); err != nil {
		return err
	}
	time.Sleep(time.Second)
	first := rig.NewClient(node)
	defer first.Close()
	for _, key := range []string{keptKey, revokedKey} {
		if a := send(first, "first-"+key, key); a.Status != 200 {
			return fmt.Errorf("a request before the disruption got status %d: %v", a.Status, a.Err)
		}
	}
	traffic := startTraffic(node)
	time.Sleep(time.Second)
	cutAt := time.Now()
	if rig.Trouble() {
		record.Add("the store turns the machine away, by ended connections, for %v", cutTime)
		storeLink.SetMode(link.Refuse)
		time.AfterFunc(cutTime, func() {
			record.Add("the store serves the machine again")
			storeLink.SetMode(link.Pass)
		})
	}
	time.Sleep(100 * time.Millisecond)
	fleet.PutConfig(config(2, keptKey))
	ackAt := time.Now()
	record.Add("the store has acknowledged version 2, without %s; the bound ends at %.1f", revokedKey, record.Millis(ackAt.Add(rig.RevokeTime)))
	time.Sleep(time.Until(cutAt.Add(watchTime)))
	judge(record, fleet, traffic.stop(), ackAt)
	return nil
}

func send(c *rig.Client, id, key string) rig.Answer {
	return c.Send(rig.Request{
		Method: "POST", Path: "/order/" + id, ID: id, Key: key, Deadline: deadline, Body: strings.Repeat("x", 600), BodyDelay: bodyDelay,
	})
}

// sent is a request with its answer.
type sent struct {
	id, key string
	answer  rig.Answer
}

// traffic is the requests of all clients.
type traffic struct {
	done    chan struct{}
	running sync.WaitGroup

	mu   sync.Mutex
	sent []sent
}

// startTraffic starts the clients, one in four with the key that stays.
func startTraffic(node *rig.Node) *traffic {
	t := &traffic{done: make(chan struct{})}
	for i := range clients {
		key := revokedKey
		if i%4 == 0 {
			key = keptKey
		}
		t.running.Go(func() { t.run(rig.NewClient(node), i, key) })
	}
	return t
}

func (t *traffic) run(c *rig.Client, client int, key string) {
	defer c.Close()
	// The clients begin at different times.
	pause := thinkTime * time.Duration(client) / clients
	for i := 0; ; i++ {
		select {
		case <-t.done:
			return
		case <-time.After(pause):
		}
		id := fmt.Sprintf("id-%d-%d", client, i)
		a := send(c, id, key)
		t.mu.Lock()
		t.sent = append(t.sent, sent{id, key, a})
		t.mu.Unlock()
		pause = thinkTime
	}
}

// stop ends the clients and returns what they sent.
func (t *traffic) stop() []sent {
	close(t.done)
	t.running.Wait()
	return t.sent
}

// judge checks the rule CONFIG on keys that were taken away.
func judge(record *rig.Record, fleet *standin.Fleet, answers []sent, ackAt time.Time) {
	bound := ackAt.Add(rig.RevokeTime)
	for _, s := range answers {
		runs := fleet.RunCount(s.id)
		record.Add("%s key %s first byte sent at %.1f status %d runs %d", s.id, s.key, record.Millis(s.answer.SentAt), s.answer.Status, runs)
		if s.key == revokedKey && runs > 0 && s.answer.SentAt.After(bound) {
			record.Violation("CONFIG: %s with %s was sent %.0f ms after the acknowledgement and ran", s.id, s.key,
				float64(s.answer.SentAt.Sub(ackAt).Microseconds())/1e3)
		}
	}
}
