package conf

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Section takes typed values out of one table. Each key asked for is known
// from then on; End reports the ones that were not.
type Section struct {
	doc   *Doc
	t     *table
	name  string // how mistakes call it
	known []string
}

// Root is the file's top table.
func (d *Doc) Root() *Section { return &Section{doc: d, t: d.root} }

// Name is how mistakes call the section; SetName replaces it by one that tells
// this section from its likes.
func (s *Section) Name() string { return s.name }

// SetName: see Name.
func (s *Section) SetName(name string) { s.name = name }

func (s *Section) what(key string) string {
	if s.name == "" {
		return key
	}
	return s.name + ": " + key
}

func (s *Section) get(key string) *member {
	if !slices.Contains(s.known, key) {
		s.known = append(s.known, key)
	}
	return s.t.keys[key]
}

// Has tells whether the key is there.
func (s *Section) Has(key string) bool { return s.get(key) != nil }

// Pos is where a key's value stands, or else the section itself.
func (s *Section) Pos(key string) Pos {
	if m := s.t.keys[key]; m != nil {
		return m.value.pos
	}
	return s.t.pos
}

// Bad notes that a key's value is not what is wanted, or that the key is missing.
func (s *Section) Bad(key, want string, args ...any) {
	shown := "missing"
	if m := s.t.keys[key]; m != nil {
		shown = m.shown()
	}
	s.doc.Add(s.Pos(key), s.what(key), shown, fmt.Sprintf(want, args...))
}

// of gets a key's value if it is of the kind.
func (s *Section) of(key string, kind Kind, want string) *member {
	m := s.get(key)
	if m == nil {
		return nil
	}
	if m.kind != kind && !(kind == Float && m.kind == Integer) {
		s.Bad(key, "%s", want)
		return nil
	}
	return m
}

// String is a key's string, or fallback where the key is missing or bad.
func (s *Section) String(key, fallback string) string {
	if m := s.of(key, String, "a string"); m != nil {
		return m.text
	}
	return fallback
}

// OneOf is a key's string, which must be one of those listed.
func (s *Section) OneOf(key, fallback string, words ...string) string {
	want := "one of " + strings.Join(words, ", ")
	m := s.of(key, String, want)
	if m == nil {
		return fallback
	}
	if !slices.Contains(words, m.text) {
		if near := nearest(m.text, words); near != "" {
			want += fmt.Sprintf(" (is %s meant?)", near)
		}
		s.Bad(key, "%s", want)
		return fallback
	}
	return m.text
}

// Bool is a key's truth value.
func (s *Section) Bool(key string, fallback bool) bool {
	if m := s.of(key, Bool, "true or false"); m != nil {
		return m.text == "true"
	}
	return fallback
}

// Int is a key's whole number between two bounds.
func (s *Section) Int(key string, fallback, least, most int) int {
	want := fmt.Sprintf("a whole number from %d to %d", least, most)
	if least == most {
		want = strconv.Itoa(least)
	}
	m := s.of(key, Integer, want)
	if m == nil {
		return fallback
	}
	v, err := strconv.ParseInt(strings.ReplaceAll(m.text, "_", ""), 0, 64)
	if err != nil || v < int64(least) || v > int64(most) {
		s.Bad(key, "%s", want)
		return fallback
	}
	return int(v)
}

// Float is a key's number between two bounds.
func (s *Section) Float(key string, fallback, least, most float64) float64 {
	want := fmt.Sprintf("a number from %v to %v", least, most)
	m := s.of(key, Float, want)
	if m == nil {
		return fallback
	}
	v, err := strconv.ParseFloat(strings.ReplaceAll(m.text, "_", ""), 64)
	if err != nil || math.IsNaN(v) || v < least || v > most {
		s.Bad(key, "%s", want)
		return fallback
	}
	return v
}

// Duration is a key's time, written as "250ms" or "1m30s", between two bounds.
func (s *Section) Duration(key string, fallback, least, most time.Duration) time.Duration {
	want := fmt.Sprintf("a time such as \"250ms\", from %v to %v", least, most)
	m := s.of(key, String, want)
	if m == nil {
		return fallback
	}
	v, err := time.ParseDuration(m.text)
	if err != nil || v < least || v > most {
		s.Bad(key, "%s", want)
		return fallback
	}
	return v
}

// Strings is a key's array of strings; nil if the key is missing or bad.
func (s *Section) Strings(key string) []string {
	m := s.of(key, Array, "an array of strings")
	if m == nil {
		return nil
	}
	out := make([]string, 0, len(m.array))
	for i, v := range m.array {
		if v.kind != String {
			s.doc.Add(v.pos, fmt.Sprintf("%s[%d]", s.what(key), i), v.shown(), "a string")
			return nil
		}
		out = append(out, v.text)
	}
	return out
}

// Table is a sub-table; one that is missing is as an empty one at its parent's place.
func (s *Section) Table(key string) *Section {
	sub := &Section{doc: s.doc, t: newTable(s.t.pos), name: s.what(key)}
	if m := s.of(key, TableKind, fmt.Sprintf("a table [%s]", key)); m != nil {
		sub.t = m.table
	}
	return sub
}

// Tables is an array of tables, [[key]] or an array of inline tables.
func (s *Section) Tables(key string) []*Section {
	want := fmt.Sprintf("tables [[%s]]", key)
	m := s.of(key, Array, want)
	if m == nil {
		return nil
	}
	var out []*Section
	for i, v := range m.array {
		name := fmt.Sprintf("%s[%d]", s.what(key), i)
		if v.kind != TableKind {
			s.doc.Add(v.pos, name, v.shown(), want)
			continue
		}
		out = append(out, &Section{doc: s.doc, t: v.table, name: name})
	}
	return out
}

// Keys is the section's keys in the file's order, all of them known from then on.
func (s *Section) Keys() []string {
	s.known = append(s.known, s.t.list...)
	return s.t.list
}

// End reports the keys that nobody asked for, each with the nearest known one.
func (s *Section) End() {
	for _, key := range s.t.list {
		if slices.Contains(s.known, key) {
			continue
		}
		want := "no such key"
		if near := nearest(key, s.known); near != "" {
			want = fmt.Sprintf("a known key (is %s meant?)", near)
		} else if len(s.known) > 0 {
			known := slices.Sorted(slices.Values(s.known))
			want = "one of " + strings.Join(known, ", ")
		}
		s.doc.Add(s.t.keys[key].pos, s.what(key), "unknown key", want)
	}
}

// nearest finds the word that differs least, if by no more than a third.
func nearest(word string, from []string) string {
	best, least := "", max(2, len(word)/3)+1
	if len(word) > 64 {
		return ""
	}
	for _, w := range from {
		if d := distance(strings.ToLower(word), strings.ToLower(w)); d < least {
			best, least = w, d
		}
	}
	return best
}

// distance is the Levenshtein distance, in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
