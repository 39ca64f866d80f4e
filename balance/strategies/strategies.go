// Package strategies creates balance strategies by name.
package strategies

import (
	"math/rand/v2"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/balance/leastload"
	"github.com/tamarackcleat/tamarackcleat/balance/random"
	"github.com/tamarackcleat/tamarackcleat/balance/roundrobin"
	"github.com/tamarackcleat/tamarackcleat/balance/twochoice"
)

// Names returns the names that New accepts; the first is the default.
func Names() []string {
	return []string{twochoice.Name, roundrobin.Name, leastload.Name, random.Name}
}

// New returns a new strategy by its name. Strategies that choose at random use
// rng. An unknown name is an error.
func New(name string, rng *rand.Rand) (balance.Strategy, error) {
	switch name {
	case twochoice.Name:
		return twochoice.New(rng), nil
	case roundrobin.Name:
		return roundrobin.New(), nil
	case leastload.Name:
		return leastload.New(), nil
	case random.Name:
		return random.New(rng), nil
	}
	return nil, errors.Newf("unknown balance strategy %q, want one of: %s", name, strings.Join(Names(), ", "))
}
