package quetzalknot_test

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"quetzalknot"
	"quetzalknot/platform/memory"
	"quetzalknot/process/settings"
)

var (
	// metricRow matches the name in a row of docs/METRICS.md.
	metricRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")
	// placeholder matches a variable part of a name, such as <service>.
	placeholder = regexp.MustCompile(`<[^>]+>`)
)

// TestMetricsCatalogue checks that docs/METRICS.md lists every metric of a started host,
// and that the code publishes every metric it lists.
func TestMetricsCatalogue(t *testing.T) {
	page, err := os.ReadFile("docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var documented []string
	for _, row := range metricRow.FindAllSubmatch(page, -1) {
		documented = append(documented, string(row[1]))
	}
	for _, name := range startedHost(t).Metrics().Names() {
		if !matchesAny(name, documented) {
			t.Errorf("docs/METRICS.md has no row for %s", name)
		}
	}
	source := goSource(t)
	for _, name := range documented {
		static, _, _ := strings.Cut(name, "<")
		if !strings.Contains(source, `"`+static) {
			t.Errorf("docs/METRICS.md lists %s, which the code does not publish", name)
		}
	}
}

func startedHost(t *testing.T) *quetzalknot.Host {
	t.Helper()
	s := &settings.Settings{
		Host:   settings.Host{Name: "h1", Region: "nordur", FailureDomain: "no-gler"},
		Listen: settings.Listen{API: "127.0.0.1:0", Forward: "127.0.0.1:0", Peer: "127.0.0.1:0"},
	}
	if err := s.ApplyDefaultsAndCheck(); err != nil {
		t.Fatal(err)
	}
	host := quetzalknot.New(s, quetzalknot.Options{Platform: memory.New(), Logs: io.Discard})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Kill)
	return host
}

func matchesAny(name string, documented []string) bool {
	for _, d := range documented {
		parts := placeholder.Split(d, -1)
		for i := range parts {
			parts[i] = regexp.QuoteMeta(parts[i])
		}
		if regexp.MustCompile("^" + strings.Join(parts, ".+") + "$").MatchString(name) {
			return true
		}
	}
	return false
}

// goSource returns the text of all Go files except tests and the tools module.
func goSource(t *testing.T) string {
	t.Helper()
	var text strings.Builder
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path == "tools" {
			return fs.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		text.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return text.String()
}
