package httpwire

import (
	"bytes"
	"math"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks the errors of bytes that a strict reader of RFC 9110 and RFC 9112 refuses as an HTTP/1.1 response.
var ErrInvalid = errors.New("invalid HTTP/1.1 response")

const (
	// maxLineBytes is the longest line of a response.
	maxLineBytes = 256 << 10
	// keptBytes is the largest buffer for partial lines that is kept.
	keptBytes = 1 << 10
)

// part is the part of a response to which the next bytes belong.
type part uint8

const (
	statusLine part = iota
	fieldLine       // or the empty line that ends the header
	body            // of a known length
	untilEnd        // a body that ends with the connection
	chunkLine
	chunk
	chunkEnd    // the empty line behind a chunk
	trailerLine // or the empty line that ends the body
)

// Checker checks the bytes of the successive responses of a connection. The zero value expects responses to requests
// whose method is not HEAD.
type Checker struct {
	headRequest bool
	// partial is the start of a line whose end has not come yet, without its CR. afterCR says that its LF is missing.
	partial []byte
	afterCR bool
	head
}

// head is the state of the current response.
type head struct {
	part part
	// left is the number of bytes that are missing of a body or chunk.
	left     uint64
	isHTTP10 bool
	status   int
	// hasLength and isChunked say how the header frames the body, and length is its number of bytes.
	hasLength, isChunked bool
	length               uint64
}

// Expect prepares for the response to a request with a method. What is missing of an earlier response is not expected
// any more.
func (c *Checker) Expect(method string) {
	c.headRequest = method == http.MethodHead
	c.dropPartial()
	c.afterCR = false
	c.head = head{}
}

// Check checks the next bytes that a connection delivered. It returns how many of them may be read: all, or with an
// error marked ErrInvalid those before the line that is invalid.
func (c *Checker) Check(p []byte) (int, error) {
	for checked := 0; checked < len(p); {
		n, err := c.checkPart(p[checked:])
		if err != nil {
			return checked, err
		}
		checked += n
	}
	return len(p), nil
}

// checkPart checks bytes of one part of the response. It returns how many of them belong to it.
func (c *Checker) checkPart(p []byte) (int, error) {
	switch c.part {
	case untilEnd:
		return len(p), nil
	case body, chunk:
		return c.skip(len(p)), nil
	}
	if c.afterCR {
		return 1, c.checkLF(p[0])
	}
	n := textLength(p)
	if n == len(p) {
		return n, c.keepPartial(p)
	}
	if p[n] != '\r' {
		return 0, errors.Wrapf(ErrInvalid, "byte %#02x behind %.40q", p[n], p[:n])
	}
	if n+1 == len(p) {
		c.afterCR = true
		return n + 1, c.keepPartial(p[:n])
	}
	if p[n+1] != '\n' {
		return 0, errors.Wrapf(ErrInvalid, "byte %#02x behind CR", p[n+1])
	}
	return n + 2, c.endLine(p[:n])
}

// checkLF checks the byte behind a CR that was the last byte before.
func (c *Checker) checkLF(b byte) error {
	c.afterCR = false
	if b != '\n' {
		return errors.Wrapf(ErrInvalid, "byte %#02x behind CR", b)
	}
	return c.endLine(nil)
}

func (c *Checker) keepPartial(p []byte) error {
	if len(c.partial)+len(p) > maxLineBytes {
		return errors.Wrapf(ErrInvalid, "a line has more than %d bytes", maxLineBytes)
	}
	c.partial = append(c.partial, p...)
	return nil
}

// endLine checks the line that ends with text.
func (c *Checker) endLine(text []byte) error {
	if len(c.partial) == 0 {
		return c.checkLine(text)
	}
	line := append(c.partial, text...)
	c.dropPartial()
	return c.checkLine(line)
}

func (c *Checker) dropPartial() {
	if cap(c.partial) > keptBytes {
		c.partial = nil
	}
	c.partial = c.partial[:0]
}

// skip passes over at most n bytes of a body or chunk and returns how many.
func (c *Checker) skip(n int) int {
	skipped := min(c.left, uint64(n))
	c.left -= skipped
	switch {
	case c.left > 0:
	case c.part == chunk:
		c.part = chunkEnd
	default:
		c.head = head{}
	}
	return int(skipped)
}

// checkLine checks a line, which has no control characters but tabs, and finds the next part.
func (c *Checker) checkLine(text []byte) error {
	switch c.part {
	case statusLine:
		return c.checkStatusLine(text)
	case chunkLine:
		return c.checkChunkLine(text)
	case chunkEnd:
		c.part = chunkLine
		if len(text) > 0 {
			return errors.Wrap(ErrInvalid, "a chunk is longer than its size")
		}
		return nil
	case trailerLine:
		if len(text) == 0 {
			c.head = head{}
			return nil
		}
		return c.checkField(text)
	default:
		if len(text) == 0 {
			return c.endHeader()
		}
		return c.checkField(text)
	}
}

const (
	// statusLineForm has a 0 for each digit; a reason phrase, which may be empty, follows.
	statusLineForm = "HTTP/1.0 000 "
	// minorVersionAt and statusAt are where the digits of the minor version and of the status are.
	minorVersionAt = len("HTTP/1.")
	statusAt       = len("HTTP/1.0 ")

	lowestStatus, highestStatus = 100, 599
)

func (c *Checker) checkStatusLine(text []byte) error {
	if len(text) < len(statusLineForm) {
		return errors.Wrapf(ErrInvalid, "status line %.40q", text)
	}
	for i, want := range []byte(statusLineForm) {
		if b := text[i]; b != want && (want != '0' || !isDigit(b)) {
			return errors.Wrapf(ErrInvalid, "status line %.40q", text)
		}
	}
	c.isHTTP10 = text[minorVersionAt] == '0'
	for _, digit := range text[statusAt : statusAt+3] {
		c.status = 10*c.status + int(digit-'0')
	}
	if c.status < lowestStatus || c.status > highestStatus {
		return errors.Wrapf(ErrInvalid, "status %03d", c.status)
	}
	c.part = fieldLine
	return nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

const (
	lengthField   = "Content-Length"
	encodingField = "Transfer-Encoding"
	// chunkedEncoding is the only transfer encoding that is accepted.
	chunkedEncoding = "chunked"
)

// checkField checks a line of a header or trailer and reads the fields that frame the body. A line that continues the one
// before is refused, since readers differ on it.
func (c *Checker) checkField(text []byte) error {
	n := tokenLength(text)
	if n == 0 || n == len(text) || text[n] != ':' {
		return errors.Wrapf(ErrInvalid, "field name in %.40q", text)
	}
	name, value := text[:n], text[n+1:]
	switch {
	case n == len(lengthField) && bytes.EqualFold(name, []byte(lengthField)):
		return c.readLength(trimBlanks(value))
	case n == len(encodingField) && bytes.EqualFold(name, []byte(encodingField)):
		return c.readEncoding(trimBlanks(value))
	}
	return nil
}

// trimBlanks returns a value without the blanks and tabs around it.
func trimBlanks(value []byte) []byte {
	for len(value) > 0 && isBlank(value[0]) {
		value = value[1:]
	}
	for len(value) > 0 && isBlank(value[len(value)-1]) {
		value = value[:len(value)-1]
	}
	return value
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// readLength reads a Content-Length. It may be repeated.
func (c *Checker) readLength(value []byte) error {
	n, ok := parseLength(value)
	if !ok || c.part == trailerLine || (c.hasLength && n != c.length) {
		return errors.Wrapf(ErrInvalid, "%s %.40q", lengthField, value)
	}
	c.hasLength, c.length = true, n
	return nil
}

// parseLength parses a decimal number of at most math.MaxInt64.
func parseLength(digits []byte) (n uint64, ok bool) {
	for _, b := range digits {
		if !isDigit(b) || n > (math.MaxInt64-9)/10 {
			return 0, false
		}
		n = 10*n + uint64(b-'0')
	}
	return n, len(digits) > 0
}

func (c *Checker) readEncoding(value []byte) error {
	if c.isChunked || c.part == trailerLine || !bytes.EqualFold(value, []byte(chunkedEncoding)) {
		return errors.Wrapf(ErrInvalid, "%s %.40q", encodingField, value)
	}
	c.isChunked = true
	return nil
}

// endHeader finds how the body is framed.
func (c *Checker) endHeader() error {
	interim := c.status < http.StatusOK
	bodyless := interim || c.status == http.StatusNoContent
	switch {
	case c.isChunked && (c.hasLength || c.isHTTP10 || bodyless), c.length > 0 && bodyless:
		return errors.Wrapf(ErrInvalid, "framing of the body: status %d, %s: %v, %s: %v, HTTP/1.0: %v",
			c.status, encodingField, c.isChunked, lengthField, c.hasLength, c.isHTTP10)
	case bodyless, c.status == http.StatusNotModified, c.headRequest, c.hasLength && c.length == 0:
		c.head = head{}
	case c.isChunked:
		c.part = chunkLine
	case c.hasLength:
		c.part, c.left = body, c.length
	default:
		c.part = untilEnd
	}
	return nil
}

// checkChunkLine reads the size of a chunk, behind which extensions may stand.
func (c *Checker) checkChunkLine(text []byte) error {
	digits, _, extended := bytes.Cut(text, []byte(";"))
	if extended {
		digits = bytes.TrimRight(digits, " \t")
	}
	size, ok := parseChunkSize(digits)
	if !ok {
		return errors.Wrapf(ErrInvalid, "chunk size %.40q", text)
	}
	c.part, c.left = chunk, size
	if size == 0 {
		c.part = trailerLine
	}
	return nil
}

// maxChunkDigits is the number of hexadecimal digits of the largest chunk size.
const maxChunkDigits = 15

func parseChunkSize(digits []byte) (n uint64, ok bool) {
	for _, b := range digits {
		switch {
		case isDigit(b):
			b -= '0'
		case b >= 'a' && b <= 'f':
			b -= 'a' - 10
		case b >= 'A' && b <= 'F':
			b -= 'A' - 10
		default:
			return 0, false
		}
		n = n<<4 | uint64(b)
	}
	return n, len(digits) > 0 && len(digits) <= maxChunkDigits
}
