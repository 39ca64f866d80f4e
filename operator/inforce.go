package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/api"
)

// reportInForce waits until the accepted version is in force on every live entry
// VM and prints the result. It returns a Failure if that takes longer than
// --wait. The parameter unchanged says that the document was already published.
func (r *publishRun) reportInForce(ctx context.Context, accepted api.ConfigView, unchanged bool) error {
	result := PublishResult{
		ID: r.request.ID, BaseVersion: r.request.BaseVersion, Version: accepted.Version,
		Changes: r.changes, Unchanged: unchanged,
	}
	wait := r.cmd.Duration(flagWait)
	result.InForce = r.awaitInForce(ctx, accepted, wait)
	if behind := lagging(result.InForce, accepted.Version); len(behind) > 0 || len(result.InForce) == 0 {
		return notInForceFailure(accepted.Version, result.InForce, behind, wait)
	}
	text := fmt.Sprintf("version %d is in force on %s\n", accepted.Version, countNoun(len(result.InForce), "entry VM", "entry VMs"))
	if unchanged {
		text = fmt.Sprintf("the same document is published already, as version %d by %s\n", accepted.Version, authorOf(accepted)) + text
	}
	if r.doc.base != baseNotGiven && r.doc.base != accepted.Version {
		text += fmt.Sprintf("%s still says version %d; fetch it again with \"tamarackcleat targets\" before the next change\n", r.file, r.doc.base)
	}
	return r.program.printResult(r.cmd, result, text)
}

// awaitInForce polls the configuration until no live entry VM lags behind the
// accepted version or wait has passed. It returns the version of each live
// entry VM as last seen.
func (r *publishRun) awaitInForce(ctx context.Context, accepted api.ConfigView, wait time.Duration) []api.NodeStatus {
	last := accepted.InForce
	if len(last) > 0 && len(lagging(last, accepted.Version)) == 0 {
		return last
	}
	poll := func() (struct{}, error) {
		view, err := r.client.config(ctx)
		if err != nil {
			return struct{}{}, err
		}
		last = view.InForce
		if len(last) == 0 || len(lagging(last, accepted.Version)) > 0 {
			return struct{}{}, errLagging
		}
		return struct{}{}, nil
	}
	interval := backoff.NewConstantBackOff(r.program.PollInterval)
	_, _ = backoff.Retry(ctx, poll, backoff.WithBackOff(interval), backoff.WithMaxElapsedTime(wait))
	return last
}

// errLagging is the error of a poll that found an entry VM with an older version
// in force, or no entry VM at all; the poll is repeated.
var errLagging = errors.New("not in force everywhere")

// lagging returns the entry VMs that have a version before the given one in
// force.
func lagging(nodes []api.NodeStatus, version int64) []api.NodeStatus {
	var behind []api.NodeStatus
	for _, n := range nodes {
		if n.Version < version {
			behind = append(behind, n)
		}
	}
	return behind
}

// notInForceFailure returns the Failure of a publication that was accepted, but
// is not in force on the entry VMs in behind after wait. The list all holds all
// live entry VMs.
func notInForceFailure(version int64, all, behind []api.NodeStatus, wait time.Duration) *Failure {
	lines := make([]string, len(behind))
	for i, n := range behind {
		lines[i] = fmt.Sprintf("  %s has version %d", nodeName(n), n.Version)
	}
	names := strings.Join(lines, "\n")
	if len(behind) == 0 {
		names = "  no entry VM told its version"
	}
	return newFailure(ExitNotInForce, "version %d is accepted and will not revert, but is not in force on %d of %d entry VMs after %s:\n%s",
		version, len(behind), len(all), wait, names).
		withAdvice("don't publish it again; look on with: tamarackcleat status")
}
