package caller

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"quetzalknot/httpwire"
	"quetzalknot/process/memory"
)

var (
	errHeadTooLarge = errors.New("request header is too large")
	errMalformed    = errors.New("malformed request")
	errVersion      = errors.New("unsupported protocol version")
)

// initialHeadBuffer is the size in bytes of a connection's read buffer until a request
// header needs more.
const initialHeadBuffer = 4 << 10

// headReader reads request headers from a connection. It checks each header as bytes
// before it is parsed, so that a request with more than one reading is never passed on.
type headReader struct {
	conn io.Reader
	// source gives the bytes of conn, after those that grow took from an earlier buffer.
	source io.Reader
	buffer *bufio.Reader
	// initial is the size in bytes of the buffer between requests.
	initial int
	// limit is the largest header in bytes.
	limit int
	// holder gives the memory of buffers above the initial size, taken is what they take.
	holder *memory.Holder
	taken  int64
}

func newHeadReader(conn io.Reader, limit int) *headReader {
	h := &headReader{conn: conn, initial: min(initialHeadBuffer, limit), limit: limit}
	h.reset()
	return h
}

// reset replaces the buffer, which must be empty, by one of the initial size.
func (h *headReader) reset() {
	h.source = h.conn
	h.buffer = bufio.NewReaderSize(h.conn, h.initial)
	h.holder.Release(h.taken)
	h.taken = 0
}

// awaitByte waits until at least one byte more than the buffered ones has arrived. When the
// buffer is full it returns bufio.ErrBufferFull at once.
func (h *headReader) awaitByte() error {
	_, err := h.buffer.Peek(h.buffer.Buffered() + 1)
	return err
}

// awaitFirstByte waits until the first byte of a request is buffered. It discards the empty
// lines in front of it. The buffer of a long header is given up first.
func (h *headReader) awaitFirstByte() error {
	if h.buffer.Size() > h.initial && h.buffer.Buffered() == 0 {
		h.reset() // what grow took is read, since a request was
	}
	for range maxEmptyLines + 1 {
		first, err := h.buffer.Peek(1)
		if err != nil || first[0] != '\r' {
			return err
		}
		line, err := h.buffer.Peek(len("\r\n"))
		if err != nil || line[1] != '\n' {
			return err
		}
		_, _ = h.buffer.Discard(len(line)) // they are buffered
	}
	return errors.Wrapf(errMalformed, "more than %d empty lines before a request", maxEmptyLines)
}

// isComplete reports whether a complete header is buffered, so that read will not wait.
func (h *headReader) isComplete() bool {
	data, _ := h.buffer.Peek(h.buffer.Buffered()) // never more than is buffered
	return headEnd(data, 0) > 0
}

// read returns the next request. Its body reads from the same buffer.
func (h *headReader) read() (*http.Request, error) {
	head, err := h.awaitHead()
	if err != nil {
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(h.buffer)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "parse"), errMalformed)
	}
	if r.ProtoMajor != 1 {
		return nil, errors.Wrapf(errVersion, "%s", r.Proto)
	}
	return r, nil
}

// awaitHead returns the bytes of a complete header, which stay in the buffer.
func (h *headReader) awaitHead() ([]byte, error) {
	searched := 0
	for {
		data, _ := h.buffer.Peek(h.buffer.Buffered()) // never more than is buffered
		if end := headEnd(data, searched); end > 0 {
			return data[:end], nil
		}
		searched = max(0, len(data)-len("\n\r"))
		err := h.awaitByte()
		if errors.Is(err, bufio.ErrBufferFull) {
			searched, err = 0, h.grow(data)
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow replaces the buffer, which holds data, by a larger one.
func (h *headReader) grow(data []byte) error {
	size := h.buffer.Size()
	if size >= h.limit {
		return errors.Wrapf(errHeadTooLarge, "more than %d bytes", h.limit)
	}
	if err := h.takeBuffer(min(2*size, h.limit)); err != nil {
		return err
	}
	h.source = io.MultiReader(bytes.NewReader(bytes.Clone(data)), h.source)
	h.buffer = bufio.NewReaderSize(h.source, min(2*size, h.limit))
	return nil
}

// headEnd returns the length of the header at the start of data, with the empty line that
// ends it, or 0 if it is not complete. The bytes before from have no end.
func headEnd(data []byte, from int) int {
	for {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		rest := data[from:]
		if len(rest) > 0 && rest[0] == '\n' {
			return from + 1
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return from + 2
		}
	}
}

// checkHead returns an error marked errMalformed if a header could be read in more than one
// way: by its line ends, by its field names, or by the length of the body.
func checkHead(head []byte) error {
	first, rest, _ := bytes.Cut(head, []byte("\n"))
	if _, err := lineText(first); err != nil {
		return err
	}
	var count fieldCount
	for {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		text, err := lineText(line)
		if err != nil {
			return err
		}
		if len(text) == 0 {
			return count.check(bytes.Contains(first, []byte(" HTTP/1.0")))
		}
		name, _, found := bytes.Cut(text, []byte(":"))
		if !found || !httpwire.IsToken(name) {
			return errors.Wrapf(errMalformed, "%d bytes are no header field", len(text))
		}
		count.add(name)
	}
}

// lineText returns a line without the CR that must end it.
func lineText(line []byte) ([]byte, error) {
	text, ok := bytes.CutSuffix(line, []byte("\r"))
	if !ok || !httpwire.IsText(text) {
		return nil, errors.Wrapf(errMalformed, "a line of %d bytes has a control character or no CRLF", len(line))
	}
	return text, nil
}

// fieldCount counts the fields that must not appear twice.
type fieldCount struct {
	host, length, encoding int
}

func (c *fieldCount) add(name []byte) {
	switch {
	case bytes.EqualFold(name, []byte("Host")):
		c.host++
	case bytes.EqualFold(name, []byte("Content-Length")):
		c.length++
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		c.encoding++
	}
}

func (c *fieldCount) check(isHTTP10 bool) error {
	switch {
	case c.length+c.encoding > 1:
		return errors.Wrap(errMalformed, "the length of the body is given more than once")
	case c.host > 1 || (c.host == 0 && !isHTTP10):
		return errors.Wrapf(errMalformed, "%d Host fields", c.host)
	case c.encoding > 0 && isHTTP10:
		return errors.Wrap(errMalformed, "HTTP/1.0 has no chunked encoding")
	}
	return nil
}
