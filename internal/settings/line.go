package settings

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineOf returns the line, from 1, at which the dotted key stands in data, or 0 where it is absent.
// For a key inside an array of tables it is the last one.
func lineOf(data []byte, key string) int {
	var p unstable.Parser
	p.Reset(data)
	var table []string
	line := 0
	for p.NextExpression() {
		e := p.Expression()
		names, first := keyNames(e)
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = names
		case unstable.KeyValue:
			full := strings.Join(append(append([]string{}, table...), names...), ".")
			if full == key {
				line = bytes.Count(data[:first], []byte("\n")) + 1
			}
		}
	}
	return line
}

// keyNames returns the parts of an expression's key and the offset of the first.
func keyNames(e *unstable.Node) ([]string, uint32) {
	var names []string
	var first uint32
	it := e.Key()
	for it.Next() {
		n := it.Node()
		if len(names) == 0 {
			first = n.Raw.Offset
		}
		names = append(names, string(n.Data))
	}
	return names, first
}
