package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"quetzalknot"
	"quetzalknot/version/state"
	"quetzalknot/version/ticket"
)

type ticketCommands struct {
	Check  ticketCheck  `cmd:"" help:"Check a ticket without submitting it."`
	Submit ticketSubmit `cmd:"" help:"Submit a ticket."`
	Show   ticketShow   `cmd:"" help:"Show an accepted ticket."`
}

// apiFlag names the host to talk to.
type apiFlag struct {
	API string `required:"" env:"QUETZAL_API" help:"API address of an entry host, such as 127.0.0.1:8081."`
}

type ticketCheck struct {
	File string `arg:"" type:"existingfile" help:"Ticket in TOML, or JSON when it ends in .json."`
}

// Run implements the command.
func (c *ticketCheck) Run() error {
	t, err := readTicket(c.File)
	if err != nil {
		return badInput{err}
	}
	if err := t.Check(); err != nil {
		return badInput{err}
	}
	fmt.Printf("ticket %d is well formed\n", t.Number)
	return nil
}

func readTicket(path string) (*ticket.Ticket, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	t, err := ticket.Parse(data, formatOf(path))
	return t, errors.Wrap(err, path)
}

func formatOf(path string) ticket.Format {
	if strings.HasSuffix(path, ".json") {
		return ticket.FormatJSON
	}
	return ticket.FormatTOML
}

type ticketSubmit struct {
	apiFlag
	File string `arg:"" type:"existingfile" help:"Ticket in TOML, or JSON when it ends in .json."`
}

// Run implements the command.
func (c *ticketSubmit) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	contentType := "application/toml"
	if formatOf(c.File) == ticket.FormatJSON {
		contentType = "application/json"
	}
	resp, err := http.Post("http://"+c.API+"/v1/tickets", contentType, bytes.NewReader(data))
	if err != nil {
		return err
	}
	var record state.Record
	if err := decodeReply(resp, &record); err != nil {
		return err
	}
	fmt.Printf("ticket %d is accepted\n", record.Number)
	return nil
}

type ticketShow struct {
	apiFlag
	Number uint64 `arg:"" help:"Number of the ticket."`
}

// Run implements the command.
func (c *ticketShow) Run() error {
	return printJSON(fmt.Sprintf("http://%s/v1/tickets/%d", c.API, c.Number))
}

type statusCommand struct {
	apiFlag
}

// Run implements the command.
func (c *statusCommand) Run() error { return printJSON("http://" + c.API + "/v1/status") }

func printJSON(url string) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	var v json.RawMessage
	if err := decodeReply(resp, &v); err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, v, "", "  "); err != nil {
		return err
	}
	fmt.Println(out.String())
	return nil
}

// decodeReply reads a JSON answer, or returns the failure that it states.
func decodeReply(resp *http.Response, v any) error {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		var failure quetzalknot.Failure
		if json.Unmarshal(data, &failure) == nil && failure.Error != "" {
			return errors.New(failure.Error)
		}
		return errors.Newf("status %d: %s", resp.StatusCode, bytes.TrimSpace(data))
	}
	return json.Unmarshal(data, v)
}
