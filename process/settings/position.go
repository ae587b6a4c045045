package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions maps the dotted path of each key to its line, counted from 1. A table of an
// array has the path name[n], where n is its index, counted from 0.
type positions map[string]int

// locateKeys returns the lines of all keys. If the text is malformed, it returns those of
// the keys before the error.
func locateKeys(data []byte) positions {
	lines := make(positions)
	arrayLengths := make(map[string]int)
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		path, line := keyOf(&p, e)
		switch e.Kind {
		case unstable.Table:
			table = path + "."
			lines[path] = line
		case unstable.ArrayTable:
			n := arrayLengths[path]
			arrayLengths[path]++
			path = fmt.Sprintf("%s[%d]", path, n)
			table = path + "."
			lines[path] = line
		case unstable.KeyValue:
			lines[table+path] = line
		}
	}
	return lines
}

// keyOf returns the dotted key of an expression and the line it starts on.
func keyOf(p *unstable.Parser, e *unstable.Node) (path string, line int) {
	var parts []string
	for it := e.Key(); it.Next(); {
		node := it.Node()
		if len(parts) == 0 {
			line = p.Shape(node.Raw).Start.Line
		}
		parts = append(parts, string(node.Data))
	}
	return strings.Join(parts, "."), line
}

// line returns the line of a key, or that of the innermost enclosing table in the file,
// or 0 if there is none.
func (p positions) line(key string) int {
	for key != "" {
		if line, ok := p[key]; ok {
			return line
		}
		dot := strings.LastIndexByte(key, '.')
		key = key[:max(dot, 0)]
	}
	return 0
}
