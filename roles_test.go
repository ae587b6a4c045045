package quetzalknot_test

import (
	"io"
	"net/http"
	"testing"

	"quetzalknot"
	"quetzalknot/platform/memory"
	"quetzalknot/process/settings"
)

// TestRolesSwitchListenersAndRoutes checks that a host with only the role watch has no
// forward listener and does not answer look-ups.
func TestRolesSwitchListenersAndRoutes(t *testing.T) {
	s := &settings.Settings{
		Host:   settings.Host{Name: "h1", Region: "nordur", FailureDomain: "no-gler"},
		Listen: settings.Listen{API: "127.0.0.1:0", Forward: "127.0.0.1:0", Peer: "127.0.0.1:0"},
		Roles:  settings.Roles{Watch: true},
	}
	if err := s.ApplyDefaultsAndCheck(); err != nil {
		t.Fatal(err)
	}
	host := quetzalknot.New(s, quetzalknot.Options{Platform: memory.New(), Logs: io.Discard})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Kill)
	if addr := host.Addrs().Forward; addr != "" {
		t.Errorf("a host without the role forward listens on %s", addr)
	}
	resp, err := http.Get("http://" + host.Addrs().API + "/v1/lookup?service=bokun&client=192.0.2.7")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound || resp.Header.Get("Content-Type") == "application/json" {
		t.Errorf("a host without the role lookup answers look-ups: %s", resp.Status)
	}
}
