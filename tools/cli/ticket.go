package cli

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/process/settings"
	"quetzalknot/version/replica"
	"quetzalknot/version/state"
	"quetzalknot/version/ticket"
)

type ticketCommands struct {
	Check  ticketCheck  `cmd:"" help:"Check a ticket without submitting it."`
	Submit ticketSubmit `cmd:"" help:"Submit a ticket."`
	Show   ticketShow   `cmd:"" help:"Show an accepted ticket."`
	List   ticketList   `cmd:"" help:"List accepted tickets in the order of acceptance."`
	Diff   ticketDiff   `cmd:"" help:"Show what an accepted ticket changed: each object before and after."`
}

// apiFlag is the --api flag, shared by the commands that call an entry host.
type apiFlag struct {
	API string `required:"" env:"QUETZAL_API" help:"API address of an entry host, such as 127.0.0.1:8081."`
}

type ticketCheck struct {
	Settings string `type:"existingfile" help:"Settings of a host; regions and failure domains are checked against its topology."`
	File     string `arg:"" type:"existingfile" help:"Ticket in TOML, or JSON when it ends in .json."`
}

// Run implements the command.
func (c *ticketCheck) Run() error {
	t, err := readTicket(c.File)
	if err != nil {
		return badInput{err}
	}
	topology, err := c.topology()
	if err != nil {
		return badInput{err}
	}
	if err := t.CheckAgainst(topology); err != nil {
		return badInput{err}
	}
	fmt.Printf("ticket %d is well formed\n", t.Number)
	return nil
}

func (c *ticketCheck) topology() (ticket.CheckContext, error) {
	if c.Settings == "" {
		return ticket.CheckContext{}, nil
	}
	s, err := settings.Load(c.Settings)
	if err != nil {
		return ticket.CheckContext{}, err
	}
	return replica.CheckContext(s.Topology), nil
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
	resp, err := hostClient.Post("http://"+c.API+"/v1/tickets", contentType, bytes.NewReader(data))
	if err != nil {
		return err
	}
	var record state.Record
	if err := decodeResponse(resp, &record); err != nil {
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

type ticketList struct {
	apiFlag
	After int64 `help:"Continue after this revision, as given by the last list."`
	Limit int   `default:"50" help:"How many tickets to list."`
}

// Run implements the command.
func (c *ticketList) Run() error {
	var list replica.TicketList
	if err := fetchJSON(fmt.Sprintf("http://%s/v1/tickets?after=%d&limit=%d", c.API, c.After, c.Limit), &list); err != nil {
		return err
	}
	for _, t := range list.Tickets {
		fmt.Printf("%d\t%s\t%s\t%s\t%s\n", t.Number, t.AcceptedAt.Format(time.RFC3339), t.Operator, strings.Join(t.Objects, " "), t.Note)
	}
	if list.More {
		fmt.Printf("more follow: --after %d\n", list.Next)
	}
	return nil
}

type ticketDiff struct {
	apiFlag
	Number uint64 `arg:"" help:"Number of the ticket."`
}

// Run implements the command.
func (c *ticketDiff) Run() error {
	return printJSON(fmt.Sprintf("http://%s/v1/tickets/%d/diff", c.API, c.Number))
}

type statusCommand struct {
	apiFlag
	All  bool `help:"Show every host, asked through this one."`
	JSON bool `name:"json" help:"Print JSON."`
}

// Run implements the command.
func (c *statusCommand) Run() error {
	url := "http://" + c.API + "/v1/status"
	if !c.All {
		return printJSON(url)
	}
	if c.JSON {
		return printJSON(url + "?all=1")
	}
	var status replica.ClusterStatus
	if err := fetchJSON(url+"?all=1", &status); err != nil {
		return err
	}
	fmt.Printf("newest version in force: %d\n", status.Newest)
	for _, h := range status.Hosts {
		fmt.Println(hostLine(h))
	}
	return nil
}

func hostLine(h replica.HostStatus) string {
	line := fmt.Sprintf("%s\t%s\tversion %d for %.0f s\tready %v\tfresh %v", h.Host, h.FailureDomain, h.Version, h.InForceSeconds, h.Ready, h.UpToDate)
	if h.LagReason != "" {
		line += "\t" + h.LagReason
	}
	if h.UnreadyReason != "" {
		line += "\t" + h.UnreadyReason
	}
	return line
}
