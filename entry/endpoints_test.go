package entry

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// byEvent returns the decoded log lines with an event number.
func (l *logBuffer) byEvent(t *testing.T, event int) []map[string]any {
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

// TestReadinessIsLogged checks that a host logs when it becomes ready, and when it stops
// being ready because its last target is removed.
func TestReadinessIsLogged(t *testing.T) {
	c := newCluster(t, 1, 0)
	logs := new(logBuffer)
	c.logs = logs
	h := c.addHost("front-0")
	c.eventually("host is ready", h.ready)
	c.eventually("readiness is logged", func() bool {
		changes := logs.byEvent(t, evReadinessChanged.Number)
		return len(changes) > 0 && changes[len(changes)-1]["ready"] == true
	})
	c.store.RemoveTarget("i-0")
	c.eventually("lack of targets is logged", func() bool {
		changes := logs.byEvent(t, evReadinessChanged.Number)
		last := changes[len(changes)-1]
		return last["ready"] == false && last["reason"] == "no target is known"
	})
}
