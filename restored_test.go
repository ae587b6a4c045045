package quetzalknot_test

import (
	"io"
	"testing"

	"github.com/cockroachdb/errors"

	"quetzalknot"
	"quetzalknot/platform/memory"
	"quetzalknot/process/settings"
	"quetzalknot/version/store"
)

// Regression: right after the table was restored from an older copy, a host accepted a ticket
// that conflicts with one that the host itself had in force.
func TestConflictWithTicketThatRestoredTableLacks(t *testing.T) {
	s, err := settings.Parse("h1.toml", []byte(oneHost))
	if err != nil {
		t.Fatal(err)
	}
	p := memory.New()
	table := p.Table.(*memory.Table)
	host := quetzalknot.New(s, quetzalknot.Options{Platform: p, Logs: io.Discard})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Kill)
	await(t, "the host is ready", func() bool { return host.Ready() && host.Status().UpToDate })
	older := table.Copy()
	const service = "operator = \"anna\"\n[[service]]\nname = \"bokun\"\n"
	if _, err := host.Submit(t.Context(), parseTicket(t, "number = 5\n"+service)); err != nil {
		t.Fatal(err)
	}
	table.Restore(older)
	var conflict *store.ConflictError
	if _, err := host.Submit(t.Context(), parseTicket(t, "number = 4\n"+service)); !errors.As(err, &conflict) || conflict.Winner != 5 {
		t.Errorf("ticket 4 with a smaller number for the same object: got %v, want a conflict with 5", err)
	}
	other := "number = 5\noperator = \"bjorn\"\n[[service]]\nname = \"rota\"\n"
	if _, err := host.Submit(t.Context(), parseTicket(t, other)); !errors.As(err, &conflict) || conflict.Winner != 5 {
		t.Errorf("ticket 5 with other content: got %v, want a conflict with 5", err)
	}
	if _, err := host.Submit(t.Context(), parseTicket(t, "number = 5\n"+service)); err != nil {
		t.Errorf("ticket 5 submitted again: %v", err)
	}
}
