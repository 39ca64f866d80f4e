package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/standin/plainservice"
)

// EffectsSource names a VM of a plain service whose count of effects is
// compared with the calls of a class.
type EffectsSource struct {
	// Class is a class whose calls must not take effect more than once.
	Class string
	// URL is the base URL of one VM of the plain service that serves the class.
	URL string
}

// parseEffectsFlag parses the value CLASS=URL of the flag --effects.
func parseEffectsFlag(text string) (EffectsSource, error) {
	class, url, ok := strings.Cut(text, "=")
	if !ok || class == "" || url == "" {
		return EffectsSource{}, errors.Newf("effects %q are not CLASS=URL", text)
	}
	return EffectsSource{Class: class, URL: url}, nil
}

// CheckEffects compares the calls of a run with the effects that the plain
// services counted, summed over the VMs of a class. An answered call must have
// taken effect exactly once, any other call at most once. CheckEffects returns a
// description of each call for which this isn't so. It ignores classes for which
// ledgers has no element.
func CheckEffects(ctx context.Context, results []*Result, ledgers []EffectsSource) ([]string, error) {
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
			problems = append(problems, r.checkCalls(byKey)...)
		}
	}
	return problems, nil
}

// checkCalls compares the calls of one class with their number of effects by key
// and returns a description of each problem.
func (r *Result) checkCalls(byKey map[string]int) []string {
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

// addEffects adds the effects that one VM counted to byKey. The entry nodes may
// put a prefix that ends in "/" before a caller's idempotency key; it is removed.
func addEffects(ctx context.Context, url string, byKey map[string]int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+plainservice.EffectsPath, nil)
	if err != nil {
		return errors.Wrap(err, "building the request")
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "reading effects")
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(resp.Body, limitAnswer, maxAnswerBytes)
	if err != nil {
		return errors.Wrap(err, "reading effects")
	}
	var effects plainservice.Effects
	if err := json.Unmarshal(data, &effects); err != nil {
		return errors.Wrap(err, "decoding effects")
	}
	for key, n := range effects.ByKey {
		byKey[key[strings.LastIndexByte(key, '/')+1:]] += n
	}
	return nil
}
