package serve_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// TestKeptConnections: callers that keep their connections and send proper requests of all
// kinds, whole, in pieces, ahead of the response and after a pause, must get a response of a
// target for each, and must not lose the connection.
func TestKeptConnections(t *testing.T) {
	const callers, rounds, targets = 16, 40, 8
	f := newFixture(t)
	f.apply(nil)
	for i := range targets {
		f.addTarget(fmt.Sprint("i-", i), standin.Good, time.Duration(i%3)*100*time.Microsecond)
	}
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			k := newKeptCaller(t, f.addr, rand.New(rand.NewPCG(seed, uint64(i))))
			for round := 0; round < rounds && k.run(fmt.Sprint(i, "-", round)); round++ {
			}
		})
	}
	running.Wait()
}

// keptCaller sends requests on one connection.
type keptCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
	random *rand.Rand
}

func newKeptCaller(t *testing.T, addr string, random *rand.Rand) *keptCaller {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return nil
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &keptCaller{t: t, conn: conn, reader: bufio.NewReader(conn), random: random}
}

// run sends a few requests without waiting between them and checks their responses. It
// returns false after a failure.
func (k *keptCaller) run(name string) bool {
	if k == nil {
		return false
	}
	_ = k.conn.SetDeadline(time.Now().Add(waitTimeout))
	ahead := 1 + k.random.IntN(4)
	var text strings.Builder
	for i := range ahead {
		text.WriteString(k.request(fmt.Sprint(name, "-", i)))
	}
	go k.send(text.String(), 1+k.random.IntN(text.Len()), time.Duration(k.random.IntN(300))*time.Microsecond)
	for i := range ahead {
		resp, err := http.ReadResponse(k.reader, nil)
		if err != nil {
			k.t.Errorf("%s-%d of %d: %v, sent %.300q", name, i, ahead, err, text.String())
			return false
		}
		body, err := io.ReadAll(resp.Body)
		id := standin.ResponseID(resp.Header)
		if resp.StatusCode != http.StatusOK || string(body) != standin.Body || err != nil || resp.Close || id != fmt.Sprint(name, "-", i) {
			k.t.Errorf("%s-%d of %d: status %d for %q, closes %v, %v, sent %.300q", name, i, ahead, resp.StatusCode, id, resp.Close, err, text.String())
			return false
		}
	}
	return true
}

// request returns the text of a random proper request.
func (k *keptCaller) request(id string) string {
	body := strings.Repeat("x", []int{1, 100, 5000, 100_000}[k.random.IntN(4)])
	path := []string{"/search/1", "/book/1"}[k.random.IntN(2)]
	fields := []string{"A: " + strings.Repeat("a", k.random.IntN(6000))}
	switch k.random.IntN(4) {
	case 0:
		return standin.Head("POST", path, id, "3000", append(fields, fmt.Sprint("Content-Length: ", len(body)))...) + body
	case 1:
		return standin.Head("PUT", path, id, "3000", append(fields, "Transfer-Encoding: chunked")...) + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	default:
		return standin.Head("GET", path, id, "3000", fields...)
	}
}

// send writes text in pieces of a size, with pauses between the first few.
func (k *keptCaller) send(text string, size int, pause time.Duration) {
	for i := 0; len(text) > 0; i++ {
		n := min(size, len(text))
		if _, err := io.WriteString(k.conn, text[:n]); err != nil {
			return // the responses show it
		}
		text = text[n:]
		if i < 10 {
			time.Sleep(pause)
		}
	}
}
