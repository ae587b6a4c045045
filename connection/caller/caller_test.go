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

// slowReader returns one byte after each pause, until none is left.
type slowReader struct {
	pause time.Duration
	left  int
}

func (r *slowReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	r.left--
	p[0] = 'x'
	return 1, nil
}

func (r *slowReader) Close() error { return nil }

// TestTransferRateLimit guards against callers that hold a connection by sending one byte
// at a time.
func TestTransferRateLimit(t *testing.T) {
	limits := Limits{BodyBytes: 1000, StallTimeout: 10 * time.Second, BytesPerSecond: 10}
	cases := []struct {
		name  string
		pause time.Duration
		bytes int
		want  error
		took  time.Duration
	}{
		{"fast enough", 50 * time.Millisecond, 900, nil, 45 * time.Second},
		{"slow but short", time.Second, 9, nil, 9 * time.Second},
		{"slow and long", time.Second, 900, ErrTooSlow, 12 * time.Second},
		{"too large", time.Millisecond, 1001, ErrTooLarge, 1001 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				b := NewBody(&slowReader{pause: tc.pause, left: tc.bytes}, http.NewResponseController(httptest.NewRecorder()), limits)
				n, err := io.Copy(io.Discard, b)
				if !errors.Is(err, tc.want) || time.Since(started) != tc.took {
					t.Errorf("%d bytes, %v after %v; want %v after %v", n, err, time.Since(started), tc.want, tc.took)
				}
			})
		})
	}
}

// TestRewind checks that a buffered body can always be read again, and any other only
// before its first byte is read.
func TestRewind(t *testing.T) {
	limits := Limits{BodyBytes: 1000, StallTimeout: time.Minute, BytesPerSecond: 1}
	for _, buffered := range []bool{true, false} {
		b := NewBody(io.NopCloser(strings.NewReader("a skip")), http.NewResponseController(httptest.NewRecorder()), limits)
		if buffered {
			if err := b.Buffer(10); err != nil {
				t.Fatal(err)
			}
		}
		if !b.Rewind() {
			t.Errorf("buffered=%v: a body that was not read cannot be rewound", buffered)
		}
		for i := range 2 {
			text, err := io.ReadAll(b)
			if err != nil || (string(text) != "a skip" && (buffered || i == 0)) {
				t.Errorf("buffered=%v, reading %d: %q, %v", buffered, i, text, err)
			}
			if b.Rewind() != buffered {
				t.Errorf("buffered=%v, after reading %d: Rewind gives %v", buffered, i, !buffered)
			}
		}
	}
	b := NewBody(io.NopCloser(strings.NewReader("a skip")), http.NewResponseController(httptest.NewRecorder()), limits)
	if err := b.Buffer(3); !errors.Is(err, ErrTooLarge) {
		t.Errorf("buffered a body over the limit: %v", err)
	}
}
