package settings

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// LineOf returns the line of the dotted key in data, counted from 1, or 0 if the key is absent. An
// element of an array of tables is given by its index, as in "service[2].leaf[0].address". A key
// without indices matches the last element that has it.
func LineOf(data []byte, key string) int {
	line := 0
	walkKeys(data, func(at keyPath, k keyInText, _ *unstable.Node) bool {
		if at.plain == key || at.indexed == key {
			line = lineAt(data, k.offset)
		}
		return true
	})
	return line
}

// lineAt returns the line of an offset, counted from 1.
func lineAt(data []byte, offset uint32) int { return bytes.Count(data[:offset], []byte("\n")) + 1 }

// keyPath is the dotted path of a key: plain is without the indices of arrays of tables, indexed with them.
type keyPath struct{ plain, indexed string }

// join returns the path of a key inside the table p.
func (p keyPath) join(names []string) keyPath {
	rest := strings.Join(names, ".")
	if p.plain == "" {
		return keyPath{rest, rest}
	}
	return keyPath{p.plain + "." + rest, p.indexed + "." + rest}
}

// element returns the path of element i of the array p.
func (p keyPath) element(i int) keyPath {
	return keyPath{p.plain, p.indexed + "[" + strconv.Itoa(i) + "]"}
}

// keyInText is a key as written in the text, with the offset of its first name.
type keyInText struct {
	names  []string
	offset uint32
}

// visitor is called for each table header with a nil value, and for each key with its value. It
// returns false to stop walkKeys.
type visitor func(at keyPath, key keyInText, value *unstable.Node) bool

// walkKeys calls visit for the keys of a TOML text in order, up to the first syntax error.
func walkKeys(data []byte, visit visitor) {
	var p unstable.Parser
	p.Reset(data)
	arrays := make(arrayCounts)
	var table keyPath
	for p.NextExpression() {
		e := p.Expression()
		key := keyOf(e)
		more := true
		switch e.Kind {
		case unstable.Table:
			table = arrays.path(key.names)
			more = visit(table, key, nil)
		case unstable.ArrayTable:
			table = arrays.append(key.names)
			more = visit(table, key, nil)
		case unstable.KeyValue:
			more = walkKeyValue(table, e, visit)
		}
		if !more {
			return
		}
	}
}

// walkKeyValue visits a key and the keys of inline tables in its value. It returns false if the visitor
// stopped the walk.
func walkKeyValue(table keyPath, e *unstable.Node, visit visitor) bool {
	key := keyOf(e)
	at := table.join(key.names)
	return visit(at, key, e.Value()) && walkValue(at, e.Value(), visit)
}

func walkValue(at keyPath, value *unstable.Node, visit visitor) bool {
	if value.Kind != unstable.Array && value.Kind != unstable.InlineTable {
		return true
	}
	more := true
	it := value.Children()
	for i := 0; more && it.Next(); i++ {
		child := it.Node()
		switch {
		case child.Kind == unstable.KeyValue:
			more = walkKeyValue(at, child, visit)
		case value.Kind == unstable.Array:
			more = walkValue(at.element(i), child, visit)
		}
	}
	return more
}

// arrayCounts holds the number of elements read so far, by the indexed path of each array of tables.
type arrayCounts map[string]int

// path returns the path of a table. Names of arrays of tables resolve to their last element.
func (a arrayCounts) path(names []string) keyPath {
	var p keyPath
	for _, n := range names {
		p = p.join([]string{n})
		if count, ok := a[p.indexed]; ok {
			p = p.element(count - 1)
		}
	}
	return p
}

// append adds an element to an array of tables and returns its path.
func (a arrayCounts) append(names []string) keyPath {
	last := len(names) - 1
	p := a.path(names[:last]).join(names[last:])
	i := a[p.indexed]
	a[p.indexed] = i + 1
	return p.element(i)
}

// keyOf returns an expression's key.
func keyOf(e *unstable.Node) keyInText {
	var k keyInText
	it := e.Key()
	for it.Next() {
		n := it.Node()
		if len(k.names) == 0 {
			k.offset = n.Raw.Offset
		}
		k.names = append(k.names, string(n.Data))
	}
	return k
}
