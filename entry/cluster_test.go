package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/config/static"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/engine"
	"github.com/tamarackcleat/tamarackcleat/standin/logservice"
	"github.com/tamarackcleat/tamarackcleat/standin/plainservice"
	"github.com/tamarackcleat/tamarackcleat/standin/process"
	"github.com/tamarackcleat/tamarackcleat/standin/vmlist"
	"github.com/tamarackcleat/tamarackcleat/standin/weightstore"
)

// longTimeout limits every wait for a condition.
const longTimeout = 60 * time.Second

// cluster is a set of entry nodes on a platform of stand-in services, all on
// loopback.
type cluster struct {
	log          *logservice.Service
	vmList       *vmlist.Service
	vmListServer *httptest.Server
	engines      map[port.VMID]*engine.Service
	servers      map[port.VMID]*vmServer
	plainService *plainservice.Service
	nodes        []*runningNode
	urls         static.Platform
}

// runningNode is a node that is running and the means to stop it.
type runningNode struct {
	*Node
	url  string
	stop context.CancelFunc
	done chan error
}

func newCluster() *cluster {
	logSettings := logservice.DefaultSettings()
	listSettings := vmlist.DefaultSettings()
	listSettings.Lag = 100 * time.Millisecond
	c := &cluster{
		log:     logservice.New(logSettings),
		vmList:  vmlist.New(listSettings),
		engines: map[port.VMID]*engine.Service{},
		servers: map[port.VMID]*vmServer{},
	}
	weights := weightstore.New(weightstore.Settings{Clock: time.Now, ModelList: port.ModelList{
		Models:         []port.Model{{Name: "draft-70b", VMsPerReplica: 2, WeightBytes: 1 << 20}},
		BytesPerSecond: 1 << 30,
	}})
	c.vmListServer = c.serve(c.vmList)
	c.urls = static.Platform{Log: c.serve(c.log).URL, VMs: c.vmListServer.URL, Weights: c.serve(weights).URL}
	return c
}

// vmServer is the HTTP server of an engine VM, which a test can kill.
type vmServer struct {
	*httptest.Server
	dead atomic.Bool
}

// abortWhenDead returns a handler that aborts requests once the VM is dead.
func (s *vmServer) abortWhenDead(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.dead.Load() {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// kill makes the VM unreachable. A node may connect while the connections are
// being closed, and that connection would outlive the listener, so requests are
// aborted too.
func (s *vmServer) kill() {
	s.dead.Store(true)
	s.Listener.Close()
	s.CloseClientConnections()
}

func (c *cluster) serve(h http.Handler) *httptest.Server {
	s := httptest.NewServer(h)
	DeferCleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// register adds a VM to the VM list.
func (c *cluster) register(vm port.VM) { c.change(vmlist.Register, vm) }

func (c *cluster) change(verb vmlist.ChangeVerb, vm port.VM) {
	body, err := json.Marshal(vmlist.Change{Verb: verb, VM: vm})
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post(c.vmListServer.URL+"/v1/vms", "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// addEngines starts engine VMs in a fabric domain and adds them to the VM list.
func (c *cluster) addEngines(domain string, count int) {
	for i := range count {
		vm := port.VM{ID: port.VMID(fmt.Sprintf("%s-%d", domain, i)), Kind: port.KindEngine, Zone: "a", Domain: domain, Accelerators: 8, ChecksFencing: true}
		e := engine.New(engine.DefaultSettings(vm.ID))
		s := &vmServer{}
		s.Server = c.serve(s.abortWhenDead(e))
		vm.Address = strings.TrimPrefix(s.URL, "http://")
		c.engines[vm.ID] = e
		c.servers[vm.ID] = s
		c.register(vm)
	}
}

// addPlain starts a plain service on one VM and adds it to the VM list.
func (c *cluster) addPlain(service string) {
	c.plainService = plainservice.New(plainservice.DefaultSettings(port.VMID(service + "-0")))
	s := c.serve(c.plainService)
	c.register(port.VM{ID: port.VMID(service + "-0"), Kind: port.KindPlain, Zone: "a", Service: service, Address: strings.TrimPrefix(s.URL, "http://")})
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() string {
	GinkgoHelper()
	address, err := process.FreeAddress("127.0.0.1")
	Expect(err).NotTo(HaveOccurred())
	return address.String()
}

// addNode starts an entry node and adds it to the VM list.
func (c *cluster) addNode() *runningNode {
	address := freeAddress()
	n, err := New(static.Settings{Listen: address, Advertise: address, Zone: "a", Platform: c.urls}, slog.New(slog.NewTextHandler(GinkgoWriter, nil)))
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningNode{Node: n, url: "http://" + address, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- n.Run(ctx) }()
	DeferCleanup(cancel)
	c.register(port.VM{ID: port.VMID(n.id), Kind: port.KindEntry, Zone: "a", Address: address})
	c.nodes = append(c.nodes, r)
	return r
}

const testDocument = `deployment: test
classes:
  - name: drafting
    kind: generate
    model: draft-70b
    targets:
      first_token_within: 430ms
      between_tokens_within: 53ms
      answered_within: 10s
      for: 95 in 100
  - name: confirm
    kind: call
    service: bookings
    targets:
      answered_within: 5s
      for: 99 in 100
`

// publish publishes testDocument through the first node and retries until the node
// accepts it.
func (c *cluster) publish(base int64) {
	Eventually(func() int {
		body, _ := json.Marshal(api.PublishRequest{ID: newID(), BaseVersion: base, Document: testDocument, Author: "test"})
		resp, err := http.Post(c.nodes[0].url+api.PathConfig, "application/json", bytes.NewReader(body))
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		GinkgoWriter.Println("publish:", resp.StatusCode, string(text))
		return resp.StatusCode
	}, longTimeout, "100ms").Should(Equal(http.StatusOK))
}

// status reads a node's status; it is empty if the node doesn't respond.
func (r *runningNode) status() api.Status {
	var s api.Status
	resp, err := http.Get(r.url + api.PathStatus)
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s
}

// servingReplicas returns the number of replicas that a node routes to.
func (r *runningNode) servingReplicas() int {
	n := 0
	for _, m := range r.status().Models {
		n += m.Serving
	}
	return n
}

// chat sends a chat completion and returns its status and text.
func (r *runningNode) chat(prompt string, tokens int) (int, string) {
	body := fmt.Sprintf(`{"model":"drafting","messages":[{"role":"user","content":%q}],"max_tokens":%d,"seed":7}`, prompt, tokens)
	resp, err := http.Post(r.url+"/v1/chat/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, string(data)
	}
	var c chatCompletion
	if json.Unmarshal(data, &c) != nil || len(c.Choices) != 1 {
		return resp.StatusCode, "malformed: " + string(data)
	}
	return resp.StatusCode, c.Choices[0].Message.Content
}

// confirm sends a call of the class "confirm" with an idempotency key and returns
// its status and body.
func (r *runningNode) confirm(key, body string) (int, string) {
	req, _ := http.NewRequest(http.MethodPost, r.url+"/v1/calls/confirm", strings.NewReader(body))
	req.Header.Set(api.HeaderIdempotencyKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }
