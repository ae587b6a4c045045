package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/tools/story"
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
		return c.fromLog()
	}
	if c.API == "" {
		return errNoSource
	}
	resp, err := http.Get("http://" + c.API + "/v1/explain/" + url.PathEscape(c.Request))
	if err != nil {
		return err
	}
	var lines []json.RawMessage
	if err := decodeReply(resp, &lines); err != nil {
		return err
	}
	return c.print(lines)
}

func (c *explainCommand) fromLog() error {
	in := io.ReadCloser(os.Stdin)
	if c.Log != "-" {
		file, err := os.Open(c.Log)
		if err != nil {
			return err
		}
		in = file
	}
	defer func() { _ = in.Close() }()
	around := time.Duration(0)
	if c.Events {
		around = c.Around
	}
	told, err := story.Read(in, c.Request, around)
	if err != nil {
		return err
	}
	if told.Skipped > 0 {
		fmt.Fprintf(os.Stderr, "%d lines are no log lines and were skipped\n", told.Skipped)
	}
	if len(told.Lines) == 0 {
		return errors.Newf("no line of the log tells of request %q", c.Request)
	}
	return c.print(told.Lines)
}

func (c *explainCommand) print(lines []json.RawMessage) error {
	for _, line := range lines {
		if c.JSON {
			fmt.Println(string(line))
			continue
		}
		if err := explainLine(os.Stdout, line); err != nil {
			return err
		}
	}
	return nil
}

// commonFields stand at the beginning of an explained line, or in every line.
var commonFields = []string{"time", "host", "level", "event", "message", "request"}

// storyLine holds the fields that every log line has.
type storyLine struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Event   int       `json:"event"`
	Message string    `json:"message"`
}

// explainLine writes one log line for people: time, host, event, message, facts.
func explainLine(w io.Writer, raw json.RawMessage) error {
	var line storyLine
	if err := json.Unmarshal(raw, &line); err != nil {
		return errors.Wrap(err, "log line")
	}
	var facts map[string]json.RawMessage
	if err := json.Unmarshal(raw, &facts); err != nil {
		return errors.Wrap(err, "log line")
	}
	var pairs []string
	for name, value := range facts {
		if !slices.Contains(commonFields, name) {
			pairs = append(pairs, name+"="+strings.Trim(string(value), `"`))
		}
	}
	slices.Sort(pairs)
	_, err := fmt.Fprintf(w, "%s  %-8s %d  %-28s %s\n",
		line.Time.Format("15:04:05.000"), line.Host, line.Event, line.Message, strings.Join(pairs, " "))
	return err
}
