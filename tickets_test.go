package quetzalknot_test

import (
	"io"
	"testing"
	"time"

	"quetzalknot"
	"quetzalknot/platform/memory"
	"quetzalknot/process/settings"
	"quetzalknot/version/store"
	"quetzalknot/version/ticket"
)

const (
	oneHost = `
[host]
name = "h1"
region = "sudvestur"
failure_domain = "sv-hofn"
[listen]
api = "127.0.0.1:0"
forward = "127.0.0.1:0"
peer = "127.0.0.1:0"
`
	newService   = "number = 1\noperator = \"anna\"\n[[service]]\nname = \"bokun\"\n"
	newPlacement = "number = 2\noperator = \"anna\"\n[[placement]]\nservice = \"bokun\"\nregions = [\"nordur\"]\n"
	wrongService = "number = 3\noperator = \"anna\"\n[[placement]]\nservice = \"rota\"\nregions = [\"nordur\"]\n"
	readyTimeout = 20 * time.Second
)

func parseTicket(t *testing.T, text string) *ticket.Ticket {
	t.Helper()
	parsed, err := ticket.Parse([]byte(text), ticket.FormatTOML)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// TestTicketRefersToUnsynchronisedService checks that a ticket may refer to a service which
// was accepted through another host and has not been synchronised to this one yet.
func TestTicketRefersToUnsynchronisedService(t *testing.T) {
	s, err := settings.Parse("h1.toml", []byte(oneHost))
	if err != nil {
		t.Fatal(err)
	}
	p := memory.New()
	host := quetzalknot.New(s, quetzalknot.Options{Platform: p, Logs: io.Discard})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = host.Stop(t.Context()) }()
	for start := time.Now(); !host.Ready() || !host.Status().UpToDate; time.Sleep(time.Millisecond) {
		if time.Since(start) > readyTimeout {
			t.Fatal("the host does not become ready")
		}
	}
	record, err := parseTicket(t, newService).Record(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.New(p.Table).Submit(t.Context(), record); err != nil {
		t.Fatal(err)
	}
	if _, err := host.Submit(t.Context(), parseTicket(t, newPlacement)); err != nil {
		t.Fatal(err)
	}
	if _, err := host.Submit(t.Context(), parseTicket(t, wrongService)); err == nil {
		t.Fatal("a placement of an unknown service is accepted")
	}
}
