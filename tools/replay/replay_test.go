package replay

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"quetzalknot/request/trace"
	"quetzalknot/verdict"
)

// TestReplays replays every plan in testdata and compares the outcome with the
// expected one.
func TestReplays(t *testing.T) {
	plans, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(plans) == 0 {
		t.Fatalf("no plans: %v", err)
	}
	for _, path := range plans {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".toml"), func(t *testing.T) {
			plan, err := Load(path)
			if err != nil {
				t.Fatal(err)
			}
			outcome, err := plan.Run(t.Context(), io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(outcome)
			for _, difference := range outcome.Differences {
				t.Error(difference)
			}
		})
	}
}

// TestTraceLineRoundTrip requires that an entry survives writing and reading, and that an
// invalid line is rejected with its line number.
func TestTraceLineRoundTrip(t *testing.T) {
	start := time.Unix(1000, 0)
	e := trace.Entry{
		At: start.Add(1500 * time.Microsecond), Service: "bokun", Method: "POST", Path: "/a b/c?d=e f", Key: "k 1",
		BodyBytes: 7, Timeout: 2 * time.Second, Duration: 3 * time.Millisecond, ResponseBytes: 9, Status: 201, Verdict: verdict.MayHaveRun,
	}
	line := e.Line(start)
	got, err := trace.ParseLine(line)
	if err != nil || got.Line(time.Time{}) != line || got.Path != e.Path || got.Key != e.Key {
		t.Errorf("%q was parsed as %+v, %v", line, got, err)
	}
	for text, want := range map[string]string{
		"quetzalknot-trace 2\n":                                      "line 1",
		trace.Header + "\n\n# note\n1 2 3\n":                         "line 4: 3 fields",
		trace.Header + "\n" + strings.Replace(line, "1500", "-1", 1): "line 2: -1: must not be negative",
	} {
		if _, err := trace.Read(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// TestDifferencesAreReported requires that every difference from the expected outcome is
// reported, and that a plan with an unknown fault is rejected.
func TestDifferencesAreReported(t *testing.T) {
	o := &Outcome{Name: "wrong"}
	o.Sent, o.Ran, o.NotRun, o.RanTwice = 3, 2, 1, 1
	o.compare(Expect{Sent: 4, MinRan: 3})
	if len(o.Differences) != 4 {
		t.Errorf("%d differences: %v", len(o.Differences), o.Differences)
	}
	if _, err := Load(writePlan(t, "[[step]]\nfault = {kind = \"melt\"}")); err == nil {
		t.Error("a plan with an unknown fault was accepted")
	}
}

func writePlan(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "plan.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
