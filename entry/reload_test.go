package entry

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// TestReloadNamesSettingsThatNeedRestart changes settings that are used only at the start and
// one that is not. Each reload must name the former in the log and keep their values, and
// apply the latter.
func TestReloadNamesSettingsThatNeedRestart(t *testing.T) {
	store := standin.NewStore()
	endpoint := store.NewEndpoint()
	defer endpoint.Close()
	path := filepath.Join(t.TempDir(), "quetzald.toml")
	text := settingsText(t, "front-1", endpoint.Addr(), false)
	s, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	logs := new(bytes.Buffer)
	h := New(s, path, logs)
	entryAddr := s.Listen.Entry
	changed := strings.NewReplacer(entryAddr, "127.0.0.1:9", endpoint.Addr(), "127.0.0.1:8", `grace = "4s"`, "grace = \"9s\"\nlookup_ttl_max = \"1s\"", `region = "nordur"`, `region = "austur"`).Replace(text)
	for _, content := range []string{text, changed, changed} {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		h.Reload()
	}
	h.logWriter.Close()
	got := h.settings.Load()
	if got.Listen.Entry != entryAddr || got.Store.Address != endpoint.Addr() || got.Host.Region != "nordur" {
		t.Errorf("the running host's settings are %+v", got)
	}
	if time.Duration(got.Bounds.Grace) != 9*time.Second || time.Duration(got.Bounds.LookupTTLMax) != defaultLookupTTLMax {
		t.Errorf("bounds %+v", got.Bounds)
	}
	want := []string{`"settings":["host.region","listen.entry","store.address","bounds.lookup_ttl_max"]`}
	want = append(want, want...)
	var named []string
	for line := range strings.Lines(logs.String()) {
		if at := strings.Index(line, `"settings":[`); at >= 0 {
			named = append(named, line[at:at+strings.Index(line[at:], "]")+1])
		}
	}
	if !slices.Equal(named, want) {
		t.Errorf("settings named %v, want %v", named, want)
	}
}
