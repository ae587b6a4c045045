package serve

import (
	"net/http"
	"time"

	"quetzalknot/process/fleet"
)

// CallerHeaders holds the values that a caller sends in the headers of its request.
type CallerHeaders struct {
	// ID is the caller's request id; empty when there is none.
	ID string
	// TimeLeft is how long the caller waits; 0 when the headers do not state it.
	TimeLeft time.Duration
	// Object is the key of the object that the request concerns; empty when there is none.
	Object string
	// Key is the key of the caller's workspace, and HasKey reports whether there is one. A key that is not valid by
	// its form is empty.
	Key    string
	HasKey bool
}

// TargetHeaders holds the values that a target sends in the headers of its response.
type TargetHeaders struct {
	// NotRun reports that the target did not run the request and will not run it.
	NotRun bool
	// WrongTarget reports that the response to the request says that it reached another
	// target than the expected one, which now has the address.
	WrongTarget bool
	// Target is the ID of the target that responded; empty when the headers do not state it.
	Target string
	// MatchesRequest reports that the response belongs to the request. NotRun and WrongTarget
	// may be true without it for a response that names no request.
	MatchesRequest bool
	// Stamped reports that the response carries the target's stamp and that its body has
	// not been re-encoded on the way.
	Stamped bool
	Load    *fleet.Load
	// Notice is what the target says of itself.
	Notice fleet.Notice
}

// HeaderCodec converts between HTTP headers and the types of this package.
type HeaderCodec interface {
	// ReadRequest returns the values in the headers of a caller's request, or an error when a
	// header is invalid.
	ReadRequest(r *http.Request) (CallerHeaders, error)
	// IsPerAttempt reports whether a header of a request differs between repetitions of it. The name is in the canonical
	// form.
	IsPerAttempt(name string) bool
	// SetRequestHeaders sets the headers for a target, on a copy of the caller's headers.
	SetRequestHeaders(header http.Header, targetID string, left time.Duration)
	// IsIdentity reports whether a header carries a key or a workspace. The name is in the canonical form.
	IsIdentity(name string) bool
	// SetWorkspace removes the key from the headers for a target and sets the workspace in place of what the caller
	// sent; an empty name removes it.
	SetWorkspace(header http.Header, workspace string)
	// ReadResponse returns the values in the headers of a target's response to the request
	// with the given id.
	ReadResponse(resp *http.Response, id string) TargetHeaders
	// SetRetryAfter sets the header that tells the caller when to retry.
	SetRetryAfter(header http.Header, pause time.Duration)
}
