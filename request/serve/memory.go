package serve

import (
	"io"
	"net/http"
	"slices"
	"time"

	"quetzalknot/process/memory"
)

const (
	// requestBytes is what a request takes besides its head and long bodies: its structures, stacks, the buffers of the
	// connection to its target, and firstPiece of its body and of its response.
	requestBytes = 24 << 10
	// firstPiece and lastPiece are the sizes of the first and the largest buffer of a body of unknown length.
	firstPiece = 4 << 10
	lastPiece  = 64 << 10
	// streamPiece is the size of the buffer for streaming a response, firstPiece when memory is short.
	streamPiece = 32 << 10
	// slowRead is how long the rest of a response may remain unread before the target may give it up.
	slowRead = time.Second
)

// bodyBuffer reads a body into memory that is drawn from the account.
type bodyBuffer struct {
	holder *memory.Holder
	// optional is true if reading may stop when the account is short, since the rest can be streamed.
	optional bool
	// taken is what was drawn, base the part of it that is not for the body.
	taken, base int64
}

// take draws bytes; it returns false if reading is to stop, with an error unless that is optional.
func (b *bodyBuffer) take(n int64) (bool, error) {
	if b.optional {
		if !b.holder.TakeOptional(n) {
			return false, nil
		}
	} else if err := b.holder.Take(n); err != nil {
		return false, err
	}
	b.taken += n
	return true, nil
}

func (b *bodyBuffer) release(n int64) {
	b.holder.Release(n)
	b.taken -= n
}

// read reads at most limit bytes of a body whose length is known or -1. complete is false if the body may have more
// bytes than were read.
func (b *bodyBuffer) read(src io.Reader, length, limit int64) (data []byte, complete bool, err error) {
	if length < 0 {
		return b.readPieces(src, limit)
	}
	size := min(length, limit-1) + 1 // one more, in which the end of the body is noticed
	if size > firstPiece {
		if ok, err := b.take(size); err != nil {
			return nil, false, err
		} else if !ok {
			return b.readPieces(src, limit)
		}
	}
	return readPiece(src, make([]byte, 0, size))
}

// readPiece fills a buffer. complete is true if the body has ended.
func readPiece(src io.Reader, piece []byte) (data []byte, complete bool, err error) {
	for len(piece) < cap(piece) {
		n, err := src.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		if err == io.EOF {
			return piece, true, nil
		}
		if err != nil {
			return piece, false, err
		}
	}
	return piece, false, nil
}

// readPieces reads into buffers of increasing size, which are copied once. The memory of the copy is drawn with that of
// each buffer, so that a body that was read does not fail for lack of it.
func (b *bodyBuffer) readPieces(src io.Reader, limit int64) ([]byte, bool, error) {
	var pieces [][]byte
	total, complete := int64(0), false
	for size := int64(firstPiece); total < limit && !complete; size = min(2*size, lastPiece) {
		size = min(size, limit-total)
		if total > 0 {
			if ok, err := b.take(2 * size); err != nil {
				return nil, false, err
			} else if !ok {
				break
			}
		}
		piece, ended, err := readPiece(src, make([]byte, 0, size))
		if err != nil {
			return nil, false, err
		}
		pieces, total, complete = append(pieces, piece), total+int64(len(piece)), ended
	}
	if len(pieces) == 1 {
		return pieces[0], complete, nil
	}
	data := slices.Concat(pieces...)
	b.release(max(0, b.taken-b.base-total))
	return data, complete, nil
}

// takeMemory draws what any request takes. It returns false when it has sent the final response.
func (q *request) takeMemory() bool {
	q.requestBody.holder = memory.FromContext(q.r.Context())
	q.responseBody = bodyBuffer{holder: q.requestBody.holder, optional: true}
	if err := q.requestBody.holder.Take(requestBytes); err != nil {
		return q.refuse(http.StatusServiceUnavailable, err)
	}
	q.requestBody.taken, q.requestBody.base = requestBytes, requestBytes
	return true
}

// releaseMemory gives back what the request holds.
func (q *request) releaseMemory() {
	q.responseBody.release(q.responseBody.taken)
	q.requestBody.release(q.requestBody.taken)
}

// discardResponse gives up a response that is not relayed.
func (q *request) discardResponse(res result) {
	if res.remaining != nil {
		_ = res.remaining.Close()
	}
	q.responseBody.release(q.responseBody.taken)
}

// readResponseBody reads a response into memory. complete is false if the rest is to be streamed, because
// the response is large or memory is short.
func (q *request) readResponseBody(resp *http.Response) (data []byte, complete bool, err error) {
	length := resp.ContentLength
	if q.r.Method == http.MethodHead || !bodyAllowed(resp.StatusCode) {
		length = 0 // the length is that of another response
	}
	return q.responseBody.read(resp.Body, length, maxBufferedResponse+1)
}

// copyResponse copies the rest of a response to the caller.
func (q *request) copyResponse(remaining io.Reader) error {
	q.responseBody.release(q.responseBody.taken) // what was read so far has been written
	size := int64(firstPiece)
	if q.responseBody.holder.TakeOptional(streamPiece) {
		q.responseBody.taken += streamPiece
		size = streamPiece
	}
	_, err := io.CopyBuffer(q.w, remaining, make([]byte, size))
	return err
}

// noteRead notices when the response was left unread. A target may end a response that nobody reads for seconds, which
// is not a sign of a crash.
func (b *watchedBody) noteRead() {
	if time.Since(b.readAt) >= slowRead {
		b.slow = true
	}
}
