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
)

type explainCommand struct {
	apiFlag
	Request string `arg:"" help:"Request id, as the answer's Quetzal-Request-Id gives it."`
	JSON    bool   `name:"json" help:"Print the log lines as they are."`
}

// Run implements the command.
func (c *explainCommand) Run() error {
	resp, err := http.Get("http://" + c.API + "/v1/explain/" + url.PathEscape(c.Request))
	if err != nil {
		return err
	}
	var lines []json.RawMessage
	if err := decodeReply(resp, &lines); err != nil {
		return err
	}
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
