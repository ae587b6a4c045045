package quetzalknot_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	_ "quetzalknot/daemon" // defines every event of the daemon
	"quetzalknot/process/eventlog"
)

// catalogueRow matches a row of docs/EVENTS.md up to the message.
var catalogueRow = regexp.MustCompile(`(?m)^\| (\d{4}) \| (\w+) \| ([^|]+?) \|`)

// TestEventCatalogue checks that docs/EVENTS.md lists exactly the events that the code
// defines.
func TestEventCatalogue(t *testing.T) {
	page, err := os.ReadFile("docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[string]bool)
	for _, row := range catalogueRow.FindAllSubmatch(page, -1) {
		documented[fmt.Sprintf("%s %s %s", row[1], row[2], row[3])] = true
	}
	for _, ev := range eventlog.All() {
		key := fmt.Sprintf("%04d %s %s", ev.Number, ev.Level, ev.Message)
		if !documented[key] {
			t.Errorf("docs/EVENTS.md has no row for %s", key)
		}
		delete(documented, key)
	}
	for key := range documented {
		t.Errorf("docs/EVENTS.md lists %s, which the code does not define", key)
	}
}
