package quetzalknot_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"quetzalknot/process/settings"
)

// benchPath is a network path from a caller to the target, with the total cost of the
// requests sent on it.
type benchPath struct {
	addr   string
	took   time.Duration
	cpu    time.Duration
	allocs uint64
	heap   uint64
}

// BenchmarkPath sends requests to a target directly and through a host, alternating within
// one run, and reports the cost of each and the overhead that the host adds.
func BenchmarkPath(b *testing.B) {
	for _, size := range []struct {
		name  string
		bytes int
	}{{"small", 0}, {"upload10MB", 10 << 20}} {
		b.Run(size.name, func(b *testing.B) { benchmarkPath(b, size.bytes) })
	}
}

// requestsPerTurn is the number of requests sent on one path before switching to the other.
const requestsPerTurn = 20

func benchmarkPath(b *testing.B, size int) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
	})
	forwarded := &benchPath{addr: startHost(b, handler, settings.Limits{})}
	direct := &benchPath{addr: startTarget(b, handler)}
	client := &http.Client{Transport: &http.Transport{}}
	body := make([]byte, size)
	paths := []*benchPath{direct, forwarded}
	for _, p := range paths {
		p.send(b, client, body)
		*p = benchPath{addr: p.addr}
	}
	requests := 0
	for b.Loop() {
		for _, p := range paths {
			p.measure(func() {
				for range requestsPerTurn {
					p.send(b, client, body)
				}
			})
		}
		requests += requestsPerTurn
	}
	n := float64(requests)
	micros := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 / n }
	b.ReportMetric(micros(direct.took), "direct-us")
	b.ReportMetric(micros(forwarded.took), "forwarded-us")
	b.ReportMetric(micros(forwarded.took-direct.took), "added-us")
	b.ReportMetric(micros(forwarded.cpu-direct.cpu), "added-cpu-us")
	b.ReportMetric(float64(forwarded.allocs-direct.allocs)/n, "added-allocs")
	b.ReportMetric(float64(forwarded.heap-direct.heap)/n, "added-heap-B")
}

func startTarget(b *testing.B, handler http.Handler) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func (p *benchPath) send(b *testing.B, client *http.Client, body []byte) {
	method, reader := "GET", io.Reader(nil)
	if len(body) > 0 {
		method, reader = "POST", bytes.NewReader(body)
	}
	resp, err := client.Do(newRequest(method, p.addr, "/slots", reader))
	if err != nil {
		b.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func (p *benchPath) measure(run func()) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, start := cpuTime(), time.Now()
	run()
	p.took += time.Since(start)
	p.cpu += cpuTime() - cpu
	runtime.ReadMemStats(&after)
	p.allocs += after.Mallocs - before.Mallocs
	p.heap += after.TotalAlloc - before.TotalAlloc
}

// cpuTime returns the CPU time that the process has used so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
