package ticket_test

import (
	"strings"
	"testing"

	"quetzalknot/version/config"
	"quetzalknot/version/ticket"
)

// TestBlockProblems wants each bad block and block table named with its field.
func TestBlockProblems(t *testing.T) {
	good := strings.Repeat("ab", 32)
	bad := ticket.Ticket{
		Number: 1, Operator: "anna",
		Blocks: []config.Block{{Prefix: "192.0.2.9/24", Region: "a"}, {Prefix: "2001:0db8::/32", Region: "a"}, {Prefix: "x", Region: "a"}, {Prefix: "10.0.0.0/8"}},
		BlockTables: []config.BlockTable{{Name: "other", Object: "", SHA256: "12"},
			{Name: "clients", Object: "t", SHA256: good, Deltas: []config.BlockDelta{{Object: "d", SHA256: "zz"}}}},
	}
	err := bad.Check()
	if err == nil {
		t.Fatal("the ticket passed")
	}
	for _, want := range []string{
		`block[0].prefix = "192.0.2.9/24": bits are set behind the prefix; write it as 192.0.2.0/24`,
		`block[1].prefix = "2001:0db8::/32": write it as 2001:db8::/32`, `block[2].prefix = "x"`, `block[3].region`,
		`block_table[0].name`, `block_table[0].object`, `block_table[0].sha256`, `block_table[1].delta[0].sha256`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%v\nlacks %s", err, want)
		}
	}
	if n := strings.Count(err.Error(), ";") - 1; n != 8 {
		t.Errorf("%d problems, want 8: %v", n, err)
	}
}
