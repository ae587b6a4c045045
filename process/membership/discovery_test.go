package membership

import (
	"testing"
	"time"
)

// TestAloneOnlyWhenConfirmed: a host that read the member rows before the others had
// written theirs must not take itself for the only host.
func TestAloneOnlyWhenConfirmed(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name     string
		announce bool
		readAt   time.Duration
		members  int
		want     bool
	}{
		{"nothing read", true, -1, 1, false},
		{"rows read before the announcement", false, 0, 1, false},
		{"rows read at once after the announcement", true, time.Millisecond, 1, false},
		{"rows read after the confirmation time", true, aloneConfirmation, 1, true},
		{"rows read late but not announced", false, aloneConfirmation, 1, false},
		{"another host is known", false, -1, 2, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var d Discovery
			if tc.announce {
				d.Announced(start)
				d.Announced(start.Add(time.Hour)) // renewals do not start the discovery again
			}
			if tc.readAt >= 0 {
				d.RowsRead(start.Add(tc.readAt))
			}
			if got := d.Done(tc.members); got != tc.want {
				t.Errorf("done: %v, want %v", got, tc.want)
			}
			if tc.want && !d.Done(1) {
				t.Error("the discovery began again when the other hosts were lost")
			}
		})
	}
}
