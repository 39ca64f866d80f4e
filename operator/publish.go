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

// maxPublishTries bounds how often one publication is sent.
const maxPublishTries = 5

// PublishResult is the result of the publish command.
type PublishResult struct {
	// ID identifies the publication.
	ID string `json:"id"`
	// Base is the version it replaced and Version its own.
	Base    int64 `json:"base"`
	Version int64 `json:"version"`
	// Changes is what it changed.
	Changes []dynamic.Change `json:"changes"`
	// Unchanged says that the same document was in force already.
	Unchanged bool `json:"unchanged"`
	// InForce tells the version on each live entry VM.
	InForce []api.NodeVersion `json:"in_force"`
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
			&cli.Int64Flag{Name: flagBase, Value: unsetBase, Usage: "version the document was made from", HideDefault: true},
			&cli.StringFlag{Name: flagID, Usage: "id of an earlier publication whose outcome is unknown", Validator: validID},
			&cli.StringFlag{Name: flagAuthor, Sources: cli.EnvVars("TAMARACKCLEAT_AUTHOR", "USER"), Usage: "your name, shown to other operators"},
			&cli.DurationFlag{Name: flagWait, Value: defaultWait, Usage: "how long to wait until it is in force everywhere", Validator: validSpan},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			doc, err := p.argDocument(cmd)
			if err != nil {
				return err
			}
			run := publication{program: p, client: p.client(cmd), cmd: cmd, file: doc.name, doc: doc}
			return run.perform(ctx)
		},
	}
}

// unsetBase is the value of --base when it is not given.
const unsetBase = -1

func validID(text string) error {
	if _, err := uuid.Parse(text); err != nil {
		return errors.Newf("%q is not the id of a publication", text)
	}
	return nil
}

// publication is one run of the publish command.
type publication struct {
	program *Program
	client  *client
	cmd     *cli.Command
	file    string
	doc     document
	request api.PublishRequest
	// base is the view that the run started from and changes is what the
	// document changes against it.
	base    api.ConfigView
	changes []dynamic.Change
	// mayHaveRun says that some try of it may have been accepted.
	mayHaveRun bool
}

// perform publishes the document and waits until it is in force.
func (r *publication) perform(ctx context.Context) error {
	current, err := r.client.config(ctx)
	if err != nil {
		return r.client.failed(err)
	}
	if err := r.prepare(current); err != nil {
		return err
	}
	if current.Document == r.doc.text {
		return r.finish(ctx, current, true)
	}
	if r.request.Base < current.Version && !r.resumed() {
		return r.conflict(current)
	}
	r.progress("changes against version %d:\n%s", current.Version, changeLines(r.changes))
	accepted, err := r.send(ctx)
	if err != nil {
		return r.settle(ctx, err)
	}
	return r.finish(ctx, accepted, false)
}

// prepare builds the request against the current version or --base.
func (r *publication) prepare(current api.ConfigView) error {
	changes, err := changesFrom(current, r.doc.parsed)
	if err != nil {
		return err
	}
	r.base, r.changes = current, changes
	r.request = api.PublishRequest{
		ID:       r.cmd.String(flagID),
		Base:     r.cmd.Int64(flagBase),
		Document: r.doc.text,
		Author:   r.cmd.String(flagAuthor),
	}
	if r.request.Base == unsetBase {
		r.request.Base = r.doc.base
	}
	if r.resumed() && r.request.Base == unsetBase {
		return fail(ExitInvalid, "--id needs --base").advise("repeat the command as the first run printed it")
	}
	if r.request.ID == "" {
		r.request.ID = uuid.NewString()
	}
	if r.request.Base == unsetBase {
		r.request.Base = current.Version
	}
	if r.request.Base < 0 {
		return fail(ExitInvalid, "%d is not a version", r.request.Base)
	}
	return nil
}

// resumed reports whether the run repeats an earlier publication.
func (r *publication) resumed() bool { return r.cmd.String(flagID) != "" }

// send sends the publication, and sends it again with the same id while its
// outcome is unknown or the server is only briefly unable.
func (r *publication) send(ctx context.Context) (api.ConfigView, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = r.program.RetryInterval
	try := func() (api.ConfigView, error) {
		view, err := r.client.publish(ctx, r.request)
		switch classify(err) {
		case outcomeAccepted:
			return view, nil
		case outcomeRefused:
			return view, backoff.Permanent(err)
		case outcomeUnknown:
			r.mayHaveRun = true
		}
		return view, err
	}
	return backoff.Retry(ctx, try, backoff.WithBackOff(pause), backoff.WithMaxTries(maxPublishTries))
}

// outcome is what one try tells about a publication.
type outcome int

const (
	// outcomeAccepted means that the server answered with the new version.
	outcomeAccepted outcome = iota
	// outcomeRefused means that the log's order or the rules refused it.
	outcomeRefused
	// outcomeNotRun means that this try changed nothing; another may help.
	outcomeNotRun
	// outcomeUnknown means that it may or may not be accepted.
	outcomeUnknown
)

// classify reads the outcome of a try from its error.
func classify(err error) outcome {
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

// settle says how a publication ended that was not accepted in sight.
func (r *publication) settle(ctx context.Context, err error) error {
	var refused *serverError
	if errors.As(err, &refused) && classify(err) == outcomeRefused {
		return r.refused(ctx, refused)
	}
	if r.mayHaveRun || r.resumed() {
		return fail(ExitUnknown, "it is not known whether the publication was accepted: %v", err).
			advise("repeat it with the same id; it takes effect at most once:\n  tamarackcleat publish --id %s --base %d %s",
				r.request.ID, r.request.Base, r.file)
	}
	return r.client.failed(err)
}

// refused explains a refusal that no further try can change.
func (r *publication) refused(ctx context.Context, e *serverError) error {
	if e.detail.Reason != verdict.ReasonConflict {
		return fail(ExitInvalid, "%v", e).advise("%s", adviceFor(e.detail.Reason))
	}
	current, err := r.client.config(ctx)
	if err != nil {
		return fail(ExitConflict, "%v", e).advise("see what was published in between with: tamarackcleat targets")
	}
	if current.Document == r.doc.text {
		return r.finish(ctx, current, true)
	}
	if r.maybeSuperseded(current) {
		return fail(ExitUnknown, "version %d by %s is in force; it is not known whether your publication was version %d and was replaced since", current.Version, authorOf(current), r.request.Base+1).
			advise("see what is in force with: tamarackcleat targets\nIf your changes are missing, publish again without --id and --base.")
	}
	return r.conflict(current)
}

// maybeSuperseded reports whether an earlier try may have been accepted as the
// version after its base and replaced by a later one. An entry VM remembers
// the id of the latest version only, so it reports a conflict then.
func (r *publication) maybeSuperseded(current api.ConfigView) bool {
	return (r.mayHaveRun || r.resumed()) && current.Version > r.request.Base+1
}

// conflict names who published what in between and how to proceed.
func (r *publication) conflict(current api.ConfigView) error {
	ours, err := changesFrom(current, r.doc.parsed)
	if err != nil {
		return err
	}
	theirs, err := r.changesInBetween(current)
	if err != nil {
		return err
	}
	return fail(ExitConflict, "conflict: version %d by %s was published after version %d, which your document is based on; nothing was changed\n%syour document would change, against version %d:\n%s",
		current.Version, authorOf(current), r.request.Base, theirs, current.Version, strings.TrimRight(changeLines(ours), "\n")).
		advise("take their changes into your document (see: tamarackcleat targets), then repeat:\n  tamarackcleat publish --base %d %s", current.Version, r.file)
}

// changesInBetween says what changed since the base; empty if the base's
// document was never seen.
func (r *publication) changesInBetween(current api.ConfigView) (string, error) {
	if r.base.Version != r.request.Base {
		return "", nil
	}
	now, err := published(current)
	if err != nil {
		return "", err
	}
	theirs, err := changesFrom(r.base, now)
	return "what changed in between:\n" + changeLines(theirs), err
}

// progress tells what happens while the command runs; JSON output has only
// the result.
func (r *publication) progress(format string, args ...any) {
	if r.cmd.String(flagOutput) == outputText {
		fmt.Fprint(r.program.Stdout, printable(fmt.Sprintf(format, args...)))
	}
}
