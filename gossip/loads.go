package gossip

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
)

// loadMap holds loads by the id of the VM that takes the requests. Loads are most of a
// message and arrive many times a second, so they are encoded as a string, which takes a
// quarter of the time of an object to decode: "ID,REQUESTS,TOKENS;ID,REQUESTS;...". An id
// is escaped as in the query of a URL.
type loadMap map[string]dispatch.Load

const (
	loadSeparator  = ";"
	fieldSeparator = ","
)

// MarshalJSON implements json.Marshaler.
func (m loadMap) MarshalJSON() ([]byte, error) {
	const loadBytes = 24
	out := make([]byte, 0, loadBytes*len(m)+2)
	out = append(out, '"')
	for vm, l := range m {
		if len(out) > 1 {
			out = append(out, loadSeparator...)
		}
		out = append(out, url.QueryEscape(vm)...)
		out = append(out, fieldSeparator...)
		out = strconv.AppendInt(out, int64(l.InFlight), 10)
		if l.PendingPromptTokens != 0 {
			out = append(out, fieldSeparator...)
			out = strconv.AppendInt(out, int64(l.PendingPromptTokens), 10)
		}
	}
	return append(out, '"'), nil
}

// UnmarshalJSON implements json.Unmarshaler. It also reads the object that older nodes
// send.
func (m *loadMap) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] != '"' {
		return json.Unmarshal(data, (*map[string]dispatch.Load)(m))
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	out := make(loadMap, strings.Count(text, loadSeparator)+1)
	for text != "" {
		var load string
		load, text, _ = strings.Cut(text, loadSeparator)
		vm, l, err := parseLoad(load)
		if err != nil {
			return err
		}
		out[vm] = l
	}
	*m = out
	return nil
}

// parseLoad parses one load and the id of its VM.
func parseLoad(text string) (string, dispatch.Load, error) {
	vm, counts, _ := strings.Cut(text, fieldSeparator)
	requests, tokens, hasTokens := strings.Cut(counts, fieldSeparator)
	vm, err := url.QueryUnescape(vm)
	if err != nil {
		return "", dispatch.Load{}, errors.Wrapf(err, "load %.80q", text)
	}
	var l dispatch.Load
	if l.InFlight, err = strconv.Atoi(requests); err != nil {
		return "", dispatch.Load{}, errors.Wrapf(err, "load %.80q", text)
	}
	if hasTokens {
		if l.PendingPromptTokens, err = strconv.Atoi(tokens); err != nil {
			return "", dispatch.Load{}, errors.Wrapf(err, "load %.80q", text)
		}
	}
	return vm, l, nil
}
