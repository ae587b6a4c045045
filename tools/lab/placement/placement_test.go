package placement

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const committed = "../../../experiments/placement.toml"

// TestPoliciesRankAsOnPlayedDays: without regard to objects the worth is least, one order
// of targets for an object is better, and the product's choice is best.
func TestPoliciesRankAsOnPlayedDays(t *testing.T) {
	f, err := Load(committed)
	if err != nil {
		t.Fatal(err)
	}
	results := Run(f)
	worth := make(map[string]float64)
	for _, r := range results {
		worth[r.Policy] = r.Worth
		if r.Asked != results[0].Asked {
			t.Errorf("%s got %d requests, %s %d", r.Policy, r.Asked, results[0].Policy, results[0].Asked)
		}
	}
	if !(worth["two-choices"] < worth["rendezvous"] && worth["rendezvous"] < worth["placement"]) {
		t.Errorf("worth by policy: %v", worth)
	}
	if again := Run(f); !reflect.DeepEqual(results, again) {
		t.Errorf("the same file gives %v and then %v", results, again)
	}
}

func TestFaultyExperimentsAreRefused(t *testing.T) {
	for _, tc := range []struct{ change, with, want string }{
		{"seconds = 40", "seconds = 0", "seconds is 0"},
		{"zipf = 1.2", "zipf = 1.0", "zipf above 1"},
		{`"random"`, `"best"`, `policy "best" is unknown`},
		{"slots = 6", "slots = 0", "target.slots is 0"},
		{"slots = 6", "slots = ", "placement.toml"},
	} {
		f := filepath.Join(t.TempDir(), "placement.toml")
		rewrite(t, f, tc.change, tc.with)
		if _, err := Load(f); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want %q", tc.with, err, tc.want)
		}
	}
}

// rewrite writes the committed experiment with a change to a file.
func rewrite(t *testing.T, to, change, with string) {
	t.Helper()
	data, err := os.ReadFile(committed)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(data), change, with, 1)
	if text == string(data) {
		t.Fatalf("the experiment has no %q", change)
	}
	if err := os.WriteFile(to, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
