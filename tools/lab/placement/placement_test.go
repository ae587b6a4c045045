package placement

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const experimentPath = "../../../experiments/placement.toml"

// TestPolicyRanking checks that the simulation ranks the policies as full-day runs did: a
// policy that ignores objects earns the least value, rendezvous hashing by object more,
// and the product's own policy the most. It also checks that a second simulation of the
// same file gives the same results.
func TestPolicyRanking(t *testing.T) {
	f, err := Load(experimentPath)
	if err != nil {
		t.Fatal(err)
	}
	results := Run(f)
	value := make(map[string]float64)
	for _, r := range results {
		value[r.Policy] = r.Worth
		if r.Asked != results[0].Asked {
			t.Errorf("%s got %d requests, %s %d", r.Policy, r.Asked, results[0].Policy, results[0].Asked)
		}
	}
	if !(value["two-choices"] < value["rendezvous"] && value["rendezvous"] < value["placement"]) {
		t.Errorf("value by policy: %v", value)
	}
	if again := Run(f); !reflect.DeepEqual(results, again) {
		t.Errorf("the same file gives %v and then %v", results, again)
	}
}

func TestInvalidExperimentsAreRejected(t *testing.T) {
	for _, tc := range []struct{ old, replacement, want string }{
		{"seconds = 40", "seconds = 0", "seconds is 0"},
		{"zipf = 1.2", "zipf = 1.0", "zipf above 1"},
		{`"random"`, `"best"`, `policy "best" is unknown`},
		{"slots = 6", "slots = 0", "target.slots is 0"},
		{"slots = 6", "slots = ", "placement.toml"},
	} {
		f := filepath.Join(t.TempDir(), "placement.toml")
		writeModified(t, f, tc.old, tc.replacement)
		if _, err := Load(f); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want %q", tc.replacement, err, tc.want)
		}
	}
}

// writeModified writes the committed experiment to a file with one text replaced.
func writeModified(t *testing.T, to, old, replacement string) {
	t.Helper()
	data, err := os.ReadFile(experimentPath)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(data), old, replacement, 1)
	if text == string(data) {
		t.Fatalf("the experiment has no %q", old)
	}
	if err := os.WriteFile(to, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
