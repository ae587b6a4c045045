package quetzalknot_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"quetzalknot/process/settings"
	"quetzalknot/verdict"
)

// stopLimit bounds the whole stop of a host in the tests.
const stopLimit = 1500 * time.Millisecond

// TestStopAnswersRequestsInFlight: at the end of a planned stop, requests in flight were cut without an answer (incident
// 0012). Each must get one that is true: with a target that runs it, waiting for a slot, or with half of its body sent.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	running := make(chan struct{}, 10)
	release := make(chan struct{})
	defer close(release)
	host, addr := startStoppable(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-release
	}), settings.Limits{}, settings.Stop{LookupWaitMS: 100, LimitMS: int(stopLimit.Milliseconds())})
	answers := make(map[string]chan *http.Response)
	for name, text := range map[string]string{
		"safe": "GET /a HTTP/1.1\r\nHost: paie-vault\r\n\r\n", "upload": "POST /b HTTP/1.1\r\nHost: paie-vault\r\nContent-Length: 1\r\n\r\nx",
		"half": "POST /c HTTP/1.1\r\nHost: paie-vault\r\nContent-Length: 9\r\n\r\nx",
	} {
		for i := range 3 {
			answers[fmt.Sprint(name, i)] = sendText(t, addr, text)
		}
	}
	select {
	case <-running:
	case <-time.After(waitTimeout):
		t.Fatal("the target runs no request")
	}
	time.Sleep(100 * time.Millisecond) // the other requests arrive
	start := time.Now()
	if err := host.Stop(t.Context()); err == nil {
		t.Error("the stop does not report the requests that it ended")
	}
	if took := time.Since(start); took > 2*stopLimit {
		t.Errorf("the stop took %v", took)
	}
	for name, answer := range answers {
		select {
		case resp := <-answer:
			switch {
			case resp == nil:
				t.Errorf("%s got no answer", name)
			case strings.HasPrefix(name, "half") && resp.StatusCode != http.StatusServiceUnavailable,
				resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(verdict.Header) == verdict.MayHaveRun.String(),
				resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusBadGateway:
				t.Errorf("%s: status %d, %v", name, resp.StatusCode, resp.Header)
			}
		case <-time.After(waitTimeout):
			t.Errorf("%s: the connection is still open", name)
		}
	}
}

// sendText sends the text of a request. The result gets the response, or nil if the connection ends without one.
func sendText(t *testing.T, addr, text string) chan *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	answer := make(chan *http.Response, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			resp = nil
		}
		answer <- resp
	}()
	return answer
}
