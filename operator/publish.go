package operator

import (
	"context"
	"fmt"
	"strings"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// maxPublishAttempts is the number of times that one run sends its publication
// at most.
const maxPublishAttempts = 5

// PublishResult is the result of the publish command, which publishes a
// configuration document and waits until it is in force on every live entry VM.
type PublishResult struct {
	// ID identifies the publication.
	ID string `json:"id"`
	// BaseVersion is the version that the document is based on and Version is
	// the version of the published document.
	BaseVersion int64 `json:"base"`
	Version     int64 `json:"version"`
	// Changes lists the changes from the version that was published when the
	// command started to the document.
	Changes []dynamic.Change `json:"changes"`
	// Unchanged says that the same document was already published.
	Unchanged bool `json:"unchanged"`
	// InForce holds the version in force on each live entry VM.
	InForce []api.NodeStatus `json:"in_force"`
}

func (p *Program) publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish a document and wait until it is in force everywhere",
		ArgsUsage: "FILE",
		Description: "The document replaces the version that it is based on, and no other:\n" +
			"if somebody published in between, nothing is changed and the command says what they changed.\n" +
			"The base is --base, or else the version in the file's first line as \"targets\" prints it, or else the current version.",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: flagBase, Value: baseNotGiven, Usage: "version the document was made from", HideDefault: true},
			&cli.StringFlag{Name: flagID, Usage: "id of an earlier publication whose outcome is unknown", Validator: validateID},
			&cli.StringFlag{Name: flagAuthor, Sources: cli.EnvVars("TAMARACKCLEAT_AUTHOR", "USER"), Usage: "your name, shown to other operators"},
			&cli.DurationFlag{Name: flagWait, Value: defaultWait, Usage: "how long to wait until it is in force everywhere", Validator: validatePositiveDuration},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			doc, err := p.argDocument(cmd)
			if err != nil {
				return err
			}
			run := publishRun{program: p, client: p.client(cmd), cmd: cmd, file: doc.name, doc: doc}
			return run.perform(ctx)
		},
	}
}

// baseNotGiven stands for the base version if neither --base nor the file gives
// one.
const baseNotGiven = -1

func validateID(text string) error {
	if _, err := uuid.Parse(text); err != nil {
		return errors.Newf("%q is not the id of a publication", text)
	}
	return nil
}

// publishRun holds the state of one run of the publish command.
type publishRun struct {
	program *Program
	client  *client
	cmd     *cli.Command
	file    string
	doc     document
	request api.PublishRequest
	// startView is the configuration that was published when the run started,
	// and changes lists the changes from it to doc.
	startView api.ConfigView
	changes   []dynamic.Change
	// mayBeAccepted says that the outcome of an attempt of this run is unknown,
	// so that the publication may have been accepted.
	mayBeAccepted bool
}

// perform publishes the document and waits until it is in force on every live
// entry VM. It sends nothing if the document is already published. It also sends
// nothing if a version newer than the document's base is published, unless --id is
// given: that version may then be the same publication, accepted in an earlier run.
func (r *publishRun) perform(ctx context.Context) error {
	current, err := r.client.config(ctx)
	if err != nil {
		return r.client.failure(err)
	}
	if err := r.prepare(current); err != nil {
		return err
	}
	if current.Document == r.doc.text {
		return r.reportInForce(ctx, current, true)
	}
	if r.request.BaseVersion < current.Version && !r.resumed() {
		return r.conflictFailure(current)
	}
	r.printProgress("changes against version %d:\n%s", current.Version, formatChanges(r.changes))
	accepted, err := r.send(ctx)
	if err != nil {
		return r.sendFailure(ctx, err)
	}
	return r.reportInForce(ctx, accepted, false)
}

// prepare builds the publication and the list of changes against the current
// version. The base is that of --base, else that of the file, else the current
// version.
func (r *publishRun) prepare(current api.ConfigView) error {
	changes, err := changesFrom(current, r.doc.parsed)
	if err != nil {
		return err
	}
	r.startView, r.changes = current, changes
	r.request = api.PublishRequest{
		ID:          r.cmd.String(flagID),
		BaseVersion: r.cmd.Int64(flagBase),
		Document:    r.doc.text,
		Author:      r.cmd.String(flagAuthor),
	}
	if r.request.BaseVersion == baseNotGiven {
		r.request.BaseVersion = r.doc.base
	}
	if r.resumed() && r.request.BaseVersion == baseNotGiven {
		return newFailure(ExitInvalid, "--id needs --base").withAdvice("repeat the command as the first run printed it")
	}
	if r.request.ID == "" {
		r.request.ID = uuid.NewString()
	}
	if r.request.BaseVersion == baseNotGiven {
		r.request.BaseVersion = current.Version
	}
	if r.request.BaseVersion < 0 {
		return newFailure(ExitInvalid, "%d is not a version", r.request.BaseVersion)
	}
	return nil
}

// resumed reports whether the run repeats the publication of an earlier run,
// whose id --id gives.
func (r *publishRun) resumed() bool { return r.cmd.String(flagID) != "" }

// send sends the publication. It repeats it with the same id, up to
// maxPublishAttempts times in all, while the outcome of the last attempt is unknown
// or the attempt had no effect for a reason that may be temporary.
func (r *publishRun) send(ctx context.Context) (api.ConfigView, error) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = r.program.RetryInterval
	attempt := func() (api.ConfigView, error) {
		view, err := r.client.publish(ctx, r.request)
		switch classify(err) {
		case outcomeAccepted:
			return view, nil
		case outcomeRefused:
			return view, backoff.Permanent(err)
		case outcomeUnknown:
			r.mayBeAccepted = true
		}
		return view, err
	}
	return backoff.Retry(ctx, attempt, backoff.WithBackOff(delay), backoff.WithMaxTries(maxPublishAttempts))
}

// attemptOutcome is what the result of one attempt shows about a publication.
type attemptOutcome int

const (
	// outcomeAccepted means that the server answered with the new version.
	outcomeAccepted attemptOutcome = iota
	// outcomeRefused means that the publication is invalid or conflicts with a
	// version that was published before it; no further attempt can succeed.
	outcomeRefused
	// outcomeNotRun means that this attempt changed nothing; another attempt may
	// succeed.
	outcomeNotRun
	// outcomeUnknown means that the publication may or may not have been
	// accepted.
	outcomeUnknown
)

// classify returns the outcome of an attempt that ended with err.
func classify(err error) attemptOutcome {
	if err == nil {
		return outcomeAccepted
	}
	if errors.Is(err, errNotConnected) {
		return outcomeNotRun
	}
	var refused *serverError
	if !errors.As(err, &refused) {
		return outcomeUnknown
	}
	switch refused.detail.Reason {
	case verdict.ReasonConflict, verdict.ReasonInvalidConfig, verdict.ReasonBadRequest, verdict.ReasonTooLarge:
		return outcomeRefused
	}
	if refused.detail.Verdict == verdict.NotRun {
		return outcomeNotRun
	}
	return outcomeUnknown
}

// sendFailure handles the error of the last attempt of a publication whose
// acceptance was not confirmed. It returns a Failure, or nil if the document
// turns out to be published.
func (r *publishRun) sendFailure(ctx context.Context, err error) error {
	var refused *serverError
	if errors.As(err, &refused) && classify(err) == outcomeRefused {
		return r.refusalFailure(ctx, refused)
	}
	if r.mayBeAccepted || r.resumed() {
		return newFailure(ExitOutcomeUnknown, "it is not known whether the publication was accepted: %v", err).
			withAdvice("repeat it with the same id; it takes effect at most once:\n  tamarackcleat publish --id %s --base %d %s",
				r.request.ID, r.request.BaseVersion, r.file)
	}
	return r.client.failure(err)
}

// refusalFailure handles a refusal that further attempts can't change. It
// returns a Failure, unless the document turns out to be published.
func (r *publishRun) refusalFailure(ctx context.Context, e *serverError) error {
	if e.detail.Reason != verdict.ReasonConflict {
		return newFailure(ExitInvalid, "%v", e).withAdvice("%s", adviceFor(e.detail.Reason))
	}
	current, err := r.client.config(ctx)
	if err != nil {
		return newFailure(ExitConflict, "%v", e).withAdvice("see what was published in between with: tamarackcleat targets")
	}
	if current.Document == r.doc.text {
		return r.reportInForce(ctx, current, true)
	}
	if r.maybeReplaced(current) {
		return newFailure(ExitOutcomeUnknown, "version %d by %s is in force; it is not known whether your publication was version %d and was replaced since", current.Version, authorOf(current), r.request.BaseVersion+1).
			withAdvice("see what is in force with: tamarackcleat targets\nIf your changes are missing, publish again without --id and --base.")
	}
	return r.conflictFailure(current)
}

// maybeReplaced reports whether an earlier attempt may have been accepted as the
// version after its base and then been replaced by a later version. An entry VM
// remembers only the id of the latest version, so in this case it reports a
// conflict although the publication was accepted.
func (r *publishRun) maybeReplaced(current api.ConfigView) bool {
	return (r.mayBeAccepted || r.resumed()) && current.Version > r.request.BaseVersion+1
}

// conflictFailure returns the Failure of a document whose base is no longer the
// published version. It says who published the current version, what changed
// and how to proceed.
func (r *publishRun) conflictFailure(current api.ConfigView) error {
	ours, err := changesFrom(current, r.doc.parsed)
	if err != nil {
		return err
	}
	theirs, err := r.changesInBetween(current)
	if err != nil {
		return err
	}
	return newFailure(ExitConflict, "conflict: version %d by %s was published after version %d, which your document is based on; nothing was changed\n%syour document would change, against version %d:\n%s",
		current.Version, authorOf(current), r.request.BaseVersion, theirs, current.Version, strings.TrimRight(formatChanges(ours), "\n")).
		withAdvice("take their changes into your document (see: tamarackcleat targets), then repeat:\n  tamarackcleat publish --base %d %s", current.Version, r.file)
}

// changesInBetween describes the changes from the base version to the current
// one. It is empty if the base was not the published version when the run
// started, because the document of the base is not known then.
func (r *publishRun) changesInBetween(current api.ConfigView) (string, error) {
	if r.startView.Version != r.request.BaseVersion {
		return "", nil
	}
	currentDoc, err := parsePublished(current)
	if err != nil {
		return "", err
	}
	theirs, err := changesFrom(r.startView, currentDoc)
	return "what changed in between:\n" + formatChanges(theirs), err
}

// printProgress prints a message while the command runs. It prints nothing for
// JSON output, which holds only the result.
func (r *publishRun) printProgress(format string, args ...any) {
	if r.cmd.String(flagOutput) == outputText {
		fmt.Fprint(r.program.Stdout, printable(fmt.Sprintf(format, args...)))
	}
}
