package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"quetzalknot/process/metrics"
	"quetzalknot/process/settings"
	"quetzalknot/process/share"
)

const (
	linkBits  = 300_000_000
	linkBytes = linkBits / 8
)

var (
	toQC      = Direction{From: "mtl", To: "qc"}
	testLinks = settings.Links{MinHosts: 1, Pairs: []settings.LinkPair{{A: "mtl", B: "qc", BitsPerSecond: linkBits}}}
)

// newHosts returns the budgets of n hosts; the first stale ones have no usable view.
func newHosts(n, stale int, now time.Time) []*Links {
	var live []share.Host
	for i := range n {
		live = append(live, share.Host{Name: fmt.Sprint("h", i), Region: []string{"mtl", "qc"}[i%2]})
	}
	var hosts []*Links
	for i := range n {
		view := share.NewView()
		for age := share.Handover; i >= stale && age >= 0; age -= share.ViewTerm {
			view.Observe(now.Add(-age), live[i].Name, live)
		}
		if i < stale {
			view.Observe(now, live[i].Name, live)
		}
		hosts = append(hosts, New(&testLinks, view, metrics.NewSet()))
	}
	return hosts
}

// TestSumOfAllHostsStaysWithinTheLink: all hosts together must stay within the link's
// capacity when each sends long bodies as fast as it may, with short exchanges between
// them, in any order.
func TestSumOfAllHostsStaysWithinTheLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		n := rapid.IntRange(1, 7).Draw(t, "hosts")
		hosts := newHosts(n, rapid.IntRange(0, n).Draw(t, "stale"), start)
		freeAt := make([]time.Time, n)
		now := start
		sent, bursts, rates := 0, 0, 0.0
		for i, h := range hosts {
			hostShare, _ := h.Rate(toQC, now)
			rates += hostShare
			bursts += burstOf(hostShare)
			freeAt[i] = now
		}
		if rates > linkBytes {
			t.Fatalf("shares sum to %v of %v bytes per second", rates, float64(linkBytes))
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "host")
			for range rapid.IntRange(1, 40).Draw(t, "chunks") {
				if now.Before(freeAt[i]) {
					break
				}
				if wait := hosts[i].Charge(toQC, chunkBytes, now); wait > 0 {
					freeAt[i] = now.Add(wait)
				}
				sent += chunkBytes
			}
			// A waiting chunk is charged before it is sent.
			limit := float64(linkBytes)*now.Sub(start).Seconds() + float64(bursts+n*chunkBytes)
			if float64(sent) > limit {
				t.Fatalf("%d bytes after %s, limit %v", sent, now.Sub(start), limit)
			}
		}
	})
}

// TestShortExchangesAreCharged: bytes of short exchanges, which are sent without waiting,
// must be charged. A long body then waits, and HasCapacity is false until the budget has
// recovered.
func TestShortExchangesAreCharged(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newHosts(1, 0, now)[0]
	if !h.HasCapacity(toQC, now) || !h.HasCapacity(Direction{"mtl", "gat"}, now) {
		t.Fatal("an unused link allows no requests")
	}
	before := h.Charge(toQC, chunkBytes, now)
	for range 400 {
		h.Charge(toQC, chunkBytes, now)
	}
	if after := h.Charge(toQC, chunkBytes, now); before != 0 || after < 300*time.Millisecond || h.HasCapacity(toQC, now) {
		t.Fatalf("waits %s and %s, requests allowed: %t", before, after, h.HasCapacity(toQC, now))
	}
	if later := now.Add(time.Second); !h.HasCapacity(toQC, later) {
		t.Fatal("the overdrawn budget has not recovered after 1 s")
	}
}

// newPacedPipe returns a paced connection whose other end discards the data.
func newPacedPipe(t *testing.T, l *Links) net.Conn {
	local, remote := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	dial := l.PacedDial("mtl", func(string) string { return "qc" }, func(context.Context, string, string) (net.Conn, error) { return local, nil })
	conn, err := dial(t.Context(), "tcp", "192.0.2.1:80")
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func TestLongUploadIsPacedAndAShortRequestIsNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newHosts(1, 0, time.Now())[0]
		long, short := newPacedPipe(t, l), newPacedPipe(t, l)
		start := time.Now()
		const size = 4 << 20
		done := make(chan time.Duration)
		go func() {
			_, _ = long.Write(make([]byte, size))
			done <- time.Since(start)
		}()
		time.Sleep(50 * time.Millisecond)
		at := time.Now()
		if _, err := short.Write(make([]byte, 1000)); err != nil || time.Since(at) != 0 {
			t.Fatalf("short request waited %s, error %v", time.Since(at), err)
		}
		rateOfHost, _ := l.Rate(toQC, start)
		took := <-done
		want := time.Duration((size - float64(burstOf(rateOfHost))) / rateOfHost * float64(time.Second))
		if took < want || took > want+10*time.Millisecond {
			t.Fatalf("upload took %s, want %s", took, want)
		}
		_ = long.Close()
		_ = short.Close()
	})
}

func TestWaitingUploadEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := newPacedPipe(t, newHosts(1, 1, time.Now())[0])
		time.AfterFunc(time.Second, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
		start := time.Now()
		_, err := conn.Write(make([]byte, 64<<20))
		if !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(start) > time.Second+2*waitPollInterval {
			t.Fatalf("error = %v after %s", err, time.Since(start))
		}
		_ = conn.Close()
	})
}
