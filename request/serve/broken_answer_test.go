package serve_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"quetzalknot/httpwire/wiretest"
	"quetzalknot/platform/standin"
)

// overloaded is the load report of a target with far too many requests.
var overloaded = standin.Load(4, 4000, 4)

// brokenAnswers are answers to the request r1 that no strict reader takes as such: of a request that ran, and of one that
// was not run. Each says that the target is leaving and overloaded, unless its start is passed on before it breaks.
func brokenAnswers() map[string]string {
	said := append(standin.Notice{Leaving: true, Limit: "1"}.Fields(), overloaded)
	withBody := func(answer string) string {
		return strings.Replace(answer, "Length: 0\r\n\r\n", "Length: 4\r\n\r\nfull", 1)
	}
	answers := make(map[string]string)
	for kind, valid := range map[string]string{
		"answer":      standin.Answer("r1", bodyFor("r1"), said...),
		"refusal":     withBody(standin.ShedAnswer("r1", append(said, "Retry-After: 9")...)),
		"misdirected": withBody(standin.MisdirectedAnswer("r1", "i-9", said...)),
	} {
		for name, answer := range wiretest.Broken(valid) {
			answers[kind+", "+name] = answer
		}
	}
	// The body is longer than what is held in memory.
	long := wiretest.Broken(standin.Answer("r1", strings.Repeat("a", 1<<20)))
	answers["streamed, blank in trailer name"] = long["blank in trailer name"]
	return answers
}

// TestBrokenAnswersReachNoCaller: the caller of a request that got a broken answer gets none of it, and no refusal, since the
// request may have run; what the answer says of its target does not count, and its connection is closed.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	for name, answer := range brokenAnswers() {
		for _, kind := range kinds[:2] {
			t.Run(name+"/"+kind.name, func(t *testing.T) {
				t.Parallel()
				f, _ := newLoggedFixture(t)
				broken := &brokenTarget{answer: answer, closed: make(chan struct{}, 10)}
				f.addRaw("i-1", broken.serve)
				got := f.exchange(upload(kind.path, "r1", 10))
				if got.status != http.StatusBadGateway && got.status != 0 || strings.Contains(got.body, "answer") {
					t.Errorf("status %d, header %q, body %.40q", got.status, got.header, got.body)
				}
				if n := broken.requests.Load(); n > 1 && !kind.repeatable {
					t.Errorf("%d runs", n)
				}
				for range broken.requests.Load() {
					select {
					case <-broken.closed:
					case <-time.After(waitTimeout):
						t.Error("the connection with the broken answer is still open")
					}
				}
				f.expectState("")
				if got := f.exchange(upload(kind.path, "r2", 10)); got.status != http.StatusOK || got.body != bodyFor("r2") {
					t.Errorf("the next request: status %d, %q", got.status, got.body)
				}
			})
		}
	}
}

// brokenTarget gives the same answer to each request r1 and leaves the connection open.
type brokenTarget struct {
	answer   string
	requests atomic.Int32
	// closed receives when a connection that carried such an answer is closed.
	closed chan struct{}
}

func (b *brokenTarget) serve(c *net.TCPConn, in *bufio.Reader) {
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if id := standin.ResponseID(r.Header); id != "r1" {
			_, _ = io.WriteString(c, standin.Answer(id, bodyFor(id)))
			continue
		}
		b.requests.Add(1)
		_, _ = io.WriteString(c, b.answer)
		_, _ = io.Copy(io.Discard, in)
		b.closed <- struct{}{}
		return
	}
}

// TestUnusualAnswersAreServed: answers that are seldom, and valid, are passed on.
func TestUnusualAnswersAreServed(t *testing.T) {
	whole := standin.Answer("r1", bodyFor("r1"))
	noLength := strings.Replace(whole, fmt.Sprintf("Content-Length: %d\r\n", len(bodyFor("r1"))), "", 1)
	for name, answer := range map[string]string{
		"without a length":          noLength,
		"Connection: close":         standin.Answer("r1", bodyFor("r1"), "Connection: close"),
		"several lines of a field":  standin.Answer("r1", bodyFor("r1"), "X-Note: 1", "X-Note: 2"),
		"interim answer":            "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + whole,
		"garbage behind the answer": whole + "X Note: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _ := newLoggedFixture(t)
			f.addRaw("i-1", func(c *net.TCPConn, in *bufio.Reader) {
				if r, err := http.ReadRequest(in); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, _ = io.WriteString(c, answer)
			})
			got := f.exchange(upload("/book/1", "r1", 10))
			if got.status != http.StatusOK || got.body != bodyFor("r1") {
				t.Errorf("status %d, body %q", got.status, got.body)
			}
			if notes := got.header.Values("X-Note"); strings.HasPrefix(name, "several") && len(notes) != 2 {
				t.Errorf("X-Note: %q", notes)
			}
		})
	}
}
