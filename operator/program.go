// Package operator implements the command line for operators. Operators control
// the service only by the targets in its configuration: the commands publish the
// configuration and show how well its targets are met. explain-route asks a gateway of
// the users' platform, read only.
//
// The guarantee: publish replaces only the version that the document is based
// on, never one that the operator has not seen, and never reports a publication
// as refused that may have been accepted.
package operator

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
)

// Names of the flags.
const (
	flagServer   = "server"
	flagOutput   = "output"
	flagTimeout  = "timeout"
	flagBase     = "base"
	flagID       = "id"
	flagAuthor   = "author"
	flagWait     = "wait"
	flagInterval = "interval"
)

// Values of the flag --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// Default values of the flags.
const (
	defaultServer   = "http://127.0.0.1:8080"
	defaultTimeout  = 5 * time.Second
	defaultWait     = 10 * time.Second
	defaultInterval = 2 * time.Second
)

// Program runs command lines with the given input, output and HTTP client.
type Program struct {
	// Stdin is read for the file name "-".
	Stdin io.Reader
	// Stdout receives results and Stderr receives error messages.
	Stdout io.Writer
	Stderr io.Writer
	// HTTPClient sends the requests to entry VMs.
	HTTPClient *http.Client
	// RetryInterval is the delay before a publication is sent again for the
	// first time; the delay grows exponentially from there.
	RetryInterval time.Duration
	// PollInterval is the delay between two requests with which the publish
	// command checks which version is in force on each entry VM.
	PollInterval time.Duration
}

// New returns a Program with the default HTTP client and intervals.
func New(stdin io.Reader, stdout, stderr io.Writer) *Program {
	return &Program{
		Stdin:         stdin,
		Stdout:        stdout,
		Stderr:        stderr,
		HTTPClient:    &http.Client{},
		RetryInterval: 200 * time.Millisecond,
		PollInterval:  200 * time.Millisecond,
	}
}

// Run executes one command line, of which args[0] is the name of the program.
// It prints the failure of a command and returns its exit code.
func (p *Program) Run(ctx context.Context, args []string) ExitCode {
	root := p.rootCommand()
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	var f *Failure
	if !errors.As(err, &f) {
		f = newFailure(ExitInvalid, "%v", err).withAdvice("see tamarackcleat --help")
	}
	p.printFailure(root, f)
	return f.Code
}

// rootCommand returns the definition of the command line with all subcommands.
func (p *Program) rootCommand() *cli.Command {
	root := &cli.Command{
		Name:                  "tamarackcleat",
		Usage:                 "declare targets for classes of work and see how they are met",
		Description:           exitCodeHelp,
		EnableShellCompletion: true,
		HideHelpCommand:       true,
		Reader:                p.Stdin,
		Writer:                p.Stdout,
		ErrWriter:             p.Stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags:                 globalFlags(),
		Action:                rejectUnknownCommand,
		Commands: []*cli.Command{
			p.validateCommand(), p.publishCommand(), p.diffCommand(), p.targetsCommand(),
			p.statusCommand(), p.explainCommand(), p.explainRouteCommand(), p.watchCommand(),
		},
	}
	for _, c := range append(root.Commands, root) {
		c.OnUsageError = usageError
	}
	return root
}

// exitCodeHelp is the help text on exit codes and shell completion.
const exitCodeHelp = `Exit codes:
0  done
1  failed; nothing was changed
2  wrong arguments or an invalid document
3  conflict: another version was published in between; nothing was changed
4  no entry VM was reached; nothing was changed
5  outcome unknown: the publication may or may not be accepted
6  accepted, but not yet in force on every live entry VM

"tamarackcleat completion bash|zsh|fish|pwsh" prints a completion script.`

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: flagServer, Value: defaultServer, Sources: cli.EnvVars("TAMARACKCLEAT_SERVER"),
			Usage: "URL of the balancer or of any entry VM", Validator: validateServer,
		},
		&cli.StringFlag{Name: flagOutput, Value: outputText, Usage: "text or json", Validator: validateOutput},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "how long one request may take", Validator: validatePositiveDuration},
	}
}

func validateServer(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.Newf("%q is not a URL; write for example %s", text, defaultServer)
	}
	return nil
}

func validateOutput(text string) error {
	if text != outputText && text != outputJSON {
		return errors.Newf("%q is not an output format; write %s or %s", text, outputText, outputJSON)
	}
	return nil
}

func validatePositiveDuration(d time.Duration) error {
	if d <= 0 {
		return errors.Newf("%s is not a positive time; write for example 5s", d)
	}
	return nil
}

func usageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	return newFailure(ExitInvalid, "%v", err).withAdvice("see %s --help", cmd.FullName())
}

// rejectUnknownCommand is the action of a command line whose command is missing
// or unknown.
func rejectUnknownCommand(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return newFailure(ExitInvalid, "%q is not a command", name).withAdvice("see tamarackcleat --help")
	}
	return newFailure(ExitInvalid, "a command is missing").withAdvice("see tamarackcleat --help")
}

// singleArg returns the only argument of a command. If the command has no argument
// or several, it returns a Failure, in whose message the argument is called what.
func singleArg(cmd *cli.Command, what string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", newFailure(ExitInvalid, "%s needs exactly one %s, not %d", cmd.Name, what, cmd.Args().Len()).
			withAdvice("see %s --help", cmd.FullName())
	}
	return cmd.Args().First(), nil
}

// noArgs returns a Failure if a command that takes no arguments has any.
func noArgs(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return newFailure(ExitInvalid, "%s takes no arguments, but got %q", cmd.Name, cmd.Args().First()).
			withAdvice("see %s --help", cmd.FullName())
	}
	return nil
}

// invalidDocument returns the Failure for a document that can't be parsed, with
// the problems that the parser found.
func invalidDocument(err error) *Failure {
	var parseErr *dynamic.ParseError
	if !errors.As(err, &parseErr) {
		return newFailure(ExitInvalid, "%v", err)
	}
	f := newFailure(ExitInvalid, "%v", parseErr).withAdvice("correct the lines above; nothing was published")
	f.Problems = parseErr.Problems
	return f
}
