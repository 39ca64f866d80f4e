package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/standin/plainservice"
)

// Ledger is where a class's calls take effect.
type Ledger struct {
	// Class is a class whose calls may not be repeated.
	Class string
	// URL is the base URL of one VM of its plain service.
	URL string
}

// parseLedger reads CLASS=URL.
func parseLedger(text string) (Ledger, error) {
	class, url, ok := strings.Cut(text, "=")
	if !ok || class == "" || url == "" {
		return Ledger{}, errors.Newf("effects %q are not CLASS=URL", text)
	}
	return Ledger{Class: class, URL: url}, nil
}

// CheckEffects compares the calls of a run with the effects that the services
// had: an answered call has exactly one and any other at most one. It returns
// a description of each call that was lost or doubled.
func CheckEffects(ctx context.Context, results []*Result, ledgers []Ledger) ([]string, error) {
	counts := map[string]map[string]int{}
	for _, l := range ledgers {
		if counts[l.Class] == nil {
			counts[l.Class] = map[string]int{}
		}
		if err := addEffects(ctx, l.URL, counts[l.Class]); err != nil {
			return nil, err
		}
	}
	var problems []string
	for _, r := range results {
		if byKey, ok := counts[r.Class]; ok {
			problems = append(problems, r.compare(byKey)...)
		}
	}
	return problems, nil
}

// compare checks the calls of one class.
func (r *Result) compare(byKey map[string]int) []string {
	var problems []string
	for key, answered := range r.Calls {
		n := byKey[key]
		switch {
		case n > 1:
			problems = append(problems, fmt.Sprintf("%s: call %s took effect %d times", r.Class, key, n))
		case n == 0 && answered:
			problems = append(problems, fmt.Sprintf("%s: call %s was answered but had no effect", r.Class, key))
		}
	}
	return problems
}

// addEffects adds the effects of one VM by the callers' own keys, which the
// entry nodes may prefix.
func addEffects(ctx context.Context, url string, byKey map[string]int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+plainservice.EffectsPath, nil)
	if err != nil {
		return errors.Wrap(err, "building the request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "reading effects")
	}
	defer resp.Body.Close()
	var effects plainservice.Effects
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&effects); err != nil {
		return errors.Wrap(err, "decoding effects")
	}
	for key, n := range effects.ByKey {
		byKey[key[strings.LastIndexByte(key, '/')+1:]] += n
	}
	return nil
}
