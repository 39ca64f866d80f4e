// Package porthttp holds the HTTP clients of the outside systems: the log,
// the VM list, the weight store, model engines and plain services.
//
// The guarantee: every failed request to an upstream carries a verdict, and the
// verdict is NotRun only if no connection was obtained for the request or the
// upstream itself said that it did not run it. A request with a body is written
// at most once: net/http may not rewind it, repeat it or follow a redirect.
//
// Answer streams are decoded by the go-sse library with a bound on the size of
// an event; this package adds the rule that a stream without its final chunk
// was cut off.
package porthttp
