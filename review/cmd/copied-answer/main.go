// Command copied-answer is a case of the review: a member of a group is lost, and the head
// of the group sends a copy of its last answer in place of the one to the order to leave.
package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/review/rig"
)

const (
	// engines form groups of groupSize in one domain; one is left over.
	engines, groupSize = 7, 3
	// events is the length of a stream, eventInterval the time between two events.
	events        = 30
	eventInterval = 40 * time.Millisecond
	// lateBy is how long after its arrival an order is carried out.
	lateBy = 8 * time.Second
	// Each of the clients sends one stream after the other until the end of the case,
	// watchTime after the loss of the member.
	clients   = 12
	watchTime = 12 * time.Second
	deadline  = 6 * time.Second
)

var config = fmt.Sprintf(`{"version":1,"routes":[
	{"name":"draft","host":"%s","pathPrefix":"/draft/","type":"streaming","timeoutMs":6000,"sloMs":250,"gapTargetMs":200,"priority":1,
	 "service":"llm","maxAttempts":2,"resumable":true,"sticky":true}],
	"services":[{"name":"llm","healthPath":"/healthz","maxConns":464,"engine":{"slots":26,"stride":6,"step_ms":6.45,"per_seq_ms":0.0967,
	"read_per_s":56100,"chunk":2048,"loadsPerS":5.5,"loads_at_once":8,"formMs":300,
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

// answer writes the stream of an engine, which stands still while its group lacks a member.
func answer(e **rig.Engine) func(http.ResponseWriter, *http.Request, string, int) {
	return func(w http.ResponseWriter, r *http.Request, id string, after int) {
		for n := after + 1; n <= events; {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(eventInterval):
			}
			if !(*e).Progressing() {
				continue
			}
			if _, err := io.WriteString(w, rig.Event(id, n)); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			n++
		}
	}
}

// play plays the case; the engines record the violations. It returns why it could not be
// played.
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
	for i := range engines {
		var e *rig.Engine
		if e, err = fleet.AddEngine(fmt.Sprintf("llm-%d", i), "llm", "d0", answer(&e)); err != nil {
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
	traffic := startTraffic(record, node)
	time.Sleep(2 * time.Second)
	disrupt(record, fleet)
	time.Sleep(watchTime)
	traffic.stop()
	return nil
}

// disrupt loses a member of a group for good. With TROUBLE=0 it does nothing, with
// TROUBLE=late the order to leave is late, but no answer is copied.
func disrupt(record *rig.Record, fleet *rig.Fleet) {
	groups := fleet.OpenGroupMembers()
	if !rig.Trouble() || len(groups) == 0 {
		return
	}
	members := groups[0]
	copies := os.Getenv("TROUBLE") != "late"
	head, lost := members[0], members[len(members)-1]
	record.Add("%s is lost for good; %s, the head of its group, carries out orders to leave %v late; copies: %t", lost.ID, head.ID, lateBy, copies)
	head.SpoilLeave(lateBy, copies)
	lost.Crash()
}

func send(c *rig.Client, id string) rig.Answer {
	header := "X-Tamarackcleat-Model: m0\r\nX-Tamarackcleat-Token-Count: 714,186\r\nX-Tamarackcleat-Prefix-Hash: 5c1e07a2:40," + fmt.Sprintf("%x", id) + ":674\r\n"
	return c.Send(rig.Request{
		Method: "POST", Path: "/draft/" + id, ID: id, Key: "key", Deadline: deadline, Header: header, Body: strings.Repeat("x", 710),
	})
}

// traffic is the streams of all clients.
type traffic struct {
	done    chan struct{}
	running sync.WaitGroup
}

func startTraffic(record *rig.Record, node *rig.Node) *traffic {
	t := &traffic{done: make(chan struct{})}
	for client := range clients {
		t.running.Go(func() {
			c := rig.NewClient(node)
			defer c.Close()
			for i := 0; ; i++ {
				select {
				case <-t.done:
					return
				case <-time.After(eventInterval):
				}
				id := fmt.Sprintf("id-%d-%d", client, i)
				a := send(c, id)
				record.Add("%s sent at %.1f status %d complete %t pieces %d", id, record.Millis(a.SentAt), a.Status, a.Complete, len(rig.EventNumbers(id, a.Body)))
			}
		})
	}
	return t
}

func (t *traffic) stop() {
	close(t.done)
	t.running.Wait()
}
