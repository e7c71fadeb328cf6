package conf

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const sample = `# a comment with ] and "
name = "x"
number = 1_000
when = 1979-05-27
list = ["a", 'b', # here
  """c"""]
[sub]
wait = "1m30s"
share = 0.5
whole = 2
yes = true
[[part]]
name = "one"
inner = { a = 1, b.c = "deep" }
[[part]]
name = "two"
  [part.below]
  z = 1
`

func TestTree(t *testing.T) {
	d := Parse("f", []byte(sample))
	if len(d.Mistakes) > 0 {
		t.Fatal(d.Sorted())
	}
	s := d.Root()
	sub, parts := s.Table("sub"), s.Tables("part")
	if s.String("name", "") != "x" || s.Int("number", 0, 0, 2000) != 1000 || strings.Join(s.Strings("list"), "") != "abc" ||
		sub.Duration("wait", 0, 0, time.Hour) != 90*time.Second || sub.Float("share", 0, 0, 1) != 0.5 || sub.Float("whole", 0, 0, 9) != 2 ||
		!sub.Bool("yes", false) || len(parts) != 2 || parts[0].Table("inner").Table("b").String("c", "") != "deep" ||
		parts[1].Table("below").Int("z", 0, 0, 9) != 1 || parts[0].String("name", "") != "one" {
		t.Errorf("values: %+v", d.root)
	}
	if p := parts[1].Pos("name"); p != (Pos{16, 8}) {
		t.Errorf("part two's name stands at %v", p)
	}
	if p := s.Pos("number"); p != (Pos{3, 10}) {
		t.Errorf("number stands at %v", p)
	}
	s.Int("when", 0, 0, 1)
	s.End()
	parts[0].End()
	if got := d.Sorted().Error(); !strings.Contains(got, "f:4:8: when") || !strings.HasPrefix(got, "f:4") {
		t.Errorf("mistakes: %s", got)
	}
}

// TestEveryWrongType: each getter tells of each type that it can't take, and falls back.
func TestEveryWrongType(t *testing.T) {
	values := map[string]string{"string": `"s"`, "int": "1", "float": "1.5", "bool": "true", "array": "[1]", "table": "{ a = 1 }", "date": "1979-05-27"}
	getters := map[string]func(*Section) any{
		"string":   func(s *Section) any { return s.String("k", "d") },
		"int":      func(s *Section) any { return s.Int("k", 7, 0, 9) },
		"bool":     func(s *Section) any { return s.Bool("k", false) },
		"float":    func(s *Section) any { return s.Float("k", 7, 0, 9) },
		"strings":  func(s *Section) any { return s.Strings("k") },
		"duration": func(s *Section) any { return s.Duration("k", 7, 0, 9) },
		"table":    func(s *Section) any { return len(s.Table("k").t.list) },
		"tables":   func(s *Section) any { return len(s.Tables("k")) },
		"oneof":    func(s *Section) any { return s.OneOf("k", "d", "s") },
	}
	fits := map[string]bool{"string string": true, "oneof string": true, "int int": true, "float int": true, "float float": true, "bool bool": true, "table table": true}
	for g, get := range getters {
		for v, text := range values {
			d := Parse("f", []byte("k = "+text+"\n"))
			get(d.Root())
			if wrong := len(d.Mistakes) > 0; wrong == fits[g+" "+v] {
				t.Errorf("%s of a %s: mistakes %v", g, v, d.Mistakes)
			}
			if len(d.Mistakes) > 0 && d.Mistakes[0].Line != 1 {
				t.Errorf("%s of a %s: no place in %v", g, v, d.Mistakes)
			}
		}
	}
}

func TestBounds(t *testing.T) {
	d := Parse("f", []byte("a = 11\nb = -0.1\nc = \"2h\"\nd = 99999999999999999999\ne = nan\n"))
	s := d.Root()
	s.Int("a", 0, 0, 10)
	s.Float("b", 0, 0, 1)
	s.Duration("c", 0, 0, time.Hour)
	s.Int("d", 0, 0, 10)
	s.Float("e", 0, 0, 1)
	if len(d.Mistakes) != 5 && len(d.root.list) > 0 {
		t.Errorf("mistakes %v", d.Sorted())
	}
}

func TestNearest(t *testing.T) {
	for word, want := range map[string]string{"adress": "address", "ADDRESS": "address", "prot": "port", "zzzzzz": "", strings.Repeat("x", 1000): ""} {
		if got := nearest(word, []string{"address", "port"}); got != want {
			t.Errorf("%.10s: %q, want %q", word, got, want)
		}
	}
}

// TestDepth: brackets in strings and comments are text, and unclosed ones are counted.
func TestDepth(t *testing.T) {
	in := strings.Repeat("[", MaxDepth+1)
	for text, bad := range map[string]bool{
		"a = \"" + in + "\"": false, "a = '" + in + "'": false, "# " + in: false, "a = \"\"\"\n" + in + "\"\"\"": false, "a = '''" + in + "'''": false,
		"a = \"\\\"" + in + "\"": false, "a = " + in: true, "a = \"\"\nb = " + in: true, "a = \"x\\\\\"\nb = " + in: true,
	} {
		if got := tooDeep([]byte(text)) >= 0; got != bad {
			t.Errorf("%.30q: too deep %v", text, got)
		}
	}
	if d := Parse("f", []byte("a = "+strings.Repeat("[", 100000))); len(d.Mistakes) != 1 {
		t.Errorf("deep nesting: %v", d.Mistakes)
	}
}

func TestMistakesAreCapped(t *testing.T) {
	var b strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&b, "unknown_%d = 1\n", i)
	}
	d := Parse("f", []byte(b.String()))
	d.Root().End()
	if got := d.Sorted(); len(got) != maxMistakes+1 || !strings.Contains(got[maxMistakes].String(), "800 more") {
		t.Errorf("%d mistakes", len(got))
	}
}

func TestReadFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	if d := ReadFile(path); len(d.Mistakes) != 1 {
		t.Errorf("no file: %v", d.Mistakes)
	}
	if err := os.WriteFile(path, make([]byte, MaxSize+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if d := ReadFile(path); len(d.Mistakes) != 1 || !strings.Contains(d.Mistakes[0].Value, "bytes") {
		t.Errorf("a large file: %v", d.Mistakes)
	}
}

func FuzzTree(f *testing.F) {
	f.Add(sample)
	f.Add("a.b = 1\n[a]\nc = 1")
	f.Add("[[a]]\n[a.b]\n[[a.b.c]]\nx = [[1], {y = 2}]")
	f.Fuzz(func(t *testing.T, text string) {
		d := Parse("f", []byte(text))
		for _, key := range d.Root().Keys() {
			if d.root.keys[key] == nil {
				t.Fatalf("no value for %q", key)
			}
			if p := d.Root().Pos(key); len(d.Mistakes) == 0 && (p.Line < 1 || p.Column < 1 || p.Line > strings.Count(text, "\n")+1) {
				t.Fatalf("%q stands at %v", key, p)
			}
		}
	})
}
