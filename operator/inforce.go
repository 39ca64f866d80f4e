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

// finish waits until a version is in force on every live entry VM.
func (r *publication) finish(ctx context.Context, accepted api.ConfigView, unchanged bool) error {
	result := PublishResult{
		ID: r.request.ID, Base: r.request.Base, Version: accepted.Version,
		Changes: r.changes, Unchanged: unchanged,
	}
	wait := r.cmd.Duration(flagWait)
	result.InForce = r.awaitInForce(ctx, accepted, wait)
	if behind := lagging(result.InForce, accepted.Version); len(behind) > 0 || len(result.InForce) == 0 {
		return notInForce(accepted.Version, result.InForce, behind, wait)
	}
	text := fmt.Sprintf("version %d is in force on %s\n", accepted.Version, count(len(result.InForce), "entry VM", "entry VMs"))
	if unchanged {
		text = fmt.Sprintf("the same document is published already, as version %d by %s\n", accepted.Version, authorOf(accepted)) + text
	}
	if r.doc.base != unsetBase && r.doc.base != accepted.Version {
		text += fmt.Sprintf("%s still says version %d; fetch it again with \"tamarackcleat targets\" before the next change\n", r.file, r.doc.base)
	}
	return r.program.printResult(r.cmd, result, text)
}

// awaitInForce looks again until no live entry VM lags or the time is up, and
// returns the last look.
func (r *publication) awaitInForce(ctx context.Context, accepted api.ConfigView, wait time.Duration) []api.NodeVersion {
	last := accepted.InForce
	if len(last) > 0 && len(lagging(last, accepted.Version)) == 0 {
		return last
	}
	look := func() (struct{}, error) {
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
	pause := backoff.NewConstantBackOff(r.program.PollInterval)
	_, _ = backoff.Retry(ctx, look, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(wait))
	return last
}

// errLagging marks a look that found an entry VM with an older version.
var errLagging = errors.New("not in force everywhere")

// lagging returns the entry VMs that have an older version in force.
func lagging(nodes []api.NodeVersion, version int64) []api.NodeVersion {
	var behind []api.NodeVersion
	for _, n := range nodes {
		if n.Version < version {
			behind = append(behind, n)
		}
	}
	return behind
}

// notInForce names the entry VMs that lag.
func notInForce(version int64, all, behind []api.NodeVersion, wait time.Duration) *Failure {
	who := make([]string, len(behind))
	for i, n := range behind {
		who[i] = fmt.Sprintf("  %s has version %d", nodeName(n), n.Version)
	}
	names := strings.Join(who, "\n")
	if len(behind) == 0 {
		names = "  no entry VM told its version"
	}
	return fail(ExitNotInForce, "version %d is accepted and will not revert, but is not in force on %d of %d entry VMs after %s:\n%s",
		version, len(behind), len(all), wait, names).
		advise("don't publish it again; look on with: tamarackcleat status")
}
