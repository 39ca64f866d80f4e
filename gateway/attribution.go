package gateway

import (
	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/exchange"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// unattributed returns the failure for a response that can't be attributed to the request;
// false if err has another cause. Such a response proves nothing about the request, and
// it is no sign that the upstream has crashed.
func (f *forwarder) unattributed(t fleet.Target, detail string, err error) (*verdict.Error, bool) {
	switch {
	case errors.Is(err, exchange.ErrUnattributedResponse):
		f.node.count("upstream.unattributed.unnamed")
	case errors.Is(err, exchange.ErrUnmatchedResponse):
		f.node.count("upstream.unattributed.foreign")
	default:
		return nil, false
	}
	f.node.logger.Warn(decisions.UpstreamUnattributed, f.logFields("upstream", t.ID, "replica", t.Replica, "error", err)...)
	return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "%s: %v", detail, err), true
}
