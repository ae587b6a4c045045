package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// startEndless starts a host that says hello, and then sends without end what never becomes a reply. It returns its address.
func startEndless(t *testing.T, start []byte, repeated string, pause time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := exchangeHellos(c, ownHello()); err != nil {
					return
				}
				go func() { _, _ = io.Copy(io.Discard, c) }()
				_, err := c.Write(start)
				for err == nil {
					_, err = io.WriteString(c, repeated)
					time.Sleep(pause)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestRepliesWithoutEnd: a host that sends without end in place of a reply must cost a caller bounded time and memory, and
// calls to others are not harmed (incident 0014).
func TestRepliesWithoutEnd(t *testing.T) {
	const limit = 500 * time.Millisecond
	header, err := cbor.Marshal(map[string]any{"ServiceMethod": "Echo.Say", "Seq": 1, "Error": ""})
	if err != nil {
		t.Fatal(err)
	}
	longText := []byte{0x7b, 0, 0, 0, 0xff, 0, 0, 0, 0} // the head of a CBOR text of many bytes
	good, _ := startServer(t, nil)
	for name, tc := range map[string]struct {
		start    []byte
		repeated string
		pause    time.Duration
	}{
		"garbage":           {nil, strings.Repeat("\xff", 4096), 0},
		"a header":          {longText, strings.Repeat("a", 4096), 0},
		"a body":            {append(append([]byte{}, header...), longText...), strings.Repeat("a", 4096), 0},
		"many headers":      {nil, string(header), 0},
		"a slow body":       {append(append([]byte{}, header...), longText...), "a", 100 * time.Millisecond},
		"a slow first byte": {nil, "", 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startEndless(t, tc.start, tc.repeated, tc.pause)
			pool := NewClientPool(nil, nil)
			defer pool.Close()
			text, reply := "text", ""
			for range 3 {
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				start := time.Now()
				err := pool.Call(ctx, addr, "Echo.Say", &text, &reply)
				cancel()
				if took := time.Since(start); err == nil || took > 2*limit {
					t.Errorf("error %v after %v", err, took)
				}
				if got, err := callSay(t, pool, good.Addr(), "other"); err != nil || got == "" {
					t.Errorf("a call to another host: %q, %v", got, err)
				}
			}
			if n := pool.Traffic.BytesReceived.Load(); n > 4*MaxMessageBytes {
				t.Errorf("%d bytes were taken", n)
			}
		})
	}
}
