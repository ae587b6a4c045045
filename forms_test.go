package quetzalknot_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"quetzalknot/process/settings"
)

// TestForwardsUncommonHTTPForms checks that a host forwards the less common forms of HTTP
// requests and responses unchanged, except for hop-by-hop headers, which it removes.
func TestForwardsUncommonHTTPForms(t *testing.T) {
	addr := startHost(t, http.HandlerFunc(serveForms), settings.Limits{})
	cases := []struct {
		name string
		r    func() *http.Request
		want string
	}{
		{"HEAD", func() *http.Request { return newRequest("HEAD", addr, "/head", nil) }, "200 len=1234 body= trailer="},
		{"204", func() *http.Request { return newRequest("GET", addr, "/204", nil) }, "204 len=0 body= trailer="},
		{"304", func() *http.Request { return newRequest("GET", addr, "/304", nil) }, "304 len=0 body= trailer="},
		{"empty response", func() *http.Request { return newRequest("GET", addr, "/empty", nil) }, "200 len=0 body= trailer="},
		{"chunks with a trailer", func() *http.Request { return newRequest("GET", addr, "/trailer", nil) }, "200 len=-1 body=chunked trailer=sum"},
		{"early hints", func() *http.Request { return newRequest("GET", addr, "/103", nil) }, "200 len=5 body=hints trailer="},
		{"hop headers", func() *http.Request {
			r := newRequest("GET", addr, "/hop", nil)
			r.Header.Set("Connection", "X-Mine, keep-alive")
			r.Header.Set("X-Mine", "secret")
			r.Header.Set("Te", "trailers")
			r.Header.Set("X-End", "kept")
			return r
		}, "200 len=4 body=kept trailer="},
		{"chunked upload with a trailer", func() *http.Request {
			r := newRequest("POST", addr, "/upload", io.NopCloser(strings.NewReader("in chunks")))
			r.ContentLength = -1
			r.Trailer = http.Header{"Sum": {"abc"}}
			return r
		}, "200 len=13 body=in chunks/abc trailer="},
		{"bare 503", func() *http.Request { return newRequest("GET", addr, "/503", nil) }, "503 len=4 body=busy trailer="},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			resp, err := http.DefaultClient.Do(tc.r())
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			if got := describe(resp, body); got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
			if v := resp.Header.Get("Quetzal-Verdict"); v != "ran" {
				t.Errorf("verdict %q", v)
			}
		})
	}
}

func describe(resp *http.Response, body []byte) string {
	var b strings.Builder
	length := resp.ContentLength
	_, _ = io.WriteString(&b, strings.Join([]string{
		resp.Status[:3], "len=" + itoa(length), "body=" + string(body), "trailer=" + resp.Trailer.Get("Sum"),
	}, " "))
	return b.String()
}

func itoa(n int64) string {
	if n < 0 {
		return "-1"
	}
	digits := ""
	for ; n > 9; n /= 10 {
		digits = string(rune('0'+n%10)) + digits
	}
	return string(rune('0'+n)) + digits
}

func serveForms(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/head":
		w.Header().Set("Content-Length", "1234")
	case "/204":
		w.WriteHeader(http.StatusNoContent)
	case "/304":
		w.WriteHeader(http.StatusNotModified)
	case "/trailer":
		w.Header().Set("Trailer", "Sum")
		_, _ = io.WriteString(w, "chunked")
		_ = http.NewResponseController(w).Flush()
		w.Header().Set("Sum", "sum")
	case "/103":
		w.WriteHeader(http.StatusEarlyHints)
		_, _ = io.WriteString(w, "hints")
	case "/hop":
		_, _ = io.WriteString(w, r.Header.Get("X-Mine")+r.Header.Get("Te")+r.Header.Get("X-End"))
	case "/upload":
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, string(body)+"/"+r.Trailer.Get("Sum"))
	case "/503":
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "busy")
	}
}

// TestExpectContinue checks "Expect: 100-continue": the host sends 100 Continue and then forwards
// the complete body. It sends 100 Continue only once it has a free slot of the target.
func TestExpectContinue(t *testing.T) {
	addr := startHost(t, http.HandlerFunc(serveForms), settings.Limits{})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	in := bufio.NewReader(c)
	_, _ = io.WriteString(c, "POST /upload HTTP/1.1\r\nHost: paie-vault\r\nContent-Length: 200000\r\nExpect: 100-continue\r\n\r\n")
	first, err := http.ReadResponse(in, nil)
	if err != nil || first.StatusCode != http.StatusContinue {
		t.Fatalf("%v, %v", first, err)
	}
	_, _ = io.WriteString(c, strings.Repeat("x", 200_000))
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", resp, err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || len(body) != 200_001 {
		t.Errorf("%d bytes, %v", len(body), err)
	}
}
