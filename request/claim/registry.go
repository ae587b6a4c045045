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

// ErrFull reports that no further key can be remembered now.
var ErrFull = errors.New("too many idempotency keys are in use")

// Sum identifies the content of a request.
type Sum [sha256.Size]byte

// Answer is what the first run of a key gave.
type Answer struct {
	Verdict verdict.Verdict
	Status  int
	Header  http.Header
	Body    []byte
	// Whole is false when the answer is not kept, or is not known whole.
	Whole bool
}

// Entry is one key of the registry.
type Entry struct {
	key     string
	expires time.Time
	done    chan struct{}

	// These are set before done is closed.
	sum       Sum
	retracted bool
	answer    Answer
}

// Done is closed when the first run has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Retracted reports whether the first run ended without the request having run.
// The key is free again then. It is valid once Done is closed.
func (e *Entry) Retracted() bool { return e.retracted }

// Sum returns the content of the first request. It is valid once Done is closed.
func (e *Entry) Sum() Sum { return e.sum }

// Registry remembers the keys that this process owns. It is safe for concurrent use.
type Registry struct {
	now         func() time.Time
	keysLimit   int
	answerLimit int64

	mu          sync.Mutex
	entries     map[string]*Entry
	order       []*Entry
	answers     []*Entry
	answerBytes int64
}

// NewRegistry returns a registry of at most keys keys, which keeps at most
// answerBytes bytes of answers. A nil now means time.Now.
func NewRegistry(keys int, answerBytes int64, now func() time.Time) *Registry {
	if now == nil {
		now = time.Now
	}
	return &Registry{now: now, keysLimit: keys, answerLimit: answerBytes, entries: make(map[string]*Entry)}
}

// Begin returns the entry of a key, and whether the caller is the first and must
// call Finish. The entry is remembered until expires at least. It returns ErrFull
// when there is no room for another key.
func (g *Registry) Begin(key string, expires time.Time) (e *Entry, first bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.entries[key]; e != nil {
		return e, false, nil
	}
	g.expire()
	g.compact()
	if len(g.entries) >= g.keysLimit {
		return nil, false, ErrFull
	}
	e = &Entry{key: key, expires: expires, done: make(chan struct{})}
	g.entries[key] = e
	g.order = append(g.order, e)
	return e, true, nil
}

// Known reports whether a key is remembered, and until when.
func (g *Registry) Known(key string) (expires time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[key]
	if e == nil {
		return time.Time{}, false
	}
	return e.expires, true
}

// Finish ends the first run. The verdict not-run frees the key.
func (g *Registry) Finish(e *Entry, sum Sum, a Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.sum, e.answer = sum, a
	if a.Verdict == verdict.NotRun {
		e.retracted = true
		delete(g.entries, e.key)
	} else if a.Whole {
		g.answers = append(g.answers, e)
		g.answerBytes += size(e)
		g.dropAnswers()
	}
	close(e.done)
}

// Answer returns the answer of an entry whose Done is closed.
func (g *Registry) Answer(e *Entry) Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return e.answer
}

// Len returns how many keys are remembered.
func (g *Registry) Len() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.entries))
}

// size estimates the memory of an entry's answer in bytes.
func size(e *Entry) int64 {
	n := int64(len(e.answer.Body))
	for name, values := range e.answer.Header {
		for _, value := range values {
			n += int64(len(name) + len(value))
		}
	}
	return n
}

// dropAnswers drops the oldest answers over the limit. Their keys stay known.
func (g *Registry) dropAnswers() {
	for g.answerBytes > g.answerLimit {
		e := g.answers[0]
		g.answers = g.answers[1:]
		g.answerBytes -= size(e)
		e.answer.Body, e.answer.Header, e.answer.Whole = nil, nil, false
	}
}

// expire forgets the keys at the front whose time has passed. Keys begin in about
// the order in which they expire; one behind a later one is only kept longer.
func (g *Registry) expire() {
	now := g.now()
	for len(g.order) > 0 {
		e := g.order[0]
		if g.entries[e.key] == e && (e.expires.After(now) || !isClosed(e.done)) {
			return
		}
		g.order = g.order[1:]
		if g.entries[e.key] == e {
			delete(g.entries, e.key)
		}
	}
}

// compact drops retracted entries from the order once they are the larger part.
func (g *Registry) compact() {
	if len(g.order) <= 2*g.keysLimit {
		return
	}
	g.order = slices.DeleteFunc(g.order, func(e *Entry) bool { return g.entries[e.key] != e })
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
