// Package wiretest has broken responses for tests of all that reads responses.
package wiretest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

const lengthField = "Content-Length: "

// Broken returns responses that no strict reader takes as such, by what is broken. They are made of a valid one, which has a
// Content-Length as its last field and a body.
func Broken(valid string) map[string]string {
	head, rest, _ := strings.Cut(valid, lengthField)
	length, body, _ := strings.Cut(rest, "\r\n\r\n")
	statusLine, fields, _ := strings.Cut(head, "\r\n")
	withLine := func(line string) string { return head + line + "\r\n" + lengthField + rest }
	chunked := head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(body), body)
	responses := map[string]string{
		"interim status 000":     "HTTP/1.1 000 Nothing\r\n\r\n" + valid,
		"interim status 099":     "HTTP/1.1 099 Low\r\n\r\n" + valid,
		"blank in interim name":  "HTTP/1.1 103 Early Hints\r\nA B: 1\r\n\r\n" + valid,
		"blank in a name":        withLine("A B: 1"),
		"blank before a colon":   withLine("A : 1"),
		"tab before a colon":     withLine("A\t: 1"),
		"blank before a length":  head + "Content-Length : " + rest,
		"blank before a name":    withLine(" A: 1"),
		"control byte in a name": withLine("A\x01B: 1"),
		"NUL in a value":         withLine("A: \x00"),
		"folded line":            withLine("A: 1\r\n 2"),
		"length and chunks":      strings.Replace(chunked, "Transfer-Encoding", lengthField+length+"\r\nTransfer-Encoding", 1) + "\r\n",
		"blank in trailer name":  chunked + "A B: 1\r\n\r\n",
		"length in a trailer":    chunked + lengthField + length + "\r\n\r\n",
		"NUL in chunk extension": strings.Replace(chunked, "\r\n"+body, ";\x00\r\n"+body, 1) + "\r\n",
	}
	for _, status := range []string{"000 Nothing", "099 Low", "600 High", "999 High"} {
		responses["status "+status[:3]] = "HTTP/1.1 " + status + "\r\n" + fields + lengthField + rest
	}
	responses["version 2"] = strings.Replace(statusLine, "HTTP/1.1", "HTTP/2.0", 1) + "\r\n" + fields + lengthField + rest
	return responses
}

// Always returns a function for Serve that responds to each request with the same bytes.
func Always(response string) func(*http.Request) string {
	return func(*http.Request) string { return response }
}

// Serve starts a server that responds to each request with the bytes that respond returns, and leaves its connections open.
// It returns its address.
func Serve(t testing.TB, respond func(r *http.Request) string) string {
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
			go respondAll(c, respond)
		}
	}()
	return l.Addr().String()
}

func respondAll(c net.Conn, respond func(r *http.Request) string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := io.WriteString(c, respond(r)); err != nil {
			return
		}
	}
}
