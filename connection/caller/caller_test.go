package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// trickle gives one byte after each pause, and counts them.
type trickle struct {
	pause time.Duration
	left  int
}

func (r *trickle) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	r.left--
	p[0] = 'x'
	return 1, nil
}

func (r *trickle) Close() error { return nil }

// TestPace lets callers send one byte at a time and bounds how long that may go on.
func TestPace(t *testing.T) {
	limits := Limits{BodyBytes: 1000, Stall: 10 * time.Second, BytesPerSecond: 10}
	cases := []struct {
		name  string
		pause time.Duration
		bytes int
		want  error
		took  time.Duration
	}{
		{"fast enough", 50 * time.Millisecond, 900, nil, 45 * time.Second},
		{"slow but soon done", time.Second, 9, nil, 9 * time.Second},
		{"slow for long", time.Second, 900, ErrTooSlow, 12 * time.Second},
		{"too large", time.Millisecond, 1001, ErrTooLarge, 1001 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				b := NewBody(&trickle{pause: tc.pause, left: tc.bytes}, http.NewResponseController(httptest.NewRecorder()), limits)
				n, err := io.Copy(io.Discard, b)
				if !errors.Is(err, tc.want) || time.Since(started) != tc.took {
					t.Errorf("%d bytes, %v after %v; want %v after %v", n, err, time.Since(started), tc.want, tc.took)
				}
			})
		})
	}
}

// TestRewind reads a body again: always when it is held, else only before its first byte.
func TestRewind(t *testing.T) {
	limits := Limits{BodyBytes: 1000, Stall: time.Minute, BytesPerSecond: 1}
	for _, held := range []bool{true, false} {
		b := NewBody(io.NopCloser(strings.NewReader("a skip")), http.NewResponseController(httptest.NewRecorder()), limits)
		if held {
			if err := b.Hold(10); err != nil {
				t.Fatal(err)
			}
		}
		if !b.Rewind() {
			t.Errorf("held=%v: an untouched body can not be read", held)
		}
		for i := range 2 {
			text, err := io.ReadAll(b)
			if err != nil || (string(text) != "a skip" && (held || i == 0)) {
				t.Errorf("held=%v, reading %d: %q, %v", held, i, text, err)
			}
			if b.Rewind() != held {
				t.Errorf("held=%v, after reading %d: Rewind gives %v", held, i, !held)
			}
		}
	}
	b := NewBody(io.NopCloser(strings.NewReader("a skip")), http.NewResponseController(httptest.NewRecorder()), limits)
	if err := b.Hold(3); !errors.Is(err, ErrTooLarge) {
		t.Errorf("held over the limit: %v", err)
	}
}
