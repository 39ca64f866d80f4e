package strictyaml

import (
	"net/netip"
	"net/url"

	"github.com/go-playground/validator/v10"
)

// Names of the validation rules for addresses. The rules require IP addresses rather
// than host names, because processes reach each other by IP address.
const (
	ruleIPPort    = "ip_port"
	ruleReachable = "reachable"
	ruleIPURL     = "ip_url"
)

// addressRules holds the check of each address rule by the name of the rule.
var addressRules = map[string]func(string) bool{
	ruleIPPort:    isIPPort,
	ruleReachable: isReachable,
	ruleIPURL:     isIPURL,
}

// registerAddressRules registers the address rules with a validator.
func registerAddressRules(v *validator.Validate) error {
	for name, check := range addressRules {
		err := v.RegisterValidation(name, func(f validator.FieldLevel) bool { return check(f.Field().String()) })
		if err != nil {
			return err
		}
	}
	return nil
}

// isIPPort reports whether text is an IP address with a port other than 0.
func isIPPort(text string) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && addr.Port() != 0
}

// isReachable reports whether other processes can connect to the IP address and port
// in text: the address must be neither unspecified nor multicast.
func isReachable(text string) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && !addr.Addr().IsUnspecified() && !addr.Addr().IsMulticast()
}

// isIPURL reports whether text has the form http://IP:PORT or https://IP:PORT, with
// an optional path.
func isIPURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	return (u.Scheme == "http" || u.Scheme == "https") && isIPPort(u.Host)
}
