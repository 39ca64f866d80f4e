// Package porthttp provides HTTP clients for the external systems that package
// port describes: the log, the VM list, the weight store, model engines and
// plain services.
//
// The guarantee: the error of every failed request to an upstream has a verdict,
// and that verdict is verdict.NotRun only if no byte of the request was written,
// because no connection was obtained or the request was withheld, or the upstream
// stated that it did not run the request. A request with a body is sent at most once:
// net/http can neither rewind the body, repeat the request nor follow a redirect.
//
// What an upstream says of itself in an answer is passed on as soon as the head of the
// answer has arrived, and a request can be withheld until right before it is written;
// see Trace.
//
// Answer streams are decoded by the go-sse library with a limit on the size of
// an event. This package adds the rule that a stream without its final chunk is
// incomplete, which is an error.
package porthttp
