package claim

import (
	"crypto/sha256"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/verdict"
)

// ErrFull reports that the registry cannot hold another key now.
var ErrFull = errors.New("too many idempotency keys are in use")

// ContentHash is a hash of the content of a request.
type ContentHash [sha256.Size]byte

// Response is the response and the verdict of the first run of a key.
type Response struct {
	Verdict verdict.Verdict
	Status  int
	Header  http.Header
	Body    []byte
	// Whole is true when the complete response is kept. It is false when the response
	// was aborted, too large or evicted.
	Whole bool
}

// Entry is the state of one key in the registry.
type Entry struct {
	key     string
	expires time.Time
	done    chan struct{}

	// The fields below are set before done is closed.
	contentHash ContentHash
	notRun      bool
	response    Response
}

// Done returns a channel that is closed when the first run has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// NotRun reports whether the first run ended without running the request, which
// frees the key. It is valid once Done is closed.
func (e *Entry) NotRun() bool { return e.notRun }

// ContentHash returns the content hash of the first request. It is valid once Done is
// closed.
func (e *Entry) ContentHash() ContentHash { return e.contentHash }

// Registry holds the keys that this process owns. It is safe for concurrent use.
type Registry struct {
	now              func() time.Time
	maxKeys          int
	maxResponseBytes int64

	mu             sync.Mutex
	entries        map[string]*Entry
	insertionOrder []*Entry
	withResponse   []*Entry
	responseBytes  int64
}

// NewRegistry returns a registry that holds at most maxKeys keys and at most
// maxResponseBytes bytes of responses. A nil now means time.Now.
func NewRegistry(maxKeys int, maxResponseBytes int64, now func() time.Time) *Registry {
	if now == nil {
		now = time.Now
	}
	return &Registry{now: now, maxKeys: maxKeys, maxResponseBytes: maxResponseBytes, entries: make(map[string]*Entry)}
}

// Begin returns the entry of a key. If first is true, the entry is new, and whoever called
// Begin must run the request and then call Finish. The entry is kept at least until
// expires. Begin returns ErrFull when the registry cannot hold another key.
func (g *Registry) Begin(key string, expires time.Time) (e *Entry, first bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.entries[key]; e != nil {
		return e, false, nil
	}
	g.expire()
	g.compact()
	if len(g.entries) >= g.maxKeys {
		return nil, false, ErrFull
	}
	e = &Entry{key: key, expires: expires, done: make(chan struct{})}
	g.entries[key] = e
	g.insertionOrder = append(g.insertionOrder, e)
	return e, true, nil
}

// Expiry reports whether a key is in the registry, and when it expires.
func (g *Registry) Expiry(key string) (expires time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[key]
	if e == nil {
		return time.Time{}, false
	}
	return e.expires, true
}

// Finish records the outcome of the first run. The verdict not-run frees the key.
func (g *Registry) Finish(e *Entry, hash ContentHash, resp Response) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.contentHash, e.response = hash, resp
	if resp.Verdict == verdict.NotRun {
		e.notRun = true
		delete(g.entries, e.key)
	} else if resp.Whole {
		g.withResponse = append(g.withResponse, e)
		g.responseBytes += responseSize(e)
		g.evictResponses()
	}
	close(e.done)
}

// Response returns the response of an entry whose Done is closed.
func (g *Registry) Response(e *Entry) Response {
	g.mu.Lock()
	defer g.mu.Unlock()
	return e.response
}

// Len returns the number of keys in the registry.
func (g *Registry) Len() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.entries))
}

// responseSize estimates the memory of an entry's response in bytes.
func responseSize(e *Entry) int64 {
	n := int64(len(e.response.Body))
	for name, values := range e.response.Header {
		for _, value := range values {
			n += int64(len(name) + len(value))
		}
	}
	return n
}

// evictResponses evicts the oldest responses until the limit is met. Their keys are
// kept. It also removes entries whose response has been dropped from the front of
// withResponse.
func (g *Registry) evictResponses() {
	for len(g.withResponse) > 0 {
		e := g.withResponse[0]
		if g.responseBytes <= g.maxResponseBytes && e.response.Whole {
			return
		}
		g.withResponse = g.withResponse[1:]
		g.dropResponse(e)
	}
}

// dropResponse removes the response of an entry, if it is kept, but not the verdict.
func (g *Registry) dropResponse(e *Entry) {
	if !e.response.Whole {
		return
	}
	g.responseBytes -= responseSize(e)
	e.response.Body, e.response.Header, e.response.Whole = nil, nil, false
}

// expire removes expired keys and their responses from the front of insertionOrder. Keys
// are inserted in roughly the order in which they expire, so a key behind one that
// expires later is kept somewhat longer.
func (g *Registry) expire() {
	now := g.now()
	for len(g.insertionOrder) > 0 {
		e := g.insertionOrder[0]
		if g.entries[e.key] == e && (e.expires.After(now) || !isClosed(e.done)) {
			break
		}
		g.insertionOrder = g.insertionOrder[1:]
		if g.entries[e.key] == e {
			delete(g.entries, e.key)
			g.dropResponse(e)
		}
	}
	g.evictResponses()
}

// compact removes the entries of freed keys from insertionOrder once it is more than
// twice as long as the maximum number of keys, so that they are the larger part of it.
func (g *Registry) compact() {
	if len(g.insertionOrder) <= 2*g.maxKeys {
		return
	}
	g.insertionOrder = slices.DeleteFunc(g.insertionOrder, func(e *Entry) bool { return g.entries[e.key] != e })
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
