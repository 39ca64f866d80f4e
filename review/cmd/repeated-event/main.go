// Command repeated-event is a case of the review: model engines hand out wrong bytes: an
// event of a stream for a second time, or an event with a wrong digit in its id.
package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackcleat/tamarackcleat/review/rig"
)

const (
	// engines form groups of groupSize in one domain.
	engines, groupSize = 6, 2
	// events is the length of a stream, eventInterval the time between two events.
	events        = 30
	eventInterval = 40 * time.Millisecond
	// One in spoilOneIn of the answers of half of the engines is spoiled: 0.025.
	spoilOneIn = 40
	// In every other spoiled answer the bytes of event repeatedEvent come twice. In the
	// others a digit in the id of the last event is wrong.
	repeatedEvent = 10
	// Each of the clients sends one stream after the other for playTime.
	clients  = 24
	playTime = 20 * time.Second
	deadline = 6 * time.Second
)

var config = fmt.Sprintf(`{"version":1,"routes":[
	{"name":"draft","host":"%s","pathPrefix":"/draft/","type":"streaming","timeoutMs":6000,"sloMs":250,"gapTargetMs":200,"priority":1,
	 "service":"llm","maxAttempts":2,"resumable":true,"sticky":true}],
	"services":[{"name":"llm","healthPath":"/healthz","maxConns":464,"engine":{"slots":26,"stride":6,"step_ms":6.45,"per_seq_ms":0.0967,
	"read_per_s":56100,"chunk":2048,"loadsPerS":50,"loads_at_once":50,"formMs":300,
	"models":[{"name":"m0","size":%d,"share":1,"pace":1,"loadS":16,"warmS":1.6}]}}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"team","apiKeys":["key"]}]}`, rig.Host, groupSize)

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

// spoiler decides which answers are spoiled.
type spoiler struct {
	record  *rig.Record
	active  atomic.Bool
	answers atomic.Int64
}

// answer returns the function that writes the streams of an engine; faulty says that the
// engine may spoil them.
func (s *spoiler) answer(engine string, faulty bool) func(http.ResponseWriter, *http.Request, string, int) {
	return func(w http.ResponseWriter, r *http.Request, id string, after int) {
		repeat, wrongID := false, false
		if faulty && s.active.Load() && after == 0 {
			answer := s.answers.Add(1)
			repeat, wrongID = answer%(2*spoilOneIn) == 1, answer%(2*spoilOneIn) == 1+spoilOneIn
		}
		for n := after + 1; n <= events; n++ {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(eventInterval):
			}
			event := rig.Event(id, n)
			switch {
			case repeat && n == repeatedEvent:
				s.record.Add("%s hands out the bytes of event %d of %s twice", engine, n, id)
				event += event
			case wrongID && n == events:
				s.record.Add("%s hands out event %d of %s with the id 20", engine, n, id)
				event = strings.Replace(event, "id: 30", "id: 20", 1)
			}
			if _, err := io.WriteString(w, event); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
		}
	}
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
	fleet.PutConfig([]byte(config))
	spoil := &spoiler{record: record}
	for i := range engines {
		id := fmt.Sprintf("llm-%d", i)
		if _, err := fleet.AddEngine(id, "llm", "d0", spoil.answer(id, i < engines/2)); err != nil {
			return err
		}
	}
	node, err := rig.NewNode(dir, "edge-zone-plateau-1", fleet.Store.Address())
	if err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		return err
	}
	defer node.Kill()
	if err := rig.Await(20*time.Second, "all groups are open", func() bool { return fleet.OpenGroups() == engines/groupSize }); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if a := send(rig.NewClient(node), "first"); a.Status != http.StatusOK {
		return fmt.Errorf("a stream before the disruption got status %d: %v", a.Status, a.Err)
	}
	spoil.active.Store(rig.Trouble())
	streams := sendAll(node)
	for _, s := range streams {
		judge(record, fleet, s)
	}
	return nil
}

func send(c *rig.Client, id string) rig.Answer {
	header := "X-Tamarackcleat-Model: m0\r\nX-Tamarackcleat-Token-Count: 714,186\r\nX-Tamarackcleat-Prefix-Hash: 5c1e07a2:40," + fmt.Sprintf("%x", id) + ":674\r\n"
	return c.Send(rig.Request{
		Method: "POST", Path: "/draft/" + id, ID: id, Key: "key", Deadline: deadline, Header: header, Body: strings.Repeat("x", 710),
	})
}

// stream is a request with its answer.
type stream struct {
	id     string
	answer rig.Answer
}

// sendAll sends one stream after the other from each client for playTime.
func sendAll(node *rig.Node) []stream {
	var mu sync.Mutex
	var out []stream
	var running sync.WaitGroup
	end := time.Now().Add(playTime)
	for client := range clients {
		running.Go(func() {
			c := rig.NewClient(node)
			defer c.Close()
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("id-%d-%d", client, i)
				a := send(c, id)
				mu.Lock()
				out = append(out, stream{id, a})
				mu.Unlock()
			}
		})
		time.Sleep(eventInterval)
	}
	running.Wait()
	return out
}

// judge checks the rule ORDER: a stream that ends as complete has each piece once.
func judge(record *rig.Record, fleet *rig.Fleet, s stream) {
	pieces := rig.EventNumbers(s.id, s.answer.Body)
	record.Add("%s sent at %.1f status %d complete %t pieces %v runs %d", s.id, record.Millis(s.answer.SentAt), s.answer.Status, s.answer.Complete,
		pieces, len(fleet.Runs(s.id)))
	if s.answer.Status != http.StatusOK {
		return
	}
	for i, n := range pieces {
		if n != i+1 {
			record.Violation("ORDER: %s: piece %d comes after %d pieces in an answer that is complete: %t", s.id, n, i, s.answer.Complete)
			return
		}
	}
	if s.answer.Complete && len(pieces) < events {
		record.Violation("ORDER: %s ends as complete after %d of %d pieces", s.id, len(pieces), events)
	}
}
