package timeline

import (
	"strings"
	"testing"
	"time"
)

const log = `  -7.9 front-1 {"time":"2026-04-05T10:00:00Z","host":"front-1","event":1011,"message":"entry host started"}
{"time":"2026-04-05T10:00:09Z","host":"front-2","event":1601,"message":"target state changed","target":"i-1"}
front-1 {"time":"2026-04-05T10:00:10.5Z","host":"front-1","event":4602,"request":"r1","status":200}
{"time":"2026-04-05T10:00:10Z","host":"front-2","event":4603,"request":"r1","status":502}
{"time":"2026-04-05T10:00:10Z","host":"front-2","event":4602,"request":"r2","status":200}
{"time":"2026-04-05T10:00:1
panic: something else
{"other":"json"}
`

// TestTimelineAcrossHosts checks that the lines of one request from several hosts are
// in order of time, and that lines that are not log lines are skipped and counted.
func TestTimelineAcrossHosts(t *testing.T) {
	timeline, err := Read(strings.NewReader(log), "r1", 0)
	if err != nil {
		t.Fatal(err)
	}
	if len(timeline.Lines) != 2 || !strings.Contains(string(timeline.Lines[0]), "4603") || timeline.Skipped != 3 {
		t.Errorf("%d lines skipped, got %s", timeline.Skipped, timeline.Lines)
	}
}

// TestHostEventsWithinWindow checks that host events within the window are included.
func TestHostEventsWithinWindow(t *testing.T) {
	timeline, err := Read(strings.NewReader(log), "r1", 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if len(timeline.Lines) != 3 || !strings.Contains(string(timeline.Lines[0]), "1601") {
		t.Errorf("got %s", timeline.Lines)
	}
}
