package entry

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
)

// lines collects log lines.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// of returns the lines of an event.
func (l *lines) of(t *testing.T, event int) []map[string]any {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []map[string]any
	for text := range strings.Lines(l.buf.String()) {
		var line map[string]any
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if line["event"] == float64(event) {
			found = append(found, line)
		}
	}
	return found
}

// TestReadinessIsLogged follows a host from its start to the end of its last target.
func TestReadinessIsLogged(t *testing.T) {
	s := newSite(t, 1, 0)
	logs := new(lines)
	s.logs = logs
	h := s.addHost("front-0")
	s.eventually("host is ready", h.ready)
	s.eventually("readiness is logged", func() bool {
		changes := logs.of(t, evReady.Number)
		return len(changes) > 0 && changes[len(changes)-1]["ready"] == true
	})
	s.store.RemoveTarget("i-0")
	s.eventually("want of targets is logged", func() bool {
		changes := logs.of(t, evReady.Number)
		last := changes[len(changes)-1]
		return last["ready"] == false && last["reason"] == "no target is known"
	})
}
