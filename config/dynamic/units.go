package dynamic

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dustin/go-humanize"
)

// Duration is a time span whose text form has a unit, such as 430ms.
type Duration time.Duration

// Size is a number of bytes whose text form has a unit, such as 64KiB.
type Size int64

// Tokens is a number of tokens whose text form has a unit, such as "4000 tokens".
type Tokens int

// Share is a percentage of requests, with the text form "95 in 100".
type Share float64

// Suffixes of the text forms of Tokens and Share.
const (
	tokensSuffix = " tokens"
	shareSuffix  = " in 100"
)

// Text forms of numbers with a unit. Signs and exponents are not allowed.
var (
	durationPattern = regexp.MustCompile(`^([0-9]+(\.[0-9]+)?(h|m|s|ms|us|µs|ns))+$`)
	sizePattern     = regexp.MustCompile(`^([0-9]{1,9}) ?(B|KB|MB|GB|KiB|MiB|GiB)$`)
	tokensPattern   = regexp.MustCompile(`^([0-9]{1,9}) tokens?$`)
	sharePattern    = regexp.MustCompile(`^([0-9]{1,9}(\.[0-9]{1,3})?) in 100$`)
)

// errZero is the error for a value of zero.
var errZero = errors.New("the value is zero, so nothing could meet it")

// String returns the duration without zero minutes and seconds, such as 430ms or
// 1m30s.
func (d Duration) String() string {
	s := time.Duration(d).String()
	s = strings.Replace(s, "m0s", "m", 1)
	return strings.Replace(s, "h0m", "h", 1)
}

// MarshalText implements encoding.TextMarshaler, for YAML and JSON.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler, for YAML and JSON.
func (d *Duration) UnmarshalText(text []byte) error {
	if !durationPattern.Match(text) {
		return errors.Newf("%q is not a time span with its unit (h, m, s or ms)", text)
	}
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is too long a time span", text)
	}
	*d = Duration(span)
	return checkPositive(span)
}

// String returns the exact size in the largest binary unit that divides it, such as
// 64KiB.
func (s Size) String() string {
	units := []struct {
		name  string
		bytes Size
	}{{"GiB", humanize.GiByte}, {"MiB", humanize.MiByte}, {"KiB", humanize.KiByte}}
	for _, u := range units {
		if s >= u.bytes && s%u.bytes == 0 {
			return fmt.Sprintf("%d%s", s/u.bytes, u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

// MarshalText implements encoding.TextMarshaler, for YAML and JSON.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler, for YAML and JSON.
func (s *Size) UnmarshalText(text []byte) error {
	if !sizePattern.Match(text) {
		return errors.Newf("%q is not a size with its unit (B, KB, MB, KiB or MiB)", text)
	}
	n, err := humanize.ParseBytes(string(text))
	if err != nil || n > math.MaxInt64 {
		return errors.Newf("%q is not a size", text)
	}
	*s = Size(n)
	return checkPositive(n)
}

// String returns the form that documents use, such as "4000 tokens".
func (t Tokens) String() string { return strconv.Itoa(int(t)) + tokensSuffix }

// MarshalText implements encoding.TextMarshaler, for YAML and JSON.
func (t Tokens) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler, for YAML and JSON.
func (t *Tokens) UnmarshalText(text []byte) error {
	m := tokensPattern.FindSubmatch(text)
	if m == nil {
		return errors.Newf("%q is not a number with the unit tokens", text)
	}
	n, err := strconv.Atoi(string(m[1]))
	if err != nil {
		return errors.Newf("%q is not a number of tokens", text)
	}
	*t = Tokens(n)
	return checkPositive(n)
}

// String returns the form that documents use, such as "95 in 100".
func (s Share) String() string {
	return strconv.FormatFloat(float64(s), 'f', -1, 64) + shareSuffix
}

// MarshalText implements encoding.TextMarshaler, for YAML and JSON.
func (s Share) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler, for YAML and JSON.
func (s *Share) UnmarshalText(text []byte) error {
	m := sharePattern.FindSubmatch(text)
	if m == nil {
		return errors.Newf("%q is not a share of requests", text)
	}
	n, err := strconv.ParseFloat(string(m[1]), 64)
	if err != nil {
		return errors.Newf("%q is not a share of requests", text)
	}
	if n > 100 {
		return errors.Newf("%q is more than all requests", text)
	}
	*s = Share(n)
	return checkPositive(n)
}

// checkPositive returns errZero if n is 0. The text forms allow no negative numbers.
func checkPositive[N ~int | ~int64 | ~uint64 | ~float64](n N) error {
	if n == 0 {
		return errZero
	}
	return nil
}
