package capacity

import (
	"context"
	"crypto/sha256"
	"runtime"

	"quetzalknot/version/lookup"
)

// bytesObject is a lookup.RangeReader in memory.
type bytesObject []byte

// MaxRange implements lookup.RangeReader.
func (o bytesObject) MaxRange() int64 { return 1 << 20 }

// ReadRange implements lookup.RangeReader.
func (o bytesObject) ReadRange(_ context.Context, offset, length int64) ([]byte, error) {
	size := int64(len(o))
	from := min(offset, size)
	return o[from:min(size, from+length)], nil
}

// buildTable returns a block table with the given blocks.
func buildTable(blocks []Block) (*lookup.Table, error) {
	b := lookup.NewBuilder(Assignments())
	for _, block := range blocks {
		if err := b.Add(block.Prefix, block.Assignment); err != nil {
			return nil, err
		}
	}
	return b.Table(), nil
}

// tableSeries returns the series about the block table.
func tableSeries(full int) []series {
	return []series{
		{"table_memory", "Live heap of the block table", "blocks", "bytes", fractions(full), tableMemory},
		{"table_stored", "Length of the stored block table", "blocks", "bytes", fractions(full), tableStored},
		{"table_load", "Processor time to load a stored table", "blocks", "ns", fractions(full), tableLoad},
		{"table_delta", "Processor time to apply a delta to the full table", "changed blocks", "ns", []int{1, 16, 64, 256, 1024}, tableDelta(full)},
	}
}

func tableMemory(_ context.Context, size int) (float64, error) {
	blocks := Blocks(size, 1)
	before := heapInUse()
	table, err := buildTable(blocks)
	if err != nil {
		return 0, err
	}
	bytes := heapInUse() - before
	runtime.KeepAlive(table)
	runtime.KeepAlive(blocks)
	return float64(bytes), nil
}

func tableStored(_ context.Context, size int) (float64, error) {
	data, err := StoredTable(size, 1)
	return float64(len(data)), err
}

func tableLoad(ctx context.Context, size int) (float64, error) {
	data, err := StoredTable(size, 1)
	if err != nil {
		return 0, err
	}
	runtime.GC()
	sum := lookup.Sum(sha256.Sum256(data))
	return minOf(3, func() float64 {
		return cpuPerCall(func() {
			if _, loadErr := lookup.NewLoader(sum).Read(ctx, bytesObject(data)); loadErr != nil {
				err = loadErr
			}
		})
	}), err
}

func tableDelta(full int) func(context.Context, int) (float64, error) {
	var table *lookup.Table
	var blocks []Block
	return func(_ context.Context, size int) (float64, error) {
		if table == nil {
			var err error
			blocks = Blocks(full, 1)
			if table, err = buildTable(blocks); err != nil {
				return 0, err
			}
		}
		list := Assignments()
		changes := make([]lookup.Change, size)
		for i := range changes {
			changes[i] = lookup.Change{Prefix: blocks[i*len(blocks)/size].Prefix, Assignment: list[i%len(list)]}
		}
		var err error
		cost := minOf(3, func() float64 {
			return cpuPerCall(func() {
				if _, applyErr := table.Apply(changes); applyErr != nil {
					err = applyErr
				}
			})
		})
		return cost, err
	}
}

// StoredTable returns the stored form of a table of generated blocks.
func StoredTable(blocks int, seed uint64) ([]byte, error) {
	table, err := buildTable(Blocks(blocks, seed))
	if err != nil {
		return nil, err
	}
	return lookup.Encode(table)
}
