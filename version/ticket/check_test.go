package ticket

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

const validTicket = `number = 4
operator = "anna"
[[service]]
name = "bokun"
shed = {status = 503, header = "X-Shed"}
[[service.class]]
name = "archive"
path_prefix = "/archive"
methods = ["GET"]
long = true
[[service.target]]
name = "bokun-01"
addr = "192.0.2.1:9000"
region = "sudvestur"
failure_domain = "sv-hofn"
slots = 6
[[placement]]
service = "bokun"
regions = ["sudvestur", "nordur"]
[[shift]]
name = "move-1"
service = "bokun"
from = "sudvestur"
to = "nordur"
share = 0.2
cap = 0.3
[[leaving]]
kind = "target"
service = "bokun"
name = "bokun-01"
[[block]]
prefix = "192.0.2.0/24"
region = "nordur"
[[block_table]]
name = "clients"
object = "blocks/1"
sha256 = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
[[block_table.delta]]
object = "blocks/1-2"
sha256 = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
[[remove]]
kind = "shift"
name = "move-0"
`

var testRegions = []Region{
	{Name: "sudvestur", FailureDomains: []string{"sv-hofn", "sv-hraun"}},
	{Name: "nordur", FailureDomains: []string{"no-gler", "no-eyri"}},
}

func parse(t testing.TB, text string) *Ticket {
	t.Helper()
	parsed, err := Parse([]byte(text), FormatTOML)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func TestWellFormedTicket(t *testing.T) {
	if err := parse(t, validTicket).CheckAgainst(CheckContext{Regions: testRegions, InForce: &state.Snapshot{}}); err != nil {
		t.Fatal(err)
	}
}

// Each invalid change of the valid ticket must be reported with its field and value.
func TestBadFields(t *testing.T) {
	for _, tc := range []struct{ old, bad, field, value string }{
		{`number = 4`, `number = 0`, "number", "0"},
		{`number = 4`, `number = 9007199254740992`, "number", "9007199254740992"},
		{`operator = "anna"`, `operator = ""`, "operator", ""},
		{`name = "bokun"`, `name = "bo/kun"`, "service[0].name", "bo/kun"},
		{`{status = 503, header = "X-Shed"}`, `{status = 503}`, "service[0].shed.header", ""},
		{`{status = 503, header = "X-Shed"}`, `{status = 200, header = "X-Shed"}`, "service[0].shed.status", "200"},
		{`"/archive"`, `"archive"`, "service[0].class[0].path_prefix", "archive"},
		{`["GET"]`, `["get"]`, "service[0].class[0].methods[0]", "get"},
		{`long = true`, `slot_share = 1.5`, "service[0].class[0].slot_share", "1.5"},
		{`long = true`, `slot_share = nan`, "service[0].class[0].slot_share", "NaN"},
		{`192.0.2.1:9000`, `target.example:9000`, "service[0].target[0].addr", "target.example:9000"},
		{`192.0.2.1:9000`, `192.0.2.1:0`, "service[0].target[0].addr", "192.0.2.1:0"},
		{`slots = 6`, `slots = 0`, "service[0].target[0].slots", "0"},
		{`failure_domain = "sv-hofn"`, `failure_domain = "no-gler"`, "service[0].target[0].failure_domain", "no-gler"},
		{`["sudvestur", "nordur"]`, `["vestur"]`, "placement[0].regions[0]", "vestur"},
		{`["sudvestur", "nordur"]`, `["nordur", "nordur"]`, "placement[0].regions[1]", "nordur"},
		{"service = \"bokun\"\nfrom", "service = \"rota\"\nfrom", "shift[0].service", "rota"},
		{`cap = 0.3`, `cap = 0.1`, "shift[0].share", "0.2"},
		{`cap = 0.3`, "cap = 0.3\nrate_per_second = inf", "shift[0].rate_per_second", "+Inf"},
		{`to = "nordur"`, `to = "sudvestur"`, "shift[0].to", "sudvestur"},
		{"name = \"bokun-01\"\n[[block]]", "name = \"bokun-09\"\n[[block]]", "leaving[0].name", "bokun-09"},
		{`kind = "target"`, `kind = "rack"`, "leaving[0].kind", "rack"},
		{`192.0.2.0/24`, `192.0.2.7/24`, "block[0].prefix", "192.0.2.7/24"},
		{`192.0.2.0/24`, `::ffff:192.0.2.0/120`, "block[0].prefix", "::ffff:192.0.2.0/120"},
		{`blocks/1`, `../1`, "block_table[0].object", "../1"},
		{`sha256 = "aa`, `sha256 = "Aa`, "block_table[0].sha256", "A" + strings.Repeat("a", 63)},
		{`name = "clients"`, `name = "all"`, "block_table[0].name", "all"},
		{`sha256 = "bb`, `sha256 = "xb`, "block_table[0].delta[0].sha256", "x" + strings.Repeat("b", 63)},
		{`kind = "shift"`, `kind = "rack"`, "remove[0].kind", "rack"},
		{"kind = \"shift\"\nname = \"move-0\"", "kind = \"shift\"\nname = \"move-1\"", "remove[0]", "shift/move-1"},
	} {
		text := strings.Replace(validTicket, tc.old, tc.bad, 1)
		if text == validTicket {
			t.Fatalf("the ticket does not contain %q", tc.old)
		}
		err := parse(t, text).CheckAgainst(CheckContext{Regions: testRegions, InForce: &state.Snapshot{}})
		if !hasProblem(err, tc.field, tc.value) {
			t.Errorf("%s: got %v, want field %s value %q", tc.bad, err, tc.field, tc.value)
		}
	}
}

func hasProblem(err error, field, value string) bool {
	var check *CheckError
	if !errors.As(err, &check) {
		return false
	}
	for _, p := range check.Problems {
		if p.Field == field && p.Value == value && p.Allowed != "" {
			return true
		}
	}
	return false
}

func TestReferencesIntoStateInForce(t *testing.T) {
	text := "number = 9\noperator = \"anna\"\n[[leaving]]\nkind = \"target\"\nservice = \"bokun\"\nname = \"bokun-01\"\n"
	inForce := &state.Snapshot{Services: map[string]*config.Service{"bokun": {Targets: []config.Target{{Name: "bokun-01"}}}}}
	if err := parse(t, text).CheckAgainst(CheckContext{InForce: inForce}); err != nil {
		t.Fatal(err)
	}
	removed := text + "[[remove]]\nkind = \"service\"\nname = \"bokun\"\n"
	if err := parse(t, removed).CheckAgainst(CheckContext{InForce: inForce}); !hasProblem(err, "leaving[0].service", "bokun") {
		t.Fatalf("a service that the ticket removes: got %v", err)
	}
	if err := parse(t, text).Check(); err != nil {
		t.Fatalf("without the state in force: %v", err)
	}
}

// FuzzParse searches for input with which parsing or checking a ticket panics, or with
// which a ticket that passes the checks cannot be stored or put into force.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validTicket), false)
	f.Add([]byte(`{"number":1,"operator":"anna","leaving":[{"kind":"host","name":"h1"}]}`), true)
	f.Add([]byte(`{"number":1} {`), true)
	f.Add([]byte("number = 18446744073709551615\n[[block]]\nprefix = \"/\""), false)
	f.Add([]byte("[[remove]]\nkind = \"leaving\"\nname = \"host//\""), false)
	f.Fuzz(func(t *testing.T, data []byte, isJSON bool) {
		format := FormatTOML
		if isJSON {
			format = FormatJSON
		}
		parsed, err := Parse(data, format)
		if err != nil || parsed.CheckAgainst(CheckContext{Regions: testRegions, InForce: &state.Snapshot{}}) != nil {
			return
		}
		r, err := parsed.Record(time.Unix(0, 0))
		if err != nil {
			t.Fatalf("a valid ticket has no stored form: %v", err)
		}
		s := state.New()
		s.Merge(r)
		if faults := s.Faults(); len(faults) > 0 {
			t.Fatalf("a valid ticket cannot be put into force: %v", faults)
		}
	})
}
