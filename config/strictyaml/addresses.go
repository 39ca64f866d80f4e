package strictyaml

import (
	"net/netip"
	"net/url"

	"github.com/go-playground/validator/v10"
)

// Rules for addresses; processes reach each other by IP numbers.
const (
	ruleIPPort    = "ip_port"
	ruleReachable = "reachable"
	ruleIPURL     = "ip_url"
)

// addressRules maps the rules for addresses to their checks.
var addressRules = map[string]func(string) bool{
	ruleIPPort:    isIPPort,
	ruleReachable: isReachable,
	ruleIPURL:     isIPURL,
}

// registerAddressRules adds the rules for addresses to a validator.
func registerAddressRules(v *validator.Validate) error {
	for name, check := range addressRules {
		err := v.RegisterValidation(name, func(f validator.FieldLevel) bool { return check(f.Field().String()) })
		if err != nil {
			return err
		}
	}
	return nil
}

// isIPPort accepts an IP number and a port other than 0.
func isIPPort(text string) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && addr.Port() != 0
}

// isReachable refuses addresses that others can't connect to.
func isReachable(text string) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && !addr.Addr().IsUnspecified() && !addr.Addr().IsMulticast()
}

// isIPURL accepts http://IP:PORT with an optional path.
func isIPURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	return (u.Scheme == "http" || u.Scheme == "https") && isIPPort(u.Host)
}
