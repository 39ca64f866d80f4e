package gateway

import (
	"net/http"
	"time"

	"github.com/tamarackcleat/tamarackcleat/exchange"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/notice"
)

// Request is a caller's request as the Protocol decoded it.
type Request struct {
	// ID identifies the request, which is one attempt of the caller. If the
	// caller tries again, that is another request with an id of its own.
	ID string
	// Method and Target are those of the request line; Target is sent to the
	// upstream unchanged. Host and Path select the route.
	Method, Target, Host, Path string
	// Header holds the end-to-end header fields to send to the upstream.
	Header http.Header
	// Body is nil for none.
	Body exchange.Body
	// Timeout is how long the caller waits for the answer; 0 if it doesn't say.
	Timeout time.Duration
	// Key is the API key.
	Key string
	// Model names the model; empty for plain services.
	Model string
	// PromptTokens is the size of the prompt and MaxTokens the limit on the size
	// of the answer; 0 if the caller doesn't say.
	PromptTokens, MaxTokens int
	// SharedParts lists the ids of the parts of the prompt that prompts of other
	// requests may share; empty if the caller doesn't say.
	SharedParts []string
	// LastEvent is the id of the last event that the caller has received; empty
	// for a stream from its start.
	LastEvent string
}

// Attempt describes the sending of a request to one upstream.
type Attempt struct {
	Target fleet.Target
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Team is the name of the caller's team; empty for none.
	Team string
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
	// LastEvent is the id of the event after which the upstream should continue
	// the stream; empty for the start.
	LastEvent string
}

// ResponseInfo holds what the status and the header of an upstream's response
// say.
type ResponseInfo struct {
	// NotRun says that the upstream did not run the request and will not.
	NotRun bool
	// Misdirected says that the address belongs to another upstream now, or
	// that the VM at the address doesn't take requests for its replica.
	Misdirected bool
	// FaultyVM names the VM that keeps the replica from working; empty if the
	// response doesn't say.
	FaultyVM string
	// Signed says that the response has an upstream's signature.
	Signed bool
	// Stream says that the body is an event stream.
	Stream bool
	// HasContentEncoding says that the body has a content encoding, such as
	// compression.
	HasContentEncoding bool
	// Notice is what the upstream says of itself.
	Notice notice.Notice
}

// Protocol translates between the platform's HTTP messages and the types of this
// package.
type Protocol interface {
	// ReadyPath returns the path of the load balancer's readiness probes.
	ReadyPath() string
	// Decode decodes a caller's request without its body.
	Decode(r *http.Request) (*Request, error)
	// Encode returns the request to send to the upstream of an attempt.
	Encode(r *Request, a Attempt) *exchange.Request
	// Classify interprets the status and the header of an upstream's response.
	Classify(status int, h http.Header) ResponseInfo
	// AddRequestID adds the header fields that identify the request to an answer
	// of the node itself. r may be nil if the request could not be decoded.
	AddRequestID(h http.Header, r *Request)
}
