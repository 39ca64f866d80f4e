// Command partial-read is a case of the review: configurations come in quick succession
// while an entry machine is cut off from the store, and the last one takes a key away.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/review/rig"
	"github.com/tamarackcleat/tamarackcleat/standin/link"
)

const (
	keptKey, revokedKey = "key-kept", "key-revoked"
	// cutTime is how long the store turns the machine away.
	cutTime = 8 * time.Second
	// watchTime is how long requests are sent from the beginning of the cut on.
	watchTime = 12 * time.Second
	// stormVersions configurations come one after the other, each stormGap, before the
	// key is taken away. Each has extraRoutes further routes.
	stormVersions = 25
	stormGap      = 60 * time.Millisecond
	extraRoutes   = 350
	// Each of the clients keeps its connection and sends its next request thinkTime
	// after an answer.
	clients   = 24
	thinkTime = 50 * time.Millisecond
	deadline  = time.Second
)

// config returns a configuration with some hundred routes.
func config(version int, keys ...string) []byte {
	var routes strings.Builder
	for i := range extraRoutes {
		fmt.Fprintf(&routes, `,{"name":"r-extra%05d","host":"extra%05d.example","pathPrefix":"/lohu%05d/","type":"idempotent","timeoutMs":1000,"sloMs":100,`+
			`"priority":2,"service":"desk","maxAttempts":2,"public":false,"sticky":false,"resumable":false,"gapTargetMs":0}`, i, i, i)
	}
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[
	{"name":"order","host":"%s","pathPrefix":"/order/","type":"non_idempotent","timeoutMs":1000,"sloMs":100,"priority":2,"service":"desk","maxAttempts":1}%s],
	"services":[{"name":"desk","healthPath":"/healthz","maxConns":96}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"team","apiKeys":["%s"]}]}`, version, rig.Host, routes.String(), strings.Join(keys, `","`)))
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

// answer answers a request after the work on it.
func answer(w http.ResponseWriter, _ *http.Request, id string, _ int) {
	time.Sleep(15 * time.Millisecond)
	// A failed write needs no handling: the caller has disconnected.
	_, _ = fmt.Fprintf(w, "done %s", id)
}

// play plays the case and records the violations. It returns why it could not be played.
func play(record *rig.Record) error {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fleet, err := rig.NewFleet(record)
	if err != nil {
		return err
	}
	defer fleet.Close()
	fleet.PutConfig(config(1, keptKey, revokedKey))
	for i := range 3 {
		if _, err := fleet.AddEngine(fmt.Sprintf("desk-%d", i), "desk", "", answer); err != nil {
			return err
		}
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
		if a := send(first, "first-"+key, key); a.Status != http.StatusOK {
			return fmt.Errorf("a request before the disruption got status %d: %v", a.Status, a.Err)
		}
	}
	clients := startTraffic(node)
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
	ackAt := publish(record, fleet)
	time.Sleep(time.Until(cutAt.Add(watchTime)))
	judge(record, fleet, clients.stop(), ackAt)
	return nil
}

// publish writes the configurations and returns when the last one was acknowledged.
func publish(record *rig.Record, fleet *rig.Fleet) time.Time {
	for i := range stormVersions {
		fleet.PutConfig(config(10+i, keptKey, revokedKey))
		time.Sleep(stormGap)
	}
	last := config(10+stormVersions, keptKey)
	fleet.PutConfig(last)
	ackAt := time.Now()
	record.Add("the store has acknowledged the last version, of %d bytes, without %s; the bound ends at %.1f", len(last), revokedKey,
		record.Millis(ackAt.Add(rig.RevokeTime)))
	return ackAt
}

func send(c *rig.Client, id, key string) rig.Answer {
	return c.Send(rig.Request{Method: "POST", Path: "/order/" + id, ID: id, Key: key, Deadline: deadline, Body: strings.Repeat("x", 600)})
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
func judge(record *rig.Record, fleet *rig.Fleet, answers []sent, ackAt time.Time) {
	bound := ackAt.Add(rig.RevokeTime)
	for _, s := range answers {
		runs := len(fleet.Runs(s.id))
		record.Add("%s key %s first byte sent at %.1f status %d runs %d", s.id, s.key, record.Millis(s.answer.SentAt), s.answer.Status, runs)
		if s.key == revokedKey && runs > 0 && s.answer.SentAt.After(bound) {
			record.Violation("CONFIG: %s with %s was sent %.0f ms after the acknowledgement and ran", s.id, s.key,
				float64(s.answer.SentAt.Sub(ackAt).Microseconds())/1e3)
		}
	}
}
