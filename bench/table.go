package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteJSON writes results as an indented JSON array.
func WriteJSON(w io.Writer, results []Result) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(results)
}

// WriteTable writes results as two aligned text tables, one row per result and
// one row per result and class.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DEPLOYMENT\tPOLICY\tSCORE %\tOF ANSWERED %\tSMALL TEAMS %\tLARGE TEAMS %\tBROKEN %\tTRIES\tWORK\tCACHED %\tEJECTED")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%.1f\t%d\n",
			r.Deployment, r.Policy, r.Score, r.WithinOfAnswered, r.SmallTeams, r.LargeTeams, r.Broken,
			r.Amplification, r.WorkAmplification, r.CachedPrompt, r.Ejections)
	}
	fmt.Fprintln(t, "\nDEPLOYMENT\tPOLICY\tCLASS\tOFFERED\tANSWERED\tWITHIN\tFIRST TOKEN P95 ms\tANSWER P95 ms\tREFUSED\tFAILED")
	for _, r := range results {
		for _, c := range r.Classes {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%v\t%v\n",
				r.Deployment, r.Policy, c.Class, c.Offered, c.Answered, c.Within,
				c.FirstToken95, c.Answer95, c.Refused, c.Failed)
		}
	}
	return t.Flush()
}
