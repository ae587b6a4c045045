package ticket

import (
	"encoding/hex"
	"fmt"

	"github.com/cockroachdb/errors"

	"quetzalknot/version/config"
	"quetzalknot/version/lookup"
)

// blockTableName is the one name of a block table, so that tickets can't give two.
const blockTableName = "clients"

func (c *checker) block(field string, b config.Block) {
	_, err := lookup.ParseBlock(b.Prefix)
	var bad *lookup.BlockError
	if errors.As(err, &bad) {
		c.require(false, field+".prefix", b.Prefix, bad.Reason)
	}
	c.require(b.Region != "" || len(b.Entries) > 0, field+".region", b.Region, "a region, or entry hosts in entries")
}

func (c *checker) blockTables(list []config.BlockTable) {
	for i, t := range list {
		field := fmt.Sprintf("block_table[%d]", i)
		c.require(t.Name == blockTableName, field+".name", t.Name, `"`+blockTableName+`"`)
		c.storedObject(field, t.Object, t.SHA256)
		for j, d := range t.Deltas {
			c.storedObject(fmt.Sprintf("%s.delta[%d]", field, j), d.Object, d.SHA256)
		}
	}
}

func (c *checker) storedObject(field, object, sum string) {
	c.require(object != "", field+".object", object, "a key of the object store")
	data, err := hex.DecodeString(sum)
	c.require(err == nil && len(data) == len(lookup.Sum{}), field+".sha256", sum, "64 hexadecimal digits")
}
