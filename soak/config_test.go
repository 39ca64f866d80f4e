package soak_test

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
)

// configPublisher writes configurations to the store and records when each write
// was acknowledged. Each version adds a route, which all later versions keep, and an
// API key of the rotating team; from the third version on it also removes the older
// of the team's two keys. It is safe for concurrent use.
type configPublisher struct {
	fleet *standin.Fleet

	mu      sync.Mutex
	version int
	// routeAddedAt is when the store acknowledged the route of a version, by
	// version; keyRemovedAt is when it acknowledged the removal of a key.
	routeAddedAt map[int]time.Time
	keyRemovedAt map[string]time.Time
	activeKeys   []string
	// evacuations are the evacuations of awayZone; the end of the present one is zero.
	evacuations []evacuation
}

// evacuation is the period for which a zone was evacuated, as the store acknowledged it.
type evacuation struct{ from, to time.Time }

func newConfigPublisher(f *standin.Fleet) *configPublisher {
	return &configPublisher{fleet: f, routeAddedAt: map[int]time.Time{}, keyRemovedAt: map[string]time.Time{}}
}

// publish writes the next version of the configuration to the store.
func (c *configPublisher) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.activeKeys = append(c.activeKeys, fmt.Sprintf("key-%d", c.version))
	removed := ""
	if len(c.activeKeys) > 2 {
		removed, c.activeKeys = c.activeKeys[0], c.activeKeys[1:]
	}
	c.fleet.PutConfig(c.document())
	now := time.Now()
	c.routeAddedAt[c.version] = now
	if removed != "" {
		c.keyRemovedAt[removed] = now
	}
}

// evacuate writes to the store that awayZone is evacuated.
func (c *configPublisher) evacuate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.Evacuate(awayZone)
	c.evacuations = append(c.evacuations, evacuation{from: time.Now()})
}

// endEvacuation writes to the store that awayZone is not evacuated any more.
func (c *configPublisher) endEvacuation() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations[len(c.evacuations)-1].to = time.Now()
	c.fleet.EndEvacuation(awayZone)
}

// backup returns a backup of the store, and the time before it was taken.
func (c *configPublisher) backup() (*standin.Backup, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.fleet.Store.Backup(), now
}

// restore restores the store from a backup and returns the time after that.
func (c *configPublisher) restore(b *standin.Backup) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.Store.Restore(b)
	return time.Now()
}

// writeAgain writes the present version and evacuation to the store once more. It returns
// when the store acknowledged the version.
func (c *configPublisher) writeAgain() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.PutConfig(c.document())
	now := time.Now()
	if n := len(c.evacuations); n > 0 && c.evacuations[n-1].to.IsZero() {
		c.fleet.Evacuate(awayZone)
	} else {
		c.fleet.EndEvacuation(awayZone)
	}
	return now
}

// document returns the JSON document of the current version.
func (c *configPublisher) document() []byte {
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
		strings.Join(c.activeKeys, `","`), replicaSize, maxAttempts, steadyKey, steadyTeam, rotatingTeam))
}

// snapshot returns copies of routeAddedAt and keyRemovedAt.
func (c *configPublisher) snapshot() (added map[int]time.Time, removed map[string]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.routeAddedAt), maps.Clone(c.keyRemovedAt)
}

// newest returns the number of the newest version.
func (c *configPublisher) newest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}
