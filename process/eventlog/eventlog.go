// Package eventlog writes numbered log events.
//
// Each package defines its events as package variables, with numbers from the range that
// docs/EVENTS.md assigns to it: 1000 process, 2000 version, 3000 connection, 4000
// request. The message of an event is constant; variable data goes into fields.
package eventlog

import (
	"fmt"
	"io"
	"sort"
	"sync"

	"github.com/rs/zerolog"
)

// Event is one event of the catalogue, with its number, level and message.
type Event struct {
	Number  int
	Level   zerolog.Level
	Message string
}

var (
	registryMu sync.Mutex
	registry   = map[int]Event{}
)

// Define adds an event to the catalogue. It panics if the number is already in use; since
// events are package variables, that can only happen at program start.
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

// Log starts a log line of the event. Add fields to the result and call its Send method.
func (e Event) Log(log zerolog.Logger) *zerolog.Event {
	return log.WithLevel(e.Level).Int("event", e.Number).Str("message", e.Message)
}

// All returns all defined events, sorted by number.
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

// timeFormat is the time format of log lines, with millisecond precision.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a logger that writes JSON lines to w, with the host name as a field.
func New(w io.Writer, host string) zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Str("host", host).Logger()
}
