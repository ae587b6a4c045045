package quetzalknot_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"quetzalknot"
	"quetzalknot/platform"
	"quetzalknot/platform/memory"
	"quetzalknot/process/settings"
)

// hangingTable is a table service whose reads are not answered while it hangs.
type hangingTable struct {
	platform.Table
	hangs atomic.Bool
}

// Get implements platform.Table.
func (h *hangingTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if h.hangs.Load() {
		<-ctx.Done()
		return platform.Row{}, platform.ErrUnavailable
	}
	return h.Table.Get(ctx, key)
}

// Changes implements platform.Table.
func (h *hangingTable) Changes(ctx context.Context, prefix string, after int64, limit int) (platform.Changes, error) {
	if h.hangs.Load() {
		<-ctx.Done()
		return platform.Changes{}, platform.ErrUnavailable
	}
	return h.Table.Changes(ctx, prefix, after, limit)
}

// TestUnknownServiceNotDeniedByHostThatIsNotUpToDate guards against status 404 for a service that
// may have been added, from a host that says itself that its state is not up to date.
func TestUnknownServiceNotDeniedByHostThatIsNotUpToDate(t *testing.T) {
	s, err := settings.Parse("h1.toml", []byte(oneHost))
	if err != nil {
		t.Fatal(err)
	}
	p := memory.New()
	table := &hangingTable{Table: p.Table}
	p.Table = table
	host := quetzalknot.New(s, quetzalknot.Options{Platform: p, Logs: io.Discard})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Kill)
	await(t, "the host is ready", func() bool { return host.Ready() && host.Status().UpToDate })
	if _, err := host.Submit(t.Context(), parseTicket(t, newService)); err != nil {
		t.Fatal(err)
	}
	lookup := "http://" + host.Addrs().API + "/v1/lookup?service="
	await(t, "the known service is found", func() bool { return get(t, lookup+"bokun", "") == http.StatusOK })
	table.hangs.Store(true)
	await(t, "the host is not up to date", func() bool { return !host.Status().UpToDate })
	if got := get(t, lookup+"rota", ""); got != http.StatusServiceUnavailable {
		t.Errorf("a look-up of a service that may have been added got status %d, want 503", got)
	}
	if got := get(t, "http://"+host.Addrs().Forward+"/", "rota"); got != http.StatusServiceUnavailable {
		t.Errorf("a request to a service that may have been added got status %d, want 503", got)
	}
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for start := time.Now(); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > 2*readyTimeout {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// get returns the status of a GET request; service, if not empty, is its host name.
func get(t *testing.T, url, service string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = service
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
