package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/tools/timeline"
)

type explainCommand struct {
	API     string        `env:"QUETZAL_API" help:"API address of the entry host that answered, IP:PORT."`
	Request string        `arg:"" optional:"" help:"Request id, as the answer or the caller's report gives it."`
	Log     string        `help:"Read log lines from this file in place of asking a host; - means standard input."`
	Events  bool          `help:"With --log: also what the hosts came to believe around the request."`
	Around  time.Duration `default:"2s" help:"With --events: how long before and after the request."`
	JSON    bool          `name:"json" help:"Print the log lines as they are."`
}

var (
	errNoRequest = errors.New("a request id is needed")
	errNoSource  = errors.New("either --api or --log is needed")
)

// Run implements the command.
func (c *explainCommand) Run() error {
	if c.Request == "" {
		return errNoRequest
	}
	if c.Log != "" {
		return c.printFromLog()
	}
	if c.API == "" {
		return errNoSource
	}
	var lines []json.RawMessage
	if err := fetchJSON("http://"+c.API+"/v1/explain/"+url.PathEscape(c.Request), &lines); err != nil {
		return err
	}
	return c.print(lines)
}

func (c *explainCommand) printFromLog() error {
	in := io.ReadCloser(os.Stdin)
	if c.Log != "-" {
		file, err := os.Open(c.Log)
		if err != nil {
			return err
		}
		in = file
	}
	defer func() { _ = in.Close() }()
	window := time.Duration(0)
	if c.Events {
		window = c.Around
	}
	result, err := timeline.Read(in, c.Request, window)
	if err != nil {
		return err
	}
	if result.Skipped > 0 {
		fmt.Fprintf(os.Stderr, "%d lines are not log lines and were skipped\n", result.Skipped)
	}
	if len(result.Lines) == 0 {
		return errors.Newf("no log line concerns request %q", c.Request)
	}
	return c.print(result.Lines)
}

func (c *explainCommand) print(lines []json.RawMessage) error {
	for _, line := range lines {
		if c.JSON {
			fmt.Println(string(line))
			continue
		}
		if err := writeLogLine(os.Stdout, line); err != nil {
			return err
		}
	}
	return nil
}

// commonFields are the fields that are not printed as name=value pairs: time, host, event and
// message begin the line, and the level and the request id are left out.
var commonFields = []string{"time", "host", "level", "event", "message", "request"}

// logLine holds the fields with which writeLogLine begins a line.
type logLine struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Event   int       `json:"event"`
	Message string    `json:"message"`
}

// writeLogLine writes one log line in readable form: time, host, event, message, and the
// other fields as name=value pairs.
func writeLogLine(w io.Writer, raw json.RawMessage) error {
	var line logLine
	if err := json.Unmarshal(raw, &line); err != nil {
		return errors.Wrap(err, "log line")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return errors.Wrap(err, "log line")
	}
	var pairs []string
	for name, value := range fields {
		if !slices.Contains(commonFields, name) {
			pairs = append(pairs, name+"="+strings.Trim(string(value), `"`))
		}
	}
	slices.Sort(pairs)
	_, err := fmt.Fprintf(w, "%s  %-8s %d  %-28s %s\n",
		line.Time.Format("15:04:05.000"), line.Host, line.Event, line.Message, strings.Join(pairs, " "))
	return err
}
