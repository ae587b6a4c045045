// Package eventlog writes numbered log events.
//
// Each package defines its events once, as package variables, from the range of
// numbers that docs/EVENTS.md gives to it: 1000 process, 2000 version,
// 3000 connection, 4000 request. The message of an event is constant; the facts
// are fields.
package eventlog

import (
	"fmt"
	"io"
	"sort"
	"sync"

	"github.com/rs/zerolog"
)

// Event is one entry of the catalogue.
type Event struct {
	Number  int
	Level   zerolog.Level
	Message string
}

var (
	registryMu sync.Mutex
	registry   = map[int]Event{}
)

// Define adds an event to the catalogue. It panics when the number is taken,
// which can only happen while the program starts.
func Define(number int, level zerolog.Level, message string) Event {
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, taken := registry[number]; taken {
		panic(fmt.Sprintf("event %d is defined twice", number))
	}
	ev := Event{Number: number, Level: level, Message: message}
	registry[number] = ev
	return ev
}

// Log starts a log line of the event. The caller adds fields and calls Send.
func (e Event) Log(log zerolog.Logger) *zerolog.Event {
	return log.WithLevel(e.Level).Int("event", e.Number).Str("message", e.Message)
}

// All returns the catalogue in order of number.
func All() []Event {
	registryMu.Lock()
	defer registryMu.Unlock()
	events := make([]Event, 0, len(registry))
	for _, ev := range registry {
		events = append(events, ev)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// timeFormat is the form of the time of each line, to the millisecond.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a JSON logger for the named host.
func New(w io.Writer, host string) zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Str("host", host).Logger()
}
