package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions maps the dotted path of each key to its line, counted from 1. The
// n-th table of an array has the path name[n], counted from 0.
type positions map[string]int

// locate reads the lines of all keys. It returns what it found when the text is
// not well formed.
func locate(data []byte) positions {
	found := make(positions)
	counts := make(map[string]int)
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		path, line := keyOf(&p, e)
		switch e.Kind {
		case unstable.Table:
			table = path + "."
			found[path] = line
		case unstable.ArrayTable:
			n := counts[path]
			counts[path]++
			path = fmt.Sprintf("%s[%d]", path, n)
			table = path + "."
			found[path] = line
		case unstable.KeyValue:
			found[table+path] = line
		}
	}
	return found
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

// line returns the line of a key, or of the nearest table around it, or 0.
func (p positions) line(key string) int {
	for key != "" {
		if line, ok := p[key]; ok {
			return line
		}
		cut := strings.LastIndexByte(key, '.')
		key = key[:max(cut, 0)]
	}
	return 0
}
