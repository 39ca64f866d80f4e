package gateway

import (
	"net/http"
	"time"

	"github.com/tamarackcleat/tamarackcleat/exchange"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// Request is a caller's request as the protocol decoded it.
type Request struct {
	// ID identifies the attempt of the caller.
	ID string
	// Method, Target, Host and Path are those of the request line; Target is
	// passed on as it came.
	Method, Target, Host, Path string
	// Header holds the end-to-end header fields to pass on.
	Header http.Header
	Body   []byte
	// Patience is how long the caller waits; 0 if it doesn't say.
	Patience time.Duration
	// Key is the API key.
	Key string
	// Model names the model; empty for plain services.
	Model string
	// PromptTokens and MaxTokens are sizes; 0 if the caller doesn't say.
	PromptTokens, MaxTokens int
	// LastEvent is the id of the last event that the caller has; empty for
	// a request from the start.
	LastEvent string
}

// Attempt is one try to have a request answered by an upstream.
type Attempt struct {
	Target fleet.Target
	// Remaining is the time left for the answer.
	Remaining time.Duration
	// Team is the name of the caller's team; empty for none.
	Team string
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// LastEvent is the id of the last event that need not be sent again.
	LastEvent string
}

// Answer is what a response's status and header say.
type Answer struct {
	// NotRun says that the upstream did not run the request and will not.
	NotRun bool
	// Moved says that the address belongs to another upstream, or that it
	// doesn't take requests for its replica.
	Moved bool
	// AtFault names the VM that keeps the replica from working, if said.
	AtFault string
	// Signed says that the response bears an upstream's signature.
	Signed bool
	// Stream says that the body is a series of events.
	Stream bool
	// Encoded says that the body is not the upstream's own bytes.
	Encoded bool
}

// Protocol translates between the wire and the project's types.
type Protocol interface {
	// ReadyPath is where the balancer asks whether the node is ready.
	ReadyPath() string
	// Decode decodes a request without its body.
	Decode(r *http.Request) (*Request, error)
	// Encode returns the request to send to an upstream.
	Encode(r *Request, a Attempt) *exchange.Request
	// Classify reads a response's status and header.
	Classify(status int, h http.Header) Answer
	// Label marks an answer of the node's own.
	Label(h http.Header, r *Request)
}
