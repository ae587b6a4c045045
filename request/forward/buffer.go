package forward

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"quetzalknot/connection/target"
	"quetzalknot/httpwire"
)

const (
	// bufferLimit is the largest response body, in bytes, that is read completely
	// before the caller receives its first byte. Until then a broken response can still
	// be reported as a failure or retried.
	bufferLimit = 32 << 10
	// drainLimit is how many bytes of an unused response are read so that its
	// connection can be reused.
	drainLimit = 8 << 10
)

// errShed reports a response by which a target shed the request.
var errShed = errors.New("target refused the request without running it")

// bufferSmall reads a small response completely. This ends the exchange and releases
// the slot before a slow caller reads the response. Unless it returns an error, the
// caller of bufferSmall must close resp.Body.
func bufferSmall(resp *http.Response) error {
	if resp.ContentLength < 0 || resp.ContentLength > bufferLimit || resp.Request.Method == http.MethodHead {
		return nil
	}
	body := make([]byte, resp.ContentLength)
	n, err := io.ReadFull(resp.Body, body)
	if err == nil || n == 0 && err == io.EOF {
		err = expectEOF(resp.Body)
	}
	_ = resp.Body.Close()
	if err != nil {
		return err
	}
	resp.Body = io.NopCloser(bytes.NewReader(body[:n]))
	return nil
}

// bufferRefusal reads a response which says that a request was not run completely, since that holds only if the whole
// response is valid. Unless it returns an error, the caller of bufferRefusal must close resp.Body.
func bufferRefusal(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, bufferLimit+1))
	_ = resp.Body.Close()
	if err != nil {
		return err
	}
	if len(body) > bufferLimit {
		return errors.Newf("refusal of more than %d bytes", bufferLimit)
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// expectEOF reads the end of a body. Only that read makes the reader report a complete
// response.
func expectEOF(body io.Reader) error {
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

// discard drains and closes a small unused response so that its connection can be
// reused. It fails if the response turns out to be invalid.
func discard(resp *http.Response) error {
	_, err := target.Copy(io.Discard, io.LimitReader(resp.Body, drainLimit+1))
	_ = resp.Body.Close()
	if errors.Is(err, httpwire.ErrInvalid) {
		return err
	}
	return nil
}
