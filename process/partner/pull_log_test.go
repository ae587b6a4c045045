package partner

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/mirror"
)

// TestFailedPullIsLogged: the log must tell who had a newer desired state and how long a pull from that host took that failed.
func TestFailedPullIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, groups := newNetwork(t, 2)
		var log bytes.Buffer
		own, other := groups[0], groups[1]
		own.opts.Log, own.opts.StateVersion = zerolog.New(&log), func() uint64 { return 3 }
		own.opts.Mirror.Apply(mirror.Delta{Table: table, UpTo: 1, Whole: true})
		n.mu.Lock()
		n.cutLinks["h00>h01"] = true
		n.mu.Unlock()
		own.receive(&Heartbeat{From: other.opts.Self, StateVersion: 4, Positions: map[string]uint64{table: 9}})
		time.Sleep(2 * callTimeout)
		synctest.Wait()
		for _, want := range []string{
			`"event":1706,"message":"partner has a newer desired state","member":"h01","version":4,"own_version":3`,
			`"event":1705,"message":"table not received from a partner","member":"h01","table":"targets","own_revision":1,"took_ms":800`,
		} {
			if !strings.Contains(log.String(), want) {
				t.Errorf("no line has %s:\n%s", want, log.String())
			}
		}
	})
}
