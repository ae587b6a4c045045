package cli

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform/httpclient"
	"quetzalknot/tools/capacity"
	"quetzalknot/version/lookup"
)

type tableCommands struct {
	Build tableBuild `cmd:"" help:"Make a stored block table from a list of blocks."`
	Delta tableDelta `cmd:"" help:"Make a stored delta from a list of changed and removed blocks."`
	Put   tablePut   `cmd:"" help:"Put a stored table or delta into the object store."`
}

// listFormat is the help text about the format of block lists.
const listFormat = `Each line holds a block, a space and its regions in order of preference, separated by commas; then, optionally, a space and entry hosts, separated by commas. In a delta, "-" in place of the regions removes the block. Lines that begin with # are skipped.`

type tableBuild struct {
	File string `arg:"" type:"existingfile" help:"List of blocks."`
	Out  string `required:"" short:"o" type:"path" help:"File for the stored table."`
}

// Help implements kong's extended help.
func (c *tableBuild) Help() string { return listFormat }

// Run implements the command.
func (c *tableBuild) Run() error {
	changes, err := readBlocks(c.File, false)
	if err != nil {
		return err
	}
	table, err := new(lookup.Table).Apply(changes)
	if err != nil {
		return errors.Wrap(err, c.File)
	}
	data, err := lookup.Encode(table)
	if err != nil {
		return err
	}
	return writeStored(c.Out, data, table.Len())
}

type tableDelta struct {
	File string `arg:"" type:"existingfile" help:"List of changed and removed blocks."`
	Base string `required:"" help:"SHA-256 of the stored table, or of the delta before this one."`
	Out  string `required:"" short:"o" type:"path" help:"File for the stored delta."`
}

// Help implements kong's extended help.
func (c *tableDelta) Help() string { return listFormat }

// Run implements the command.
func (c *tableDelta) Run() error {
	var base lookup.Sum
	if n, err := hex.Decode(base[:], []byte(c.Base)); err != nil || n != len(base) {
		return errors.Newf("base %q: give 64 hexadecimal digits", c.Base)
	}
	changes, err := readBlocks(c.File, true)
	if err != nil {
		return err
	}
	data, err := lookup.EncodeDelta(base, changes)
	if err != nil {
		return errors.Wrap(err, c.File)
	}
	return writeStored(c.Out, data, len(changes))
}

// writeStored writes a stored table or delta to a file, and prints its size and the
// SHA-256 by which a ticket refers to it.
func writeStored(path string, data []byte, blocks int) error {
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return err
	}
	fmt.Printf("%d blocks, %d bytes\nsha256 = \"%x\"\n", blocks, len(data), sha256.Sum256(data))
	return nil
}

type tablePut struct {
	Platform string `required:"" help:"Base URL of the platform, such as http://127.0.0.1:7000."`
	Key      string `arg:"" help:"Key in the object store."`
	File     string `arg:"" type:"existingfile" help:"Stored table or delta."`
}

// Run implements the command.
func (c *tablePut) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return httpclient.New(c.Platform).Objects.Put(context.Background(), c.Key, data)
}

type labTable struct {
	Blocks int    `default:"3100000" help:"Number of client blocks."`
	Seed   uint64 `default:"1" help:"Seed of the blocks."`
	Out    string `required:"" short:"o" type:"path" help:"File for the stored table."`
}

// Run implements the command.
func (c *labTable) Run() error {
	data, err := capacity.StoredTable(c.Blocks, c.Seed)
	if err != nil {
		return err
	}
	return writeStored(c.Out, data, c.Blocks)
}

func readBlocks(path string, allowRemovals bool) ([]lookup.Change, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return parseBlocks(file, path, allowRemovals)
}

func parseBlocks(r io.Reader, name string, allowRemovals bool) ([]lookup.Change, error) {
	var changes []lookup.Change
	scanner := bufio.NewScanner(r)
	for n := 1; scanner.Scan(); n++ {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		c, err := parseBlock(fields, allowRemovals)
		if err != nil {
			return nil, errors.Wrapf(err, "%s:%d", name, n)
		}
		changes = append(changes, c)
	}
	return changes, scanner.Err()
}

func parseBlock(fields []string, allowRemovals bool) (lookup.Change, error) {
	var prefix netip.Prefix
	prefix, err := lookup.ParseBlock(fields[0])
	if err != nil {
		return lookup.Change{}, err
	}
	if len(fields) < 2 || len(fields) > 3 {
		return lookup.Change{}, errors.Newf("%d fields: give a block, regions and, optionally, entry hosts", len(fields))
	}
	c := lookup.Change{Prefix: prefix}
	if fields[1] == "-" {
		c.Remove = allowRemovals
		if !allowRemovals {
			return c, errors.New("only a delta can remove blocks")
		}
		return c, nil
	}
	c.Assignment.Regions = strings.Split(fields[1], ",")
	if len(fields) == 3 {
		c.Assignment.Entries = strings.Split(fields[2], ",")
	}
	return c, nil
}
