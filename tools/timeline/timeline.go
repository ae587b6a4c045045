// Package timeline extracts the log lines of one request from the logs of several hosts.
package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"
)

const (
	// lineLimit is the maximum length of a line in bytes. Read stops at a longer line and
	// returns an error.
	lineLimit = 1 << 20
	// firstRequestEvent is the lowest number of events about requests. Events with lower
	// numbers are about a host and its view of other hosts and targets.
	firstRequestEvent = 4000
)

// Timeline holds the log lines of a request.
type Timeline struct {
	// Lines are the log lines in order of time.
	Lines []json.RawMessage
	// Skipped is the number of lines that were not log lines.
	Skipped int
}

type logLine struct {
	Time    time.Time `json:"time"`
	Event   int       `json:"event"`
	Request string    `json:"request"`
	raw     json.RawMessage
}

// Read returns the lines of a request. If window is above 0, it adds the events about
// hosts from window before the request's first line to window after its last line.
// Text before the JSON object of a line, such as a host's name, is ignored; lines
// without an object are skipped and counted.
func Read(in io.Reader, request string, window time.Duration) (Timeline, error) {
	var requestLines, hostLines []logLine
	var t Timeline
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, lineLimit)
	for scanner.Scan() {
		l, ok := parse(scanner.Bytes())
		switch {
		case !ok:
			t.Skipped++
		case l.Request == request:
			requestLines = append(requestLines, l)
		case window > 0 && l.Event < firstRequestEvent:
			hostLines = append(hostLines, l)
		}
	}
	if len(requestLines) > 0 {
		requestLines = append(requestLines, withinWindow(hostLines, requestLines, window)...)
	}
	slices.SortStableFunc(requestLines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	for _, l := range requestLines {
		t.Lines = append(t.Lines, l.raw)
	}
	return t, scanner.Err()
}

func parse(text []byte) (logLine, bool) {
	var l logLine
	start := bytes.IndexByte(text, '{')
	if start < 0 || json.Unmarshal(text[start:], &l) != nil || l.Event == 0 {
		return logLine{}, false
	}
	l.raw = bytes.Clone(bytes.TrimSpace(text[start:]))
	return l, true
}

// withinWindow returns the host lines from window before the first line of the request to
// window after its last line.
func withinWindow(hostLines, requestLines []logLine, window time.Duration) []logLine {
	first, last := requestLines[0].Time, requestLines[0].Time
	for _, l := range requestLines {
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	return slices.DeleteFunc(hostLines, func(l logLine) bool {
		return l.Time.Before(first.Add(-window)) || l.Time.After(last.Add(window))
	})
}
