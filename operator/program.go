// Package operator is the operators' command line as a library. It drives the
// service only through targets: it publishes the configuration and shows what
// is measured against it.
//
// The guarantee: publish never replaces a version that the operator has not
// seen, and never reports a publication as refused that may be accepted.
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

// Names of flags.
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

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// Defaults of flags.
const (
	defaultServer   = "http://127.0.0.1:8080"
	defaultTimeout  = 5 * time.Second
	defaultWait     = 10 * time.Second
	defaultInterval = 2 * time.Second
)

// Program is the command line with its surroundings.
type Program struct {
	// Stdin is read for the file name "-".
	Stdin io.Reader
	// Stdout takes results and Stderr what went wrong.
	Stdout io.Writer
	Stderr io.Writer
	// HTTP sends the requests.
	HTTP *http.Client
	// RetryInterval is the first pause before a publication is sent again.
	RetryInterval time.Duration
	// PollInterval is the pause between looks at what is in force.
	PollInterval time.Duration
}

// New returns a program with the usual intervals.
func New(stdin io.Reader, stdout, stderr io.Writer) *Program {
	return &Program{
		Stdin:         stdin,
		Stdout:        stdout,
		Stderr:        stderr,
		HTTP:          &http.Client{},
		RetryInterval: 200 * time.Millisecond,
		PollInterval:  200 * time.Millisecond,
	}
}

// Run performs one command line, of which args[0] is the program's name.
func (p *Program) Run(ctx context.Context, args []string) ExitCode {
	root := p.root()
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	var f *Failure
	if !errors.As(err, &f) {
		f = fail(ExitInvalid, "%v", err).advise("see tamarackcleat --help")
	}
	p.printFailure(root, f)
	return f.Code
}

// root returns the command line's definition.
func (p *Program) root() *cli.Command {
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
		Action:                rejectUnknown,
		Commands: []*cli.Command{
			p.validateCommand(), p.publishCommand(), p.diffCommand(), p.targetsCommand(),
			p.statusCommand(), p.explainCommand(), p.watchCommand(),
		},
	}
	for _, c := range append(root.Commands, root) {
		c.OnUsageError = usageError
	}
	return root
}

// exitCodeHelp documents the exit codes.
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
			Usage: "URL of the balancer or of any entry VM", Validator: validServer,
		},
		&cli.StringFlag{Name: flagOutput, Value: outputText, Usage: "text or json", Validator: validOutput},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "how long one request may take", Validator: validSpan},
	}
}

func validServer(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.Newf("%q is not a URL; write for example %s", text, defaultServer)
	}
	return nil
}

func validOutput(text string) error {
	if text != outputText && text != outputJSON {
		return errors.Newf("%q is not an output format; write %s or %s", text, outputText, outputJSON)
	}
	return nil
}

func validSpan(d time.Duration) error {
	if d <= 0 {
		return errors.Newf("%s is not a positive time; write for example 5s", d)
	}
	return nil
}

func usageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	return fail(ExitInvalid, "%v", err).advise("see %s --help", cmd.FullName())
}

// rejectUnknown handles a command line without a known command.
func rejectUnknown(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return fail(ExitInvalid, "%q is not a command", name).advise("see tamarackcleat --help")
	}
	return fail(ExitInvalid, "a command is missing").advise("see tamarackcleat --help")
}

// onlyArg returns the single argument of a command.
func onlyArg(cmd *cli.Command, what string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", fail(ExitInvalid, "%s needs exactly one %s, not %d", cmd.Name, what, cmd.Args().Len()).
			advise("see %s --help", cmd.FullName())
	}
	return cmd.Args().First(), nil
}

// noArgs refuses arguments of a command that takes none.
func noArgs(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fail(ExitInvalid, "%s takes no arguments, but got %q", cmd.Name, cmd.Args().First()).
			advise("see %s --help", cmd.FullName())
	}
	return nil
}

// invalid turns the error of a document into a failure.
func invalid(err error) *Failure {
	var refused *dynamic.ParseError
	if !errors.As(err, &refused) {
		return fail(ExitInvalid, "%v", err)
	}
	f := fail(ExitInvalid, "%v", refused).advise("correct the lines above; nothing was published")
	f.Problems = refused.Problems
	return f
}
