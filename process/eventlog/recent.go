package eventlog

import (
	"bytes"
	"io"
	"sync"
)

// requestFieldPrefix is the text before the request id in a log line.
var requestFieldPrefix = []byte(`"request":"`)

// RecentRequests is a writer that forwards log lines and keeps those of the most recent
// requests, so that the handling of a request can be explained from its log lines. It is
// safe for concurrent use.
type RecentRequests struct {
	next        io.Writer
	maxRequests int

	mu    sync.Mutex
	lines map[string][][]byte
	order []string
	// oldest is the index in order of the request that is removed next.
	oldest int
}

// NewRecentRequests returns a RecentRequests that forwards lines to next and keeps those
// of at most maxRequests requests.
func NewRecentRequests(next io.Writer, maxRequests int) *RecentRequests {
	return &RecentRequests{next: next, maxRequests: maxRequests, lines: make(map[string][][]byte, maxRequests), order: make([]string, 0, maxRequests)}
}

// Write implements io.Writer. Each call must pass one log line.
func (r *RecentRequests) Write(line []byte) (int, error) {
	if id := requestID(line); id != "" {
		r.add(id, line)
	}
	return r.next.Write(line)
}

func requestID(line []byte) string {
	_, rest, found := bytes.Cut(line, requestFieldPrefix)
	if !found {
		return ""
	}
	id, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(id)
}

func (r *RecentRequests) add(id string, line []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.lines[id]; !known {
		r.trackRequest(id)
	}
	r.lines[id] = append(r.lines[id], bytes.TrimSpace(bytes.Clone(line)))
}

func (r *RecentRequests) trackRequest(id string) {
	if len(r.order) < r.maxRequests {
		r.order = append(r.order, id)
		return
	}
	delete(r.lines, r.order[r.oldest])
	r.order[r.oldest] = id
	r.oldest = (r.oldest + 1) % r.maxRequests
}

// Lines returns the kept log lines of a request, oldest first.
func (r *RecentRequests) Lines(id string) [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([][]byte(nil), r.lines[id]...)
}
