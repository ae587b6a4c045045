// Package story finds what logs of several hosts tell of one request.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"
)

const (
	// lineLimit is the longest line that is read, in bytes.
	lineLimit = 1 << 20
	// firstRequestEvent is the number of the first event of requests; events below it
	// tell what a host believes.
	firstRequestEvent = 4000
)

// Story is what logs tell of a request.
type Story struct {
	// Lines are the log lines, oldest first.
	Lines []json.RawMessage
	// Skipped is how many lines were no log lines.
	Skipped int
}

type line struct {
	Time    time.Time `json:"time"`
	Event   int       `json:"event"`
	Request string    `json:"request"`
	raw     json.RawMessage
}

// Read returns the lines of a request. With around above 0 it adds the lines about
// beliefs that are at most so far from the request's lines. Bytes before a line's
// object, such as a host's name, are passed over; lines without an object are skipped
// and counted.
func Read(in io.Reader, request string, around time.Duration) (Story, error) {
	var own, beliefs []line
	var s Story
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, lineLimit)
	for scanner.Scan() {
		l, ok := parse(scanner.Bytes())
		switch {
		case !ok:
			s.Skipped++
		case l.Request == request:
			own = append(own, l)
		case around > 0 && l.Event < firstRequestEvent:
			beliefs = append(beliefs, l)
		}
	}
	if len(own) > 0 {
		own = append(own, near(beliefs, own, around)...)
	}
	slices.SortStableFunc(own, func(a, b line) int { return a.Time.Compare(b.Time) })
	for _, l := range own {
		s.Lines = append(s.Lines, l.raw)
	}
	return s, scanner.Err()
}

func parse(text []byte) (line, bool) {
	var l line
	at := bytes.IndexByte(text, '{')
	if at < 0 || json.Unmarshal(text[at:], &l) != nil || l.Event == 0 {
		return line{}, false
	}
	l.raw = bytes.Clone(bytes.TrimSpace(text[at:]))
	return l, true
}

// near returns the lines that are not far from the first and the last line of a request.
func near(beliefs, own []line, around time.Duration) []line {
	first, last := own[0].Time, own[0].Time
	for _, l := range own {
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	return slices.DeleteFunc(beliefs, func(l line) bool {
		return l.Time.Before(first.Add(-around)) || l.Time.After(last.Add(around))
	})
}
