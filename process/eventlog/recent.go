package eventlog

import (
	"bytes"
	"io"
	"sync"
)

// requestField starts the request id inside a log line.
var requestField = []byte(`"request":"`)

// Recent passes log lines on and keeps those of the last requests, so that the
// story of a request can be told from its log lines. It is safe for concurrent use.
type Recent struct {
	next io.Writer
	keep int

	mu    sync.Mutex
	lines map[string][][]byte
	order []string
	// oldest is the index in order of the request that is dropped next.
	oldest int
}

// NewRecent returns a Recent that keeps the lines of at most keep requests.
func NewRecent(next io.Writer, keep int) *Recent {
	return &Recent{next: next, keep: keep, lines: make(map[string][][]byte, keep), order: make([]string, 0, keep)}
}

// Write implements io.Writer. One call is one log line.
func (r *Recent) Write(line []byte) (int, error) {
	if id := requestID(line); id != "" {
		r.add(id, line)
	}
	return r.next.Write(line)
}

func requestID(line []byte) string {
	_, rest, found := bytes.Cut(line, requestField)
	if !found {
		return ""
	}
	id, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(id)
}

func (r *Recent) add(id string, line []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.lines[id]; !known {
		r.makeRoom(id)
	}
	r.lines[id] = append(r.lines[id], bytes.TrimSpace(bytes.Clone(line)))
}

func (r *Recent) makeRoom(id string) {
	if len(r.order) < r.keep {
		r.order = append(r.order, id)
		return
	}
	delete(r.lines, r.order[r.oldest])
	r.order[r.oldest] = id
	r.oldest = (r.oldest + 1) % r.keep
}

// Lines returns the kept log lines of a request, oldest first.
func (r *Recent) Lines(id string) [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([][]byte(nil), r.lines[id]...)
}
