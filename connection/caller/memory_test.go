package caller

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkConnectionMemory measures the memory of the server for each connection: idle ones
// that have been served a request, a short one or one with a long header, and active ones with as many requests running as a
// connection may have and a full read buffer behind them. The callers keep no buffers.
func BenchmarkConnectionMemory(b *testing.B) {
	wait := func(release <-chan struct{}, running *sync.WaitGroup) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hold" {
				running.Done()
				<-release
			}
			w.Header().Set("Content-Length", "0")
		})
	}
	long := "GET /now HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 15<<10) + "\r\n\r\n"
	for _, tc := range []struct {
		name, first string
		held        int
	}{{"idle", get("/now"), 0}, {"idle after a long header", long, 0}, {"one request", get("/now"), 1}, {"full", get("/now"), maxPipelined}} {
		b.Run(tc.name, func(b *testing.B) {
			held := tc.held
			release := make(chan struct{})
			var running sync.WaitGroup
			_, addr := startServer(b, wait(release, &running))
			defer close(release)
			before := usedMemory()
			running.Add(held * b.N)
			conns := openConns(b, addr, tc.first, b.N)
			if held > 0 {
				sendAll(b, conns, held)
				running.Wait()
			}
			time.Sleep(100 * time.Millisecond) // the rest is read
			after := usedMemory()
			b.ReportMetric((float64(after.heap)-float64(before.heap))/float64(b.N), "heap-B/conn")
			b.ReportMetric((float64(after.stacks)-float64(before.stacks))/float64(b.N), "stack-B/conn")
		})
	}
}

// openConns opens connections and has one request served on each.
func openConns(b *testing.B, addr, first string, count int) []net.Conn {
	b.Helper()
	conns := make([]net.Conn, count)
	buffer := make([]byte, 4096)
	for i := range conns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = c.Close() })
		if _, err := io.WriteString(c, first); err != nil {
			b.Fatal(err)
		}
		if _, err := c.Read(buffer); err != nil {
			b.Fatal(err)
		}
		conns[i] = c
	}
	return conns
}

// sendAll sends held requests that do not end on each connection, and as many behind them if
// those are all that may run.
func sendAll(b *testing.B, conns []net.Conn, held int) {
	b.Helper()
	for _, c := range conns {
		for range held {
			if _, err := io.WriteString(c, get("/hold")); err != nil {
				b.Fatal(err)
			}
		}
		if held < maxPipelined {
			continue
		}
		for range 2 * initialHeadBuffer / len(get("/now")) {
			if _, err := io.WriteString(c, get("/now")); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// memoryUse is the memory in use, in bytes.
type memoryUse struct{ heap, stacks uint64 }

func usedMemory() memoryUse {
	runtime.GC()
	runtime.GC() // the first makes what pools hold free
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return memoryUse{heap: m.HeapAlloc, stacks: m.StackInuse}
}
