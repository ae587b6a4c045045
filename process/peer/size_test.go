package peer

import (
	"sync"
	"testing"
)

// TestMessageSizesAddUp: the sizes of calls and replies by method must add up to the bytes of
// the connection, apart from the hellos at its start.
func TestMessageSizesAddUp(t *testing.T) {
	s := NewServer(nil)
	if err := s.Register("Echo", echo{}); err != nil {
		t.Fatal(err)
	}
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	pool := NewClientPool(nil, nil)
	defer pool.Close()
	var mu sync.Mutex
	sizes := make(map[string]MessageSize)
	pool.OnMessage = func(addr, method string, m MessageSize) {
		mu.Lock()
		defer mu.Unlock()
		if addr != s.Addr() {
			t.Errorf("a message of %s, want %s", addr, s.Addr())
		}
		total := sizes[method]
		sizes[method] = MessageSize{total.Sent + m.Sent, total.Received + m.Received}
	}
	call := func(text string) {
		t.Helper()
		var reply string
		if err := pool.Call(t.Context(), s.Addr(), "Echo.Same", text, &reply); err != nil || reply != text {
			t.Fatalf("reply %q, %v", reply, err)
		}
	}
	call("first")
	before := MessageSize{int(pool.Traffic.BytesSent.Load()), int(pool.Traffic.BytesReceived.Load())}
	mu.Lock()
	first := sizes["Echo.Same"]
	mu.Unlock()
	for range 10 {
		call("a longer text than the first")
	}
	mu.Lock()
	defer mu.Unlock()
	got := MessageSize{sizes["Echo.Same"].Sent - first.Sent, sizes["Echo.Same"].Received - first.Received}
	want := MessageSize{int(pool.Traffic.BytesSent.Load()) - before.Sent, int(pool.Traffic.BytesReceived.Load()) - before.Received}
	if got != want || got.Sent == 0 || got.Received == 0 || len(sizes) != 1 {
		t.Errorf("sizes %+v, the connection carried %+v; methods %v", got, want, sizes)
	}
}

// echo is a service that returns its argument.
type echo struct{}

// Same returns text.
func (echo) Same(text string, reply *string) error {
	*reply = text
	return nil
}
