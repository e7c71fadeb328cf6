package rig

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// TestCheckers: each history of testdata/checks.txt gets the findings that it
// names, and no others. A line of socket_faults has some of them fail, one of platform
// is of a platform's nodes. A history is a line for each event: seconds, what
// happened, key=value; its head is the checkers that find something, by number.
func TestCheckers(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "checks.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range strings.Split(string(text), "\n== ")[1:] {
		head, body, _ := strings.Cut(one, "\n")
		name, want, _ := strings.Cut(head, " =>")
		p := defaults()
		p.Classes = defaultClasses()
		p.Zones = []string{"a", "b"}
		p.Want.After, p.Want.Recover = 0.5, 0
		var events []Event
		for i, line := range strings.Split(strings.TrimSpace(body), "\n") {
			switch line, found := strings.CutPrefix(line, "fault "); {
			case found:
				q, err := ParsePlan(name, []byte(fmt.Sprintf("[fleet]\nplatform = %v\nzones = [\"a\", \"b\"]\n[[fault]]\n", p.Platform)+strings.ReplaceAll(line, "; ", "\n")))
				if err != nil {
					t.Fatal(err)
				}
				p.Faults = append(p.Faults, q.Faults...)
			case strings.HasPrefix(line, "socket_faults "):
				p.Sockets = 0.01
			case line == "platform":
				p.Platform = true
			default:
				e, err := event(line)
				if err != nil {
					t.Fatalf("%s, line %d: %v", name, i+1, err)
				}
				events = append(events, e)
			}
		}
		got := ""
		report := Judge(&p, events)
		for _, c := range report.Checks {
			if c.Found > 0 {
				got += fmt.Sprintf(" %s %d", c.Name, c.Found)
			}
		}
		if got != strings.TrimRight(want, " ") {
			t.Errorf("%s: found%s, want%s\n%v", name, got, want, report.Violations)
		}
	}
}

func event(line string) (e Event, err error) {
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return e, fmt.Errorf("%q is no event", line)
	}
	at, err := strconv.ParseFloat(fields[0], 64)
	if err != nil {
		return e, err
	}
	values := map[string]any{"t": int64(at * 1e9), "what": fields[1]}
	for _, f := range fields[2:] {
		key, value, _ := strings.Cut(f, "=")
		if values[key] = any(strings.ReplaceAll(value, "_", " ")); key == "n" || key == "most" {
			if values[key], err = strconv.ParseFloat(value, 64); err != nil {
				return e, err
			}
		}
	}
	b, err := json.Marshal(values)
	if err == nil {
		err = json.Unmarshal(b, &e)
	}
	return e, err
}
