package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/dispatch"
)

// Names of the flags of explain-route.
const (
	flagGateway       = "gateway"
	flagHost          = "host"
	flagPath          = "path"
	flagModel         = "model"
	flagPromptTokens  = "prompt-tokens"
	flagPriority      = "priority"
	flagCallerTimeout = "caller-timeout"
	flagJSON          = "json"
)

// defaultGateway is the address at which a gateway on this VM usually serves its metrics.
const defaultGateway = "127.0.0.1:9464"

func (p *Program) explainRouteCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain-route",
		Usage: "show where a gateway would send a request now and why, without sending it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagGateway, Value: defaultGateway, Usage: "`ADDRESS` at which the gateway serves its metrics"},
			&cli.StringFlag{Name: flagHost, Required: true, Usage: "host of the request"},
			&cli.StringFlag{Name: flagPath, Required: true, Usage: "path of the request"},
			&cli.StringFlag{Name: flagModel, Usage: "model of the request; none for a plain service"},
			&cli.IntFlag{Name: flagPromptTokens, Usage: "size of the prompt in tokens"},
			&cli.IntFlag{Name: flagPriority, Usage: "priority of the team, 0 for the most urgent; the route's if not given"},
			&cli.DurationFlag{Name: flagCallerTimeout, Usage: "how long the caller waits; the route's timeout if not given"},
			&cli.StringFlag{Name: flagID, Usage: "request id, which selects the service on a route that divides its requests"},
			&cli.BoolFlag{Name: flagJSON, Usage: "the same as --output json"},
		},
		Action: p.explainRoute,
	}
}

// explainRoute asks a gateway where a request would go.
func (p *Program) explainRoute(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool(flagJSON) {
		if err := cmd.Set(flagOutput, outputJSON); err != nil {
			return errors.Wrap(err, "selecting the output")
		}
	}
	if err := noArgs(cmd); err != nil {
		return err
	}
	address := cmd.String(flagGateway)
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	if err := validateServer(address); err != nil {
		return newFailure(ExitInvalid, "--%s: %q is not an address", flagGateway, cmd.String(flagGateway)).
			withAdvice("write for example %s", defaultGateway)
	}
	c := &client{server: strings.TrimRight(address, "/"), timeout: cmd.Duration(flagTimeout), http: p.HTTPClient}
	e, err := doJSON[api.RouteExplanation](ctx, c, http.MethodGet, api.PathRoute+"?"+routeQuery(cmd).Encode(), nil)
	if err != nil {
		return c.explainRouteFailure(err)
	}
	return p.printResult(cmd, e, routeText(e))
}

// routeQuery returns the query parameters for the flags that are set.
func routeQuery(cmd *cli.Command) url.Values {
	query := url.Values{api.RouteHost: {cmd.String(flagHost)}, api.RoutePath: {cmd.String(flagPath)}}
	for flag, name := range map[string]string{flagModel: api.RouteModel, flagID: api.RouteID} {
		if cmd.IsSet(flag) {
			query.Set(name, cmd.String(flag))
		}
	}
	for flag, name := range map[string]string{flagPromptTokens: api.RoutePromptTokens, flagPriority: api.RoutePriority} {
		if cmd.IsSet(flag) {
			query.Set(name, strconv.Itoa(cmd.Int(flag)))
		}
	}
	if cmd.IsSet(flagCallerTimeout) {
		query.Set(api.RouteTimeoutMs, strconv.FormatInt(cmd.Duration(flagCallerTimeout).Milliseconds(), 10))
	}
	return query
}

// explainRouteFailure returns the Failure for the error of a request to a gateway.
func (c *client) explainRouteFailure(err error) *Failure {
	var refused *serverError
	switch {
	case errors.As(err, &refused) && refused.status == http.StatusBadRequest:
		return newFailure(ExitInvalid, "%v", refused).withAdvice("see tamarackcleat explain-route --help")
	case errors.As(err, &refused):
		return newFailure(ExitFailure, "%v", refused).withAdvice("check that --%s is the address of a gateway's metrics", flagGateway)
	case errors.Is(err, errUnreachable):
		return newFailure(ExitUnreachable, "%s can't be reached: %v", c.server, err).
			withAdvice("check --%s; the gateway needs --metrics-port", flagGateway)
	}
	return newFailure(ExitFailure, "%v", err).withAdvice("check that --%s is the address of a gateway's metrics", flagGateway)
}

// routeText returns an explanation as text: what happens to the request, the ages of what
// the node knows, and a table of the candidates.
func routeText(e api.RouteExplanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node %s: %s\n", e.Node, outcomeLine(e))
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	if e.Route != "" {
		fmt.Fprintf(w, "route\t%s, service %s, priority %d%s\n", e.Route, e.Service, e.Priority, limitsText(e))
	}
	fmt.Fprintf(w, "configuration\tversion %d, proved current %d ms ago\n", e.ConfigVersion, e.ConfigAgeMs)
	fmt.Fprintf(w, "upstreams\treports proved current %d ms ago\n", e.ReportsAgeMs)
	fmt.Fprintf(w, "loads\tof %s, %d ms old on average, %d ms at most; about %.1f requests sent since\n",
		countNoun(e.Peers, "other node", "other nodes"), e.MeanPeerLoadAgeMs, e.PeerLoadAgeMs, e.Unreported)
	w.Flush()
	if len(e.Candidates) == 0 {
		return b.String() + "no candidates\n"
	}
	writeCandidates(&b, e.Candidates)
	return b.String()
}

// outcomeLine says what happens to the request.
func outcomeLine(e api.RouteExplanation) string {
	if e.Reason == "" {
		return "the request would be " + string(e.Outcome)
	}
	verb := "be " + string(e.Outcome)
	if e.Outcome == api.RouteWaits {
		verb = "wait"
	}
	return fmt.Sprintf("the request would %s: %s, %s", verb, e.Reason, e.Detail)
}

// limitsText returns the latency target and the admission limit, if there are any.
func limitsText(e api.RouteExplanation) string {
	text := ""
	if e.LatencyTargetMs > 0 {
		text += fmt.Sprintf(", target %d ms", e.LatencyTargetMs)
	}
	if e.AdmissionLimitMs > 0 {
		text += fmt.Sprintf(", replicas without a free slot up to %d ms", e.AdmissionLimitMs)
	}
	return text
}

func writeCandidates(b *strings.Builder, candidates []api.RouteCandidate) {
	b.WriteString("\n")
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "UPSTREAM\tREPLICA\tZONE\tSHARE\tPREDICTED\tLOAD\tUNREAD\tREPORT AGE\tSTATE")
	for _, c := range candidates {
		predicted := "-"
		if c.PredictedMs != nil {
			predicted = fmt.Sprintf("%.1f ms", *c.PredictedMs)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f%%\t%s\t%d\t%d\t%d ms\t%s\n", c.Upstream, dash(c.Replica), dash(c.Zone), 100*c.Share,
			predicted, c.Load, c.PendingPromptTokens, c.ReportAgeMs, candidateState(c))
	}
	w.Flush()
}

// dash returns a text, or a dash in its place if it is empty.
func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// exclusionTexts holds the texts for what excludes a candidate.
var exclusionTexts = map[string]string{
	"":                            "not the best",
	string(dispatch.AlreadyTried): "was tried already",
	string(dispatch.Suspected):    "suspected after a failure",
	string(dispatch.InPause):      "in a pause",
	string(dispatch.NoCapacity):   "no capacity",
	string(dispatch.Late):         "predicted too late",
	api.ExcludedZoneEvacuated:     "zone evacuated",
	api.ExcludedLeaving:           "leaving",
	api.ExcludedUnlisted:          "report expired",
	api.ExcludedNotServing:        "replica not complete and open",
	api.ExcludedColdNoPermit:      "cold, no permit here",
	api.ExcludedColdNotNeeded:     "cold, a warm one takes it",
}

// candidateState says whether the request may go to a candidate, and why not.
func candidateState(c api.RouteCandidate) string {
	text, known := exclusionTexts[c.Excluded]
	switch {
	case c.Share > 0:
		text = "eligible"
	case !known:
		text = c.Excluded
	}
	if c.PauseMs > 0 {
		text += fmt.Sprintf(", pause for %d ms", c.PauseMs)
	}
	if c.ColdMs > 0 {
		text += fmt.Sprintf(", cold for %d ms", c.ColdMs)
	}
	return text
}
