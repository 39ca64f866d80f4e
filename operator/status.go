package operator

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tamarackcleat/tamarackcleat/api"
)

// timePrecision is the precision of displayed durations.
const timePrecision = time.Millisecond

func (p *Program) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show each class's target, what is measured and what stands in the way",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := noArgs(cmd); err != nil {
				return err
			}
			c := p.client(cmd)
			s, err := c.status(ctx)
			if err != nil {
				return c.failure(err)
			}
			return p.printResult(cmd, s, statusText(s))
		},
	}
}

func (p *Program) watchCommand() *cli.Command {
	return &cli.Command{
		Name:  "watch",
		Usage: "show the status again whenever it changes, until interrupted",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: flagInterval, Value: defaultInterval, Usage: "how often to look", Validator: validatePositiveDuration},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := noArgs(cmd); err != nil {
				return err
			}
			return p.watch(ctx, cmd)
		},
	}
}

// watch prints the status whenever it has changed, until the context ends. The
// failure of a request is printed like a status, and watch goes on.
func (p *Program) watch(ctx context.Context, cmd *cli.Command) error {
	c := p.client(cmd)
	tick := time.NewTicker(cmd.Duration(flagInterval))
	defer tick.Stop()
	last := ""
	for {
		result, text := c.statusOrFailure(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if text != last {
			if err := p.printResult(cmd, result, text+"\n"); err != nil {
				return err
			}
			last = text
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// statusOrFailure fetches the status and returns it as a value for JSON output
// and as text. If the request fails, it returns the failure in both forms.
func (c *client) statusOrFailure(ctx context.Context) (result any, text string) {
	s, err := c.status(ctx)
	if err != nil {
		f := c.failure(err)
		return failureResult{Error: f}, f.Message + "\n"
	}
	return s, statusText(s)
}

// statusText returns the status as text: a summary of the deployment, then one
// section per class.
func statusText(s api.Status) string {
	var b strings.Builder
	writeSummary(&b, s)
	for _, c := range s.Classes {
		writeClass(&b, c)
	}
	if len(s.Classes) == 0 {
		b.WriteString("\nno classes are published\n")
	}
	return b.String()
}

func writeSummary(b *strings.Builder, s api.Status) {
	log := "reachable"
	if !s.LogReachable {
		log = "NOT REACHABLE: no new versions, replicas or non-repeatable calls until it is back"
	}
	holder := "nobody yet"
	if s.LeaseHolder != "" {
		holder = "node " + string(s.LeaseHolder)
	}
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "configuration\tversion %d as node %s has it\n", s.ConfigVersion, s.Node)
	fmt.Fprintf(w, "platform log\t%s\n", log)
	fmt.Fprintf(w, "entry VMs\t%s\n", nodesLine(s))
	fmt.Fprintf(w, "replicas\t%s; formed by %s\n", modelsLine(s.Models), holder)
	fmt.Fprintf(w, "stranded\t%s\n", countNoun(s.StrandedAccelerators, "accelerator", "accelerators"))
	w.Flush()
}

// nodesLine returns the number of live entry VMs and names those that are not
// ready or have an older version than the node that reported the status.
func nodesLine(s api.Status) string {
	line := fmt.Sprintf("%d live", len(s.Nodes))
	for _, n := range s.Nodes {
		if !n.Ready {
			line += fmt.Sprintf("; %s is not ready", nodeName(n))
		}
		if n.Version < s.ConfigVersion {
			line += fmt.Sprintf("; %s still has version %d", nodeName(n), n.Version)
		}
	}
	return line
}

func modelsLine(models []api.ModelStatus) string {
	if len(models) == 0 {
		return "none"
	}
	parts := make([]string, len(models))
	for i, m := range models {
		parts[i] = fmt.Sprintf("%s %d (%d serving by way of this node, %d forming)", m.Model, m.Replicas, m.Serving, m.Forming)
	}
	return strings.Join(parts, "; ")
}

func writeClass(b *strings.Builder, c api.ClassStatus) {
	fmt.Fprintf(b, "\n%s\n", c.Class)
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "  target\t%s\n", c.Target)
	fmt.Fprintf(w, "  measured\t%s\n", measuredLine(c))
	if len(c.Obstacles) == 0 {
		fmt.Fprintf(w, "  in the way\tnothing\n")
	}
	for _, o := range c.Obstacles {
		fmt.Fprintf(w, "  in the way\t%s\n", o)
	}
	w.Flush()
}

func measuredLine(c api.ClassStatus) string {
	refused := fmt.Sprintf("%d refused", c.Refused)
	if c.Answered == 0 {
		return "no answers yet; " + refused
	}
	line := fmt.Sprintf("%.1f in 100 within target of %d answered", c.WithinTargetPercent, c.Answered)
	if c.FirstTokenMillis > 0 {
		line += ", first token " + formatMillis(c.FirstTokenMillis)
	}
	return line + ", whole answer " + formatMillis(c.AnswerMillis) + "; " + refused
}

// formatMillis formats a number of milliseconds as a duration.
func formatMillis(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(timePrecision).String()
}

func nodeName(n api.NodeStatus) string {
	return fmt.Sprintf("node %s in %s", n.Node, n.Zone)
}
