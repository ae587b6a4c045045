package memory

import (
	"cmp"
	"io"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// minStall is how long a connection must have made no progress before it may be ended. Callers that send or read at
	// the rate of a common link pause for less.
	minStall = 250 * time.Millisecond
	// progressBytes is how many bytes count as progress. Fewer, as from a caller that sends a byte at a time, do not.
	progressBytes = 16 << 10
	// searchInterval is the time between two searches for stalled connections while there are none, so that
	// a flood of connections does not cause a search each.
	searchInterval = 10 * time.Millisecond
	// spareShare is the part of the limit, as a divisor, that a search frees beyond what was asked for.
	spareShare = 32
	// writePiece is the largest number of bytes that are written at once, so that progress is noticed.
	writePiece = 64 << 10
)

// started is the origin of the times of progress, which are durations on the monotonic clock.
var started = time.Now()

// direction is the progress of a connection in one direction.
type direction struct {
	// waitStart is when the read or write began that waits for the caller, 0 if none does.
	waitStart atomic.Int64
	// waited is the time of earlier waits since the last progress, and moved the bytes of these.
	waited, moved atomic.Int64
}

func (d *direction) progress() {
	d.waited.Store(0)
	d.moved.Store(0)
}

// begin and end surround a read or write.
func (d *direction) begin() { d.waitStart.Store(int64(time.Since(started))) }

func (d *direction) end(n int) {
	d.waited.Add(int64(time.Since(started)) - d.waitStart.Swap(0))
	if d.moved.Add(int64(n)) >= progressBytes {
		d.progress()
	}
}

// stall returns how long the connection has waited for its caller without progress; 0 if it does not wait.
func (d *direction) stall(now time.Duration) time.Duration {
	start := d.waitStart.Load()
	if start == 0 {
		return 0
	}
	return now - time.Duration(start) + time.Duration(d.waited.Load())
}

// Progressed records that a request was read or answered.
func (h *Holder) Progressed() {
	if h == nil {
		return
	}
	h.read.progress()
	h.write.progress()
	// A wait that began earlier counts from now on.
	if start := h.read.waitStart.Load(); start != 0 {
		h.read.waitStart.CompareAndSwap(start, int64(time.Since(started)))
	}
}

// Run records that a handler has begun or, with -1, has ended or waits for the caller to send. While one runs, the
// connection is not ended because its caller sends nothing.
func (h *Holder) Run(n int32) {
	if h != nil {
		h.running.Add(n)
	}
}

// Reader returns a reader that records the progress of reads from a connection.
func (h *Holder) Reader(r io.Reader) io.Reader {
	if h == nil {
		return r
	}
	return readerFunc(func(p []byte) (int, error) {
		h.read.begin()
		n, err := r.Read(p)
		h.read.end(n)
		return n, err
	})
}

type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Writer returns a writer that records the progress of writes to a connection.
func (h *Holder) Writer(w io.Writer) io.Writer {
	if h == nil {
		return w
	}
	return writerFunc(func(p []byte) (int, error) {
		written := 0
		for {
			piece := p[written:min(len(p), written+writePiece)]
			h.write.begin()
			n, err := w.Write(piece)
			h.write.end(n)
			written += n
			if err != nil || written == len(p) {
				return written, err
			}
		}
	})
}

type writerFunc func([]byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// stall returns how long the connection has waited for its caller without progress; 0 if it does not wait.
func (h *Holder) stall(now time.Duration) time.Duration {
	if stall := h.write.stall(now); stall > 0 || h.running.Load() > 0 {
		return stall
	}
	return h.read.stall(now)
}

// Ended describes connections that were ended.
type Ended struct {
	Conns int
	Bytes int64
	// Caller, Held and Stall are those of the connection with the most bytes for the least progress.
	Caller string
	Held   int64
	Stall  time.Duration
}

// stalled is a connection that may be ended.
type stalled struct {
	holder *Holder
	held   int64
	stall  time.Duration
}

// cost is what a connection holds for how long without progress.
func (s stalled) cost() float64 { return float64(s.held) * s.stall.Seconds() }

// endStalled ends stalled connections that hold as many bytes and descriptors as are needed, and some more.
// It returns false if there are none.
func (a *Account) endStalled(bytes, descriptors int64) bool {
	ended, candidates := a.chooseStalled(bytes, descriptors)
	for _, s := range candidates {
		s.holder.end()
	}
	if ended.Conns == 0 {
		return false
	}
	a.endedConns.Add(int64(ended.Conns))
	a.endedBytes.Add(ended.Bytes)
	if a.OnEnd != nil {
		a.OnEnd(ended)
	}
	return true
}

// chooseStalled returns the connections to end, those of the highest cost first, and marks them.
func (a *Account) chooseStalled(bytes, descriptors int64) (Ended, []stalled) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.searchedAt) < searchInterval {
		return Ended{}, nil
	}
	now := time.Since(started)
	var found []stalled
	for h := range a.holders {
		if stall := h.stall(now); stall >= minStall && !h.ended.Load() {
			found = append(found, stalled{h, h.held.Load(), stall})
		}
	}
	if len(found) == 0 {
		a.searchedAt = time.Now()
		return Ended{}, nil
	}
	slices.SortFunc(found, func(x, y stalled) int { return cmp.Compare(y.cost(), x.cost()) })
	if bytes > 0 {
		bytes += a.limits.Bytes / spareShare
	}
	if descriptors > 0 {
		descriptors += a.limits.Descriptors / spareShare
	}
	ended := Ended{Caller: found[0].holder.name, Held: found[0].held, Stall: found[0].stall}
	for _, s := range found {
		if ended.Bytes >= bytes && int64(ended.Conns) >= descriptors {
			break
		}
		s.holder.ended.Store(true)
		ended.Conns++
		ended.Bytes += s.held
	}
	return ended, found[:ended.Conns]
}
