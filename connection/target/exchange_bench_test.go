package target

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
)

// BenchmarkExchange sends requests without a body, one after the other, to a target on the loopback interface and reads
// the responses: with a length, in chunks with a trailer, and with a long body.
func BenchmarkExchange(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 04:00:00 GMT\r\nContent-Type: application/json\r\n" +
		"Quetzal-Request-Id: 9c41d07be2a35f68\r\nX-Response-Tag: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Load-Info: 3,0,8,100\r\n" +
		"Keep-Alive: timeout=30\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
	body, long := strings.Repeat("b", 200), strings.Repeat("b", 64<<10)
	for _, tc := range []struct{ name, response string }{
		{"length", head + "Content-Length: 200\r\n\r\n" + body},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("c8\r\n"+body+"\r\n", 4) + "0\r\nSum: 1\r\n\r\n"},
		{"64KiB", head + "Content-Length: 65536\r\n\r\n" + long},
	} {
		b.Run(tc.name, func(b *testing.B) { benchmarkExchange(b, tc.response) })
	}
}

func benchmarkExchange(b *testing.B, response string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go serveConstant(l, response)
	pool := NewPool(nil)
	b.Cleanup(pool.Close)
	b.ReportAllocs()
	for b.Loop() {
		if err := exchangeAndRead(b.Context(), pool, &Call{Addr: l.Addr().String(), Request: newRequest("GET", "")}); err != nil {
			b.Fatal(err)
		}
	}
}

// serveConstant responds to each request on one connection with the same bytes.
func serveConstant(l net.Listener, response string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	for in := bufio.NewReader(c); ; {
		line, err := in.ReadSlice('\n')
		if err == nil && len(line) == len("\r\n") {
			_, err = io.WriteString(c, response)
		}
		if err != nil {
			return
		}
	}
}
