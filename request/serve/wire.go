package serve

import (
	"net/http"
	"time"

	"quetzalknot/process/fleet"
)

// Call is what a caller says of its request in headers.
type Call struct {
	// ID is the caller's name of the request; empty when it has none.
	ID string
	// Left is how long the caller waits; 0 when it does not say.
	Left time.Duration
	// Object names what the request concerns; empty when it concerns nothing in particular.
	Object string
}

// Reply is what a target says in the headers of an answer.
type Reply struct {
	// NotRun says that the target did not run the request and will not.
	NotRun bool
	// Elsewhere says that another target has the address now.
	Elsewhere bool
	// Own says that the answer belongs to the request.
	Own bool
	// Signed says that the answer bears the target's mark, and its body is as it made it.
	Signed bool
	Load   *fleet.Load
}

// Wire translates between headers and the product's types.
type Wire interface {
	// Read returns what the headers of a caller's request say, or an error when they
	// cannot be read.
	Read(r *http.Request) (Call, error)
	// Outgoing sets the headers for a target on a copy of the caller's headers.
	Outgoing(header http.Header, targetID string, left time.Duration)
	// Incoming returns what a target's answer to the request with an id says.
	Incoming(resp *http.Response, id string) Reply
	// RetryAfter sets the headers that say when to come back.
	RetryAfter(header http.Header, pause time.Duration)
}
