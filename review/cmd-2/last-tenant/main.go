// Command last-tenant runs a case of the review: the operator takes away the last API keys
// with a configuration whose list of tenants is empty. No request with them, or with a key
// that never was one, may run from then on.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
	"github.com/tamarackcleat/tamarackcleat/review/stand"
)

const (
	config = `{"version":%d,"routes":[
{"name":"payout","host":"ficu95.example","pathPrefix":"/puxa403/","type":"non_idempotent","timeoutMs":600,"sloMs":100,"priority":2,"service":"desk-app","maxAttempts":2,"public":false}],
"services":[{"name":"desk-app","healthPath":"/healthz","maxConns":49}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":%s}`
	tenant   = `[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]`
	neverKey = "k0000000000000000000"
	deadline = 600 * time.Millisecond
	// revoke is revokeMs.
	revoke  = 5 * time.Second
	revokeA = 4 * time.Second
	length  = 16 * time.Second
)

func main() { stand.Main(run) }

func run(r *stand.Record, dir string, trouble bool) ([]string, error) {
	store := standin.NewStore()
	defer store.Close()
	store.Put("keyed.op", "config", []byte(fmt.Sprintf(config, 7, tenant)))
	var fleet []*stand.PlainEngine
	for i := range 3 {
		e := &stand.PlainEngine{ID: fmt.Sprintf("i-%d", i+1), Service: "desk-app", Slots: 6}
		e.Work = func(w http.ResponseWriter, _ *http.Request, id string) {
			time.Sleep(15 * time.Millisecond)
			w.Header().Set(stand.HeaderStamp, "stamp-"+id)
			_, _ = fmt.Fprintf(w, "done %s", id)
		}
		if err := e.Start(store, r); err != nil {
			return nil, err
		}
		defer e.Stop()
		fleet = append(fleet, e)
	}
	var gateways []*stand.Gateway
	for i := range 2 {
		g, err := stand.StartGateway(dir, fmt.Sprintf("edge-kol-a-%d", i+1), store.Address(), stand.PageBounds)
		if err != nil {
			return nil, err
		}
		defer g.Stop()
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second)
	began := time.Now()
	var revokedAt time.Time
	var attempts []*stand.Attempt
	keys := map[string]string{}
	for n := 0; time.Since(began) < length; n++ {
		if trouble && revokedAt.IsZero() && time.Since(began) > revokeA {
			// The store keeps the operator's JSON as it is.
			body := []byte(fmt.Sprintf(config, 8, "[]"))
			if !json.Valid(body) {
				return nil, fmt.Errorf("invalid configuration")
			}
			store.Put("keyed.op", "config", body)
			revokedAt = time.Now()
			r.Add("config 8 acknowledged: the list of tenants is empty")
		}
		key := stand.Key
		if n%4 == 3 {
			key = neverKey
		}
		t := ask(r, gateways[n%len(gateways)], key)
		attempts = append(attempts, t)
		keys[t.ID] = key
		time.Sleep(80 * time.Millisecond)
	}
	time.Sleep(time.Second)
	var broken []string
	for _, t := range attempts {
		runs := 0
		for _, e := range fleet {
			runs += e.Runs(t.ID)
		}
		switch {
		case runs == 0:
		case keys[t.ID] == neverKey:
			broken = append(broken, fmt.Sprintf("ROUTE: %s ran with a key that no configuration ever held", t.ID))
		case !revokedAt.IsZero() && t.SentAt.After(revokedAt.Add(revoke)):
			broken = append(broken, fmt.Sprintf("CONFIG: %s was sent %.1f s after its key was taken away, and ran", t.ID, t.SentAt.Sub(revokedAt).Seconds()))
		}
	}
	return broken, nil
}

// ask sends a request with a key on a connection of its own and notes the answer.
func ask(r *stand.Record, g *stand.Gateway, key string) *stand.Attempt {
	t := stand.NewAttempt()
	c, err := stand.Dial(g.Front())
	if err != nil {
		t.Err = err
		return t
	}
	defer c.Close()
	t.SentAt = time.Now()
	text := fmt.Sprintf("POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\nContent-Length: 7\r\n\r\napprove",
		stand.Host, stand.HeaderAttempt, t.ID, stand.HeaderDeadline, deadline.Milliseconds(), key)
	if _, t.Err = c.Net().Write([]byte(text)); t.Err == nil {
		// The error is in the attempt.
		_ = c.Receive(t, time.Now().Add(deadline+time.Second))
	}
	r.Add("sent     %s to %s with key %s: status %d %s", t.ID, g.Name, key[:4], t.Status, strings.TrimSpace(string(t.Body)))
	return t
}
