// Package conf reads operators' files: TOML 1.0 into a tree that knows where
// each value stands, and sections that take typed values out of it and collect
// every mistake instead of stopping at the first. It knows no file's meaning.
package conf

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Bounds of a file. What is beyond them is a mistake, found before parsing.
const (
	MaxSize  = 1 << 20 // bytes; ten thousand routes take half of it
	MaxDepth = 16      // of arrays and inline tables within each other
)

// Mistakes counted beyond this many are only summed up: a file of another
// kind would fill the screen.
const maxMistakes = 200

// Pos is a place in a file, both counted from 1. The zero Pos is the file as a whole.
type Pos struct{ Line, Column int }

// Mistake is one thing that is wrong in a file.
type Mistake struct {
	File   string `json:"file"`
	Line   int    `json:"line"`   // from 1, also for the file as a whole
	Column int    `json:"column"` // from 1, in bytes
	What   string `json:"what"`   // the key or thing
	Value  string `json:"value,omitempty"`
	Want   string `json:"want"`
}

// String is the mistake on one line: file:line:column: what, value, what is wanted.
func (m Mistake) String() string {
	s := fmt.Sprintf("%s:%d:%d: %s", m.File, m.Line, m.Column, m.What)
	if m.Value != "" {
		s += ", " + m.Value
	}
	return s + ", want " + m.Want
}

// Mistakes is an error that holds all mistakes of one or more files.
type Mistakes []Mistake

// Error is all of them, a line each.
func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, one := range m {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Kind is the type of a value.
type Kind int

// The kinds of values.
const (
	Other Kind = iota // dates and times, which no file here uses
	String
	Integer
	Float
	Bool
	Array
	TableKind
)

var kindNames = map[Kind]string{Other: "a date or time", String: "a string", Integer: "a whole number",
	Float: "a number", Bool: "true or false", Array: "an array", TableKind: "a table"}

type value struct {
	kind  Kind
	pos   Pos
	text  string // of a string: the string; of other scalars: as written
	table *table
	array []*value
}

// shown is the value as a mistake quotes it.
func (v *value) shown() string {
	switch v.kind {
	case String:
		return quote(v.text)
	case Array, TableKind:
		return kindNames[v.kind]
	}
	return v.text
}

func quote(s string) string {
	const most = 60
	if len(s) > most {
		return strconv.Quote(s[:most]) + "..."
	}
	return strconv.Quote(s)
}

type table struct {
	pos  Pos
	keys map[string]*member
	list []string // in the file's order
}

type member struct {
	pos Pos // of the key
	*value
}

func (t *table) set(name string, pos Pos, v *value) {
	if t.keys[name] == nil {
		t.list = append(t.list, name)
	}
	t.keys[name] = &member{pos: pos, value: v}
}

func newTable(pos Pos) *table { return &table{pos: pos, keys: map[string]*member{}} }

// Doc is a file that is being read, with the mistakes found so far.
type Doc struct {
	File     string
	Mistakes Mistakes
	more     int
	root     *table
}

// ReadFile reads and parses the file at path. A file that can't be read is a mistake too.
func ReadFile(path string) *Doc {
	info, err := os.Stat(path)
	switch {
	case err != nil:
		return broken(path, err.Error())
	case !info.Mode().IsRegular():
		return broken(path, "not a regular file")
	case info.Size() > MaxSize:
		return tooLarge(path, info.Size())
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return broken(path, err.Error())
	}
	return Parse(path, data)
}

func broken(path, why string) *Doc {
	d := &Doc{File: path, root: newTable(Pos{})}
	d.Add(Pos{}, "the file", why, "a readable TOML file")
	return d
}

func tooLarge(path string, size int64) *Doc {
	d := &Doc{File: path, root: newTable(Pos{})}
	d.Add(Pos{}, "the file", fmt.Sprintf("%d bytes", size), fmt.Sprintf("at most %d", MaxSize))
	return d
}

// Parse parses TOML. Of mistakes in the syntax the first alone is known, as
// what follows can't be told; the tree is then empty.
func Parse(file string, data []byte) *Doc {
	d := &Doc{File: file, root: newTable(Pos{})}
	if len(data) > MaxSize {
		return tooLarge(file, int64(len(data)))
	}
	if at := invalid(data); at >= 0 {
		d.Add(position(data, at), "the text", fmt.Sprintf("byte 0x%02x", data[at]), "UTF-8")
		return d
	}
	if at := tooDeep(data); at >= 0 {
		d.Add(position(data, at), "the nesting", fmt.Sprintf("over %d levels", MaxDepth), "fewer")
		return d
	}
	// The library's own decoder has the last word on what is TOML: repeated
	// keys, tables defined twice. The tree is then built from its parser.
	var any map[string]any
	if err := toml.Unmarshal(data, &any); err != nil {
		pos, why := Pos{}, strings.TrimPrefix(err.Error(), "toml: ")
		var de *toml.DecodeError
		if errors.As(err, &de) {
			pos.Line, pos.Column = de.Position()
		}
		d.Add(pos, "the syntax", why, "TOML 1.0")
		return d
	}
	b := builder{data: data, lines: lineStarts(data)}
	b.p.Reset(data)
	if err := b.build(d.root); err != nil {
		d.root = newTable(Pos{})
		d.Add(Pos{}, "the syntax", err.Error(), "TOML 1.0")
	}
	return d
}

func invalid(data []byte) int {
	for i := 0; i < len(data); {
		r, n := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return -1
}

func position(data []byte, at int) Pos {
	before := data[:at]
	return Pos{Line: bytes.Count(before, []byte("\n")) + 1, Column: at - bytes.LastIndexByte(before, '\n')}
}

// tooDeep finds where brackets outside strings and comments nest too deep: the
// parser recurses, and a file must not be able to take its stack.
func tooDeep(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch c := data[i]; c {
		case '#':
			for i < len(data) && data[i] != '\n' {
				i++
			}
		case '"', '\'':
			i = stringEnd(data, i)
		case '[', '{':
			if depth++; depth > MaxDepth {
				return i
			}
		case ']', '}':
			depth = max(0, depth-1)
		}
	}
	return -1
}

// stringEnd is the place of the last byte of the string that begins at i.
func stringEnd(data []byte, i int) int {
	c, mark := data[i], []byte{data[i]}
	if bytes.HasPrefix(data[i:], []byte{c, c, c}) {
		mark = []byte{c, c, c}
	} else if bytes.HasPrefix(data[i:], []byte{c, c}) {
		return i + 1
	}
	for i += len(mark); i < len(data); i++ {
		switch {
		case c == '"' && data[i] == '\\':
			i++
		case len(mark) == 1 && data[i] == '\n':
			return i // not ended: the parser will say so
		case bytes.HasPrefix(data[i:], mark):
			return i + len(mark) - 1
		}
	}
	return i
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, c := range data {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

type builder struct {
	p     unstable.Parser
	data  []byte
	lines []int
}

func (b *builder) at(offset int) Pos {
	line, found := slices.BinarySearch(b.lines, offset)
	if !found {
		line--
	}
	return Pos{Line: line + 1, Column: offset - b.lines[line] + 1}
}

func (b *builder) pos(n *unstable.Node) Pos { return b.at(int(n.Raw.Offset)) }

// build fills the tree. The document is known to be sound.
func (b *builder) build(root *table) error {
	current := root
	for b.p.NextExpression() {
		e := b.p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			parent, name, pos := b.descend(root, e.Key())
			m := parent.keys[name]
			if e.Kind == unstable.ArrayTable {
				current = newTable(pos)
				if m == nil {
					parent.set(name, pos, &value{kind: Array, pos: pos})
					m = parent.keys[name]
				}
				m.array = append(m.array, &value{kind: TableKind, pos: pos, table: current})
				continue
			}
			if m != nil && m.table != nil {
				current = m.table
				continue
			}
			current = newTable(pos)
			parent.set(name, pos, &value{kind: TableKind, pos: pos, table: current})
		case unstable.KeyValue:
			b.keyValue(current, e)
		}
	}
	return b.p.Error()
}

func (b *builder) keyValue(in *table, e *unstable.Node) {
	parent, name, pos := b.descend(in, e.Key())
	parent.set(name, pos, b.value(e.Value(), pos))
}

// descend follows a dotted key to the table that holds its last part.
func (b *builder) descend(t *table, key unstable.Iterator) (parent *table, name string, pos Pos) {
	for key.Next() {
		n := key.Node()
		name, pos = string(n.Data), b.pos(n)
		if key.IsLast() {
			break
		}
		m := t.keys[name]
		switch {
		case m == nil:
			next := newTable(pos)
			t.set(name, pos, &value{kind: TableKind, pos: pos, table: next})
			t = next
		case m.table != nil:
			t = m.table
		case len(m.array) > 0 && m.array[len(m.array)-1].table != nil:
			t = m.array[len(m.array)-1].table
		}
	}
	return t, name, pos
}

// value converts a value; those that do not tell their place have their key's.
func (b *builder) value(n *unstable.Node, pos Pos) *value {
	if n.Raw.Length > 0 {
		pos = b.pos(n)
	}
	v := &value{pos: pos, text: string(n.Data)}
	switch n.Kind {
	case unstable.String:
		v.kind = String
	case unstable.Integer:
		v.kind = Integer
	case unstable.Float:
		v.kind = Float
	case unstable.Bool:
		v.kind = Bool
	case unstable.Array:
		v.kind = Array
		for it := n.Children(); it.Next(); {
			if it.Node().Kind != unstable.Comment {
				v.array = append(v.array, b.value(it.Node(), pos))
			}
		}
	case unstable.InlineTable:
		v.kind, v.table = TableKind, newTable(pos)
		for it := n.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				b.keyValue(v.table, it.Node())
			}
		}
	}
	return v
}

// Add notes a mistake.
func (d *Doc) Add(pos Pos, what, value, want string) {
	if len(d.Mistakes) >= maxMistakes {
		d.more++
		return
	}
	d.Mistakes = append(d.Mistakes, Mistake{File: d.File, Line: max(1, pos.Line), Column: max(1, pos.Column), What: what, Value: value, Want: want})
}

// Sorted is the mistakes in the file's order.
func (d *Doc) Sorted() Mistakes {
	out := slices.Clone(d.Mistakes)
	slices.SortStableFunc(out, func(a, b Mistake) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	if d.more > 0 {
		out = append(out, Mistake{File: d.File, Line: 1, Column: 1, What: "the file", Value: fmt.Sprintf("%d more mistakes", d.more), Want: "the ones above mended first"})
	}
	return out
}
