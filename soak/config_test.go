package soak_test

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
)

// configurations writes configurations and remembers when each was acknowledged.
// Each version adds a route that stays and replaces one of two keys of a team.
type configurations struct {
	fleet *standin.Fleet

	mu      sync.Mutex
	version int
	// addedAt is when the route of a version was acknowledged, removedAt when a
	// key's removal was.
	addedAt   map[int]time.Time
	removedAt map[string]time.Time
	keys      []string
}

func newConfigurations(f *standin.Fleet) *configurations {
	return &configurations{fleet: f, addedAt: map[int]time.Time{}, removedAt: map[string]time.Time{}}
}

// publish writes the next version.
func (c *configurations) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.keys = append(c.keys, fmt.Sprintf("key-%d", c.version))
	removed := ""
	if len(c.keys) > 2 {
		removed, c.keys = c.keys[0], c.keys[1:]
	}
	c.fleet.Configure(c.body())
	now := time.Now()
	c.addedAt[c.version] = now
	if removed != "" {
		c.removedAt[removed] = now
	}
}

func (c *configurations) body() []byte {
	var routes strings.Builder
	for v := range c.version {
		fmt.Fprintf(&routes, `{"name":"v%[1]d","host":"%[2]s","pathPrefix":"/v%[1]d/","type":"idempotent","timeoutMs":%[3]d,"sloMs":100,"service":"desk","maxAttempts":2},`,
			v+1, host, callDeadline.Milliseconds())
	}
	return []byte(fmt.Sprintf(`{"version":%[1]d,"routes":[%[2]s
	{"name":"gen","host":"%[3]s","pathPrefix":"/gen/","type":"streaming","timeoutMs":%[4]d,"sloMs":400,"service":"llm","maxAttempts":%[8]d,"resumable":true,"gapTargetMs":250},
	{"name":"once","host":"%[3]s","pathPrefix":"/once/","type":"non_idempotent","timeoutMs":%[5]d,"sloMs":100,"service":"desk","maxAttempts":1},
	{"name":"read","host":"%[3]s","pathPrefix":"/read/","type":"idempotent","timeoutMs":%[5]d,"sloMs":100,"service":"desk","maxAttempts":%[8]d}],
	"services":[{"name":"llm","healthPath":"/healthz","maxConns":200,"engine":{"slots":16,"stride":3,"step_ms":5,"per_seq_ms":0.1,"read_per_s":50000,"chunk":512,"loadsPerS":50,"loads_at_once":50,"formMs":50,
	"models":[{"name":"m","size":%[7]d,"share":1,"pace":1,"loadS":1,"warmS":0.1}]}},
	{"name":"desk","healthPath":"/healthz","maxConns":200}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":10000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"%[10]s","apiKeys":["%[9]s"]},{"name":"%[11]s","apiKeys":["%[6]s"]}]}`,
		c.version, routes.String(), host, streamDeadline.Milliseconds(), callDeadline.Milliseconds(),
		strings.Join(c.keys, `","`), replicaSize, mostAttempts, steadyKey, steadyTeam, rotatingTeam))
}

// snapshot returns copies of the versions' and keys' times.
func (c *configurations) snapshot() (added map[int]time.Time, removed map[string]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.addedAt), maps.Clone(c.removedAt)
}

// newest returns the newest version.
func (c *configurations) newest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}
