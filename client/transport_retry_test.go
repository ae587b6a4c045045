package client

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"quetzalknot/verdict"
	"quetzalknot/version/lookup"
)

// TestTransportRetryMayHaveRun covers an entry host that crashes after it has read a
// request on a reused connection. net/http retries such a request by itself and then fails
// to dial; that dial error must not be taken as proof that the request was not sent.
func TestTransportRetryMayHaveRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(c)
		_, _ = http.ReadRequest(in)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		_, _ = http.ReadRequest(in)
		_ = l.Close()
		_ = c.Close()
	}()
	c, err := New(Options{API: []string{"127.0.0.1:1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	send := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		req, err := http.NewRequest(http.MethodGet, "http://bokun/slots", nil)
		if err != nil {
			t.Fatal(err)
		}
		pending := &call{client: c, service: "bokun", req: req}
		resp, err := pending.attempt(ctx, lookup.Host{Name: "h1", Addr: l.Addr().String()})
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	if err := send(); err != nil {
		t.Fatal(err)
	}
	if err := send(); verdict.Of(err) != verdict.MayHaveRun {
		t.Errorf("sent on a reused connection: %v", err)
	}
}
