package forward

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"quetzalknot/connection/target"
)

const (
	// holdLimit is the largest answer, in bytes, that is read whole before its
	// caller gets the first byte of it. Until then a break can be told, or retried.
	holdLimit = 32 << 10
	// discardLimit is how much of an unwanted answer is read to keep its connection.
	discardLimit = 8 << 10
)

// errShed reports an answer by which a target refused a request.
var errShed = errors.New("target refused the request without running it")

// holdSmall reads a short answer whole, which ends its exchange and gives the slot
// back before a slow caller reads it. The caller closes resp.Body in any case but error.
func holdSmall(resp *http.Response) error {
	if resp.ContentLength < 0 || resp.ContentLength > holdLimit || resp.Request.Method == http.MethodHead {
		return nil
	}
	body := make([]byte, resp.ContentLength)
	n, err := io.ReadFull(resp.Body, body)
	if err == nil || n == 0 && err == io.EOF {
		err = atEnd(resp.Body)
	}
	_ = resp.Body.Close()
	if err != nil {
		return err
	}
	resp.Body = io.NopCloser(bytes.NewReader(body[:n]))
	return nil
}

// atEnd reads the end of a body. Its reader reports the whole answer only there.
func atEnd(body io.Reader) error {
	var one [1]byte
	n, err := body.Read(one[:])
	if n == 0 && err == io.EOF {
		return nil
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// discard reads a short unwanted answer so that its connection can be used again.
func discard(resp *http.Response) {
	_, _ = target.Copy(io.Discard, io.LimitReader(resp.Body, discardLimit+1))
	_ = resp.Body.Close()
}
