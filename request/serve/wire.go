package serve

import (
	"net/http"
	"time"

	"quetzalknot/process/fleet"
)

// Call holds the values that a caller sends in the headers of its request.
type Call struct {
	// ID is the caller's request id; empty when there is none.
	ID string
	// Left is the time for which the caller waits; 0 when it does not say.
	Left time.Duration
	// Object is the key of the object that the request concerns; empty when there is none.
	Object string
}

// Reply holds the values that a target sends in the headers of its response.
type Reply struct {
	// NotRun reports that the target did not run the request and will not run it.
	NotRun bool
	// Elsewhere reports that the request reached another target than the expected one,
	// which now has the address.
	Elsewhere bool
	// Own reports that the response belongs to the request.
	Own bool
	// Signed reports that the response carries the target's stamp and that its body is
	// unchanged.
	Signed bool
	Load   *fleet.Load
}

// Wire converts between HTTP headers and the types of this package.
type Wire interface {
	// Read returns the values in the headers of a caller's request, or an error when a
	// header is invalid.
	Read(r *http.Request) (Call, error)
	// Outgoing sets the headers for a target, on a copy of the caller's headers.
	Outgoing(header http.Header, targetID string, left time.Duration)
	// Incoming returns the values in the headers of a target's response to the request
	// with the given id.
	Incoming(resp *http.Response, id string) Reply
	// RetryAfter sets the header that tells the caller when to retry.
	RetryAfter(header http.Header, pause time.Duration)
}
