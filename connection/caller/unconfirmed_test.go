package caller

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// TestLongHeaderNotDeniedByOlderLimit: a host whose limits are not known to be the newest, or have just
// become wider, must not deny a header that the operator allows by now.
func TestLongHeaderNotDeniedByOlderLimit(t *testing.T) {
	long := "GET /now/long HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 20<<10) + "\r\n\r\n"
	narrow := ConnLimits{HeaderBytes: 8 << 10, HeaderTimeout: waitLimit, IdleTimeout: waitLimit}
	wide := narrow
	wide.HeaderBytes = 32 << 10
	for _, tc := range []struct {
		name      string
		confirmed bool
		// after are the limits once it was asked whether they are confirmed.
		after ConnLimits
		want  int
	}{
		{"not confirmed", false, narrow, http.StatusServiceUnavailable},
		{"replaced meanwhile", true, wide, http.StatusServiceUnavailable},
		{"confirmed", true, narrow, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var limits atomic.Pointer[ConnLimits]
			limits.Store(&narrow)
			s := &Server{
				Handler: newTestHandler(), Idempotent: func(*http.Request) bool { return true },
				Limits: func() ConnLimits { return *limits.Load() },
				LimitsConfirmed: func() bool {
					limits.Store(&tc.after)
					return tc.confirmed
				},
			}
			_, addr := serveOn(t, listen(t), s)
			c := dial(t, addr)
			c.send(long)
			if status, _, closes, err := c.receive(); status != tc.want || !closes || err != nil {
				t.Errorf("status %d, closes %t, %v; want %d", status, closes, err, tc.want)
			}
		})
	}
}
