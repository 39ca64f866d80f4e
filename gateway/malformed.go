package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/verdict"
	"github.com/tamarackcleat/tamarackcleat/wirecheck"
)

// malformed returns the failure for a response with a malformed head or trailer; false if
// err has another cause. Such a response proves nothing about the request. Its upstream is
// suspected, because its next response may be malformed too, but it has not crashed.
func (f *forwarder) malformed(t fleet.Target, detail string, err error) (*verdict.Error, bool) {
	if !errors.Is(err, wirecheck.ErrMalformed) {
		return nil, false
	}
	f.node.count("upstream.malformed")
	f.node.balancer.MarkSuspect(time.Now(), t)
	f.node.logger.Warn(decisions.UpstreamMalformed, f.logFields("upstream", t.ID, "replica", t.Replica, "error", err)...)
	return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "%s: %v", detail, err), true
}
