package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// exchangeRaw sends the text of one request on a new connection, in the pieces that "|"
// divides it into, and returns the status and the body of the response, or 0 and what failed.
func exchangeRaw(addr, text string) (int, string) {
	conn, err := net.DialTimeout("tcp", addr, waitTimeout)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	for _, piece := range strings.Split(text, "|") {
		if _, err := io.WriteString(conn, piece); err != nil {
			return 0, err.Error()
		}
		time.Sleep(time.Millisecond)
	}
	reader := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0, err.Error()
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		return resp.StatusCode, fmt.Sprint(string(body), err)
	}
}

// TestOperatorLimitsHold: a caller that stays within the limits of the configuration in force
// must be served, also when they are wider than the host's own, and when they change.
func TestOperatorLimitsHold(t *testing.T) {
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	long := "GET /search/1 HTTP/1.1\r\nHost: " + standin.HostName + "\r\nRequest-Identifier: r\r\nA: " +
		strings.Repeat("b", 2*callerHeaderBytes) + "\r\n\r\n"
	if status, body := exchangeRaw(h.addr(), long); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a header over all limits: status %d, %s", status, body)
	}
	wide := strings.NewReplacer(`"headerBytes":16384`, `"headerBytes":4194304`, `"headerTimeout":"3000ms"`, `"headerTimeout":"30s"`,
		`"idleTimeout":"15000ms"`, `"idleTimeout":"300s"`).Replace(standin.DesiredState(2, coldPerSecond))
	c.store.PutState(wide)
	c.eventually("version 2 is applied", func() bool { return h.config.Load().Version == 2 })
	if status, body := exchangeRaw(h.addr(), long); status != http.StatusOK {
		t.Errorf("a header within the operator's limit: status %d, %s", status, body)
	}
	if got := h.entry.Limits(); got.HeaderTimeout != 30*time.Second || got.IdleTimeout != 5*time.Minute {
		t.Errorf("%+v", got)
	}
	c.store.PutState(standin.DesiredState(3, coldPerSecond))
	c.eventually("version 3 is applied", func() bool { return h.config.Load().Version == 3 })
	if got := h.entry.Limits(); got.HeaderTimeout != headerTimeout || got.IdleTimeout != callerIdleTimeout || got.HeaderBytes != callerHeaderBytes {
		t.Errorf("%+v", got)
	}
}
