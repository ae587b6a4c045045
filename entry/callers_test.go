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

// TestProperRequestsAreServed sends requests in all forms that the protocol allows. Each must
// be served by a target.
func TestProperRequestsAreServed(t *testing.T) {
	c := newCluster(t, 1, 1)
	fields := standin.Fields("r", "3000")
	const host = "Host: " + standin.HostName + "\r\n"
	for name, text := range map[string]string{
		"plain":                "GET /search/1 HTTP/1.1\r\n" + host + fields + "\r\n",
		"host with a port":     "GET /search/1 HTTP/1.1\r\nHost: " + standin.HostName + ":80\r\n" + fields + "\r\n",
		"empty port":           "GET /search/1 HTTP/1.1\r\nHost: " + standin.HostName + ":\r\n" + fields + "\r\n",
		"host in upper case":   "GET /search/1 HTTP/1.1\r\nHOST: " + strings.ToUpper(standin.HostName) + "\r\n" + fields + "\r\n",
		"host with a dot":      "GET /search/1 HTTP/1.1\r\nHost: " + standin.HostName + ".\r\n" + fields + "\r\n",
		"no space":             "GET /search/1 HTTP/1.1\r\nHost:" + standin.HostName + "\r\n" + fields + "\r\n",
		"absolute form":        "GET http://" + standin.HostName + "/search/1?a=b HTTP/1.1\r\n" + host + fields + "\r\n",
		"encoded path":         "GET /search/a%20b%2Fc%3F HTTP/1.1\r\n" + host + fields + "\r\n",
		"empty segments":       "GET /search//a//b/ HTTP/1.1\r\n" + host + fields + "\r\n",
		"dots":                 "GET /search/../search/./a HTTP/1.1\r\n" + host + fields + "\r\n",
		"parameters":           "GET /search/a;b=c,d:e@f$!'()*+&=~ HTTP/1.1\r\n" + host + fields + "\r\n",
		"unusual characters":   "GET /search/a\"b<c>[d]{e}|\\^`\xc3\xa9 HTTP/1.1\r\n" + host + fields + "\r\n",
		"query":                "GET /search/?a=%zz&b=//c?d;e=%2F HTTP/1.1\r\n" + host + fields + "\r\n",
		"empty query":          "GET /search/? HTTP/1.1\r\n" + host + fields + "\r\n",
		"empty value":          "GET /search/1 HTTP/1.1\r\n" + host + "A:\r\nB: \r\n" + fields + "\r\n",
		"bytes over 127":       "GET /search/1 HTTP/1.1\r\n" + host + "A: \xc3\xa9\xff\r\n" + fields + "\r\n",
		"tabs":                 "GET /search/1 HTTP/1.1\r\n" + host + "A:\tb\tc\t\r\n" + fields + "\r\n",
		"uncommon name":        "GET /search/1 HTTP/1.1\r\n" + host + "a!#$%&'*+-.^_`|~1: b\r\n" + fields + "\r\n",
		"many fields":          "GET /search/1 HTTP/1.1\r\n" + host + strings.Repeat("A: b\r\n", 2000) + fields + "\r\n",
		"long field":           "GET /search/1 HTTP/1.1\r\n" + host + "A: " + strings.Repeat("b", 200_000) + "\r\n" + fields + "\r\n",
		"many cookies":         "GET /search/1 HTTP/1.1\r\n" + host + standin.Object(strings.Repeat("a=b; ", 5000), "17") + "\r\n" + fields + "\r\n",
		"bad cookie":           "GET /search/1 HTTP/1.1\r\n" + host + "Cookie: ;;=,\"x\r\n" + fields + "\r\n",
		"empty line before":    "\r\nGET /search/1 HTTP/1.1\r\n" + host + fields + "\r\n",
		"empty lines before":   "\r|\n\r\n|GET /search/1 HTTP/1.1\r\n" + host + fields + "\r\n",
		"HTTP/1.0":             "GET /search/1 HTTP/1.0\r\n" + host + fields + "\r\n",
		"HTTP/1.0 kept":        "GET /search/1 HTTP/1.0\r\nConnection: keep-alive\r\n" + host + fields + "\r\n",
		"HTTP/1.0 with body":   "POST /book/1 HTTP/1.0\r\nContent-Length: 4\r\n" + host + fields + "\r\ntext",
		"HTTP/1.0 continue":    "POST /book/1 HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 4\r\n" + host + fields + "\r\n|text",
		"continue":             "POST /book/1 HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 4\r\n" + host + fields + "\r\n|text",
		"continue, chunks":     "POST /book/1 HTTP/1.1\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n" + host + fields + "\r\n|4\r\ntext\r\n|0\r\n\r\n",
		"continue, no body":    "GET /search/1 HTTP/1.1\r\nExpect: 100-continue\r\n" + host + fields + "\r\n",
		"chunks in capitals":   "POST /book/1 HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n" + host + fields + "\r\n4\r\ntext\r\n0\r\n\r\n",
		"chunk extension":      "POST /book/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + host + fields + "\r\n4;a=\"b\"\r\n|te|xt\r|\n00A\r\n0123456789\r\n000\r\nTrailer: x\r\n\r\n",
		"empty chunked body":   "POST /book/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + host + fields + "\r\n0\r\n\r\n",
		"no length":            "POST /book/1 HTTP/1.1\r\n" + host + fields + "\r\n",
		"length zero":          "POST /book/1 HTTP/1.1\r\nContent-Length: 0\r\n" + host + fields + "\r\n",
		"GET with a body":      "GET /search/1 HTTP/1.1\r\nContent-Length: 4\r\n" + host + fields + "\r\nte|xt",
		"uncommon method":      "M-SEARCH /search/1 HTTP/1.1\r\n" + host + fields + "\r\n",
		"options":              "OPTIONS /search/1 HTTP/1.1\r\n" + host + fields + "\r\n",
		"long upload":          "POST /book/1 HTTP/1.1\r\nContent-Length: 3000000\r\n" + host + fields + "\r\n" + strings.Repeat("x", 3_000_000),
		"long chunked upload":  "POST /book/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + host + fields + "\r\n2DC6C0\r\n" + strings.Repeat("x", 3_000_000) + "\r\n0\r\n\r\n",
		"upgrade":              "GET /search/1 HTTP/1.1\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n" + host + fields + "\r\n",
		"no deadline":          "GET /search/1 HTTP/1.1\r\n" + host + standin.Fields("r", "") + "\r\n",
		"deadline in spaces":   "GET /search/1 HTTP/1.1\r\n" + host + standin.Fields("r", "\t 3000 \t") + "\r\n",
		"long deadline":        "GET /search/1 HTTP/1.1\r\n" + host + standin.Fields("r", "10000000000000") + "\r\n",
		"longest deadline":     "GET /search/1 HTTP/1.1\r\n" + host + standin.Fields("r", "100000000000000000000") + "\r\n",
		"empty deadline field": "GET /search/1 HTTP/1.1\r\n" + host + standin.Fields("r", " ") + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			if status, body := exchangeRaw(c.hosts[0].addr(), text); status != http.StatusOK {
				t.Errorf("status %d, %s", status, body)
			}
		})
	}
}

// TestOperatorLimitsHold: a caller that stays within the limits of the configuration in force
// must be served, also when they are wider than the host's own, and when they change.
func TestOperatorLimitsHold(t *testing.T) {
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	long := "GET /search/1 HTTP/1.1\r\nHost: " + standin.HostName + "\r\n" + standin.Fields("r", "") + "A: " +
		strings.Repeat("b", 2*callerHeaderBytes) + "\r\n\r\n"
	c.eventually("the state is confirmed", h.stateConfirmed)
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
