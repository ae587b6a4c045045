package httpwire

import "testing"

// BenchmarkCheck checks a response of about 300 bytes.
func BenchmarkCheck(b *testing.B) {
	response := []byte("HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 04:00:00 GMT\r\nContent-Type: application/json\r\n" +
		"Quetzal-Request-Id: 9c41d07be2a35f68\r\nX-Response-Tag: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Load-Info: 3,0,8,100\r\n" +
		"Keep-Alive: timeout=30\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nContent-Length: 0\r\n\r\n")
	var c Checker
	b.ReportAllocs()
	for b.Loop() {
		c.Expect("GET")
		if _, err := c.Check(response); err != nil {
			b.Fatal(err)
		}
	}
}
