// Package trace reads and writes request traces in a line format and records them on a
// running host. docs/TRACES.md describes the format.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/verdict"
)

// Header is the first line of a trace.
const Header = "quetzalknot-trace 1"

// emptyField represents an empty value.
const emptyField = "-"

// Entry is one request and its outcome.
type Entry struct {
	// At is the arrival time. In an entry read from a file it is the zero time plus the
	// offset from the start of the trace.
	At      time.Time
	Service string
	Method  string
	// Path is the path of the request with its query.
	Path string
	Key  string
	// BodyBytes is the announced size of the request body; 0 when none was announced.
	BodyBytes int64
	Timeout   time.Duration
	Client    netip.Addr
	// Duration is the time from the arrival to the end of the response on this host.
	Duration      time.Duration
	ResponseBytes int64
	Status        int
	Verdict       verdict.Verdict
}

// fieldCount is the number of fields of a line.
const fieldCount = 12

// Line returns the entry as one line of a trace that started at start.
func (e *Entry) Line(start time.Time) string {
	client := emptyField
	if e.Client.IsValid() {
		client = e.Client.String()
	}
	return fmt.Sprintf("%d %s %s %s %s %d %d %s %d %d %d %s",
		e.At.Sub(start).Microseconds(), escape(e.Service), escape(e.Method), escape(e.Path), escape(e.Key),
		e.BodyBytes, e.Timeout.Milliseconds(), client, e.Duration.Microseconds(), e.ResponseBytes, e.Status, e.Verdict)
}

func escape(s string) string {
	if s == "" {
		return emptyField
	}
	return strings.ReplaceAll(strings.ReplaceAll(url.PathEscape(s), "%2F", "/"), "%3F", "?")
}

func unescape(s string) (string, error) {
	if s == emptyField {
		return "", nil
	}
	return url.PathUnescape(s)
}

// parser parses the fields of a line and keeps the first error.
type parser struct {
	fields []string
	err    error
}

func (p *parser) next() string {
	field := p.fields[0]
	p.fields = p.fields[1:]
	return field
}

func (p *parser) text() string {
	s, err := unescape(p.next())
	p.setError(err)
	return s
}

func (p *parser) number() int64 {
	n, err := strconv.ParseInt(p.next(), 10, 64)
	p.setError(err)
	if n < 0 {
		p.setError(errors.Newf("%d: must not be negative", n))
	}
	return n
}

func (p *parser) setError(err error) {
	if p.err == nil {
		p.err = err
	}
}

// ParseLine parses one line. At is the zero time plus the line's offset.
func ParseLine(line string) (Entry, error) {
	fields := strings.Fields(line)
	if len(fields) != fieldCount {
		return Entry{}, errors.Newf("%d fields; a line has %d", len(fields), fieldCount)
	}
	p := &parser{fields: fields}
	e := Entry{
		At:      time.Time{}.Add(time.Duration(p.number()) * time.Microsecond),
		Service: p.text(), Method: p.text(), Path: p.text(), Key: p.text(),
		BodyBytes: p.number(), Timeout: time.Duration(p.number()) * time.Millisecond,
	}
	if client := p.next(); client != emptyField {
		addr, err := netip.ParseAddr(client)
		p.setError(err)
		e.Client = addr
	}
	e.Duration = time.Duration(p.number()) * time.Microsecond
	e.ResponseBytes, e.Status, e.Verdict = p.number(), int(p.number()), verdict.Parse(p.next())
	return e, p.err
}

// Read reads a complete trace. It skips empty lines and lines that begin with #. Errors
// contain the line number.
func Read(r io.Reader) ([]Entry, error) {
	scanner := bufio.NewScanner(r)
	var entries []Entry
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if line == 1 {
			if text != Header {
				return nil, errors.Newf("line 1: %q: a trace begins with %q", text, Header)
			}
			continue
		}
		if text == "" || text[0] == '#' {
			continue
		}
		e, err := ParseLine(text)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", line)
		}
		entries = append(entries, e)
	}
	return entries, errors.Wrap(scanner.Err(), "trace")
}
