package settings

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// LineOf returns the line, from 1, at which the dotted key stands in data, or 0 where it is absent.
// An element of an array of tables is named by its index, as in "service[2].leaf[0].address"; a
// key without indices finds the last element that has it.
func LineOf(data []byte, key string) int {
	var p unstable.Parser
	p.Reset(data)
	arrays := make(arrayCounts)
	table := keyPath{}
	line := 0
	for p.NextExpression() {
		e := p.Expression()
		names, first := keyNames(e)
		var at keyPath
		switch e.Kind {
		case unstable.Table:
			table = arrays.path(names)
			at = table
		case unstable.ArrayTable:
			table = arrays.next(names)
			at = table
		case unstable.KeyValue:
			at = table.join(names)
		}
		if at.plain == key || at.indexed == key {
			line = bytes.Count(data[:first], []byte("\n")) + 1
		}
	}
	return line
}

// keyPath is a key's dotted path, without and with the indices of arrays of tables.
type keyPath struct{ plain, indexed string }

// join returns the path of a key inside the table p.
func (p keyPath) join(names []string) keyPath {
	rest := strings.Join(names, ".")
	if p.plain == "" {
		return keyPath{rest, rest}
	}
	return keyPath{p.plain + "." + rest, p.indexed + "." + rest}
}

// arrayCounts holds the number of elements so far by the indexed path of each array of tables.
type arrayCounts map[string]int

// path resolves a table's names against the newest element of each array on the way.
func (a arrayCounts) path(names []string) keyPath {
	var p keyPath
	for _, n := range names {
		p = p.join([]string{n})
		if count, ok := a[p.indexed]; ok {
			p.indexed = fmt.Sprintf("%s[%d]", p.indexed, count-1)
		}
	}
	return p
}

// next counts a new element of an array of tables and returns its path.
func (a arrayCounts) next(names []string) keyPath {
	last := len(names) - 1
	p := a.path(names[:last]).join(names[last:])
	a[p.indexed]++
	p.indexed = fmt.Sprintf("%s[%d]", p.indexed, a[p.indexed]-1)
	return p
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
