package node

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"indigotack/internal/standin"
)

// loggedUnknown loads a configuration and gives the lines that warn of what is unknown.
func loggedUnknown(t *testing.T, config string) []string {
	t.Helper()
	log, c := &standin.LogBuffer{}, loaded(t, config)
	c.LogUnknown(slog.New(slog.NewTextHandler(log, nil)))
	return strings.Split(strings.TrimSuffix(log.String(), "\n"), "\n")
}

func TestUnknownKeysAndVariablesAreLoggedWithoutValues(t *testing.T) {
	t.Setenv("GW_COLOUR", "topsecret")
	t.Setenv("GW_NAME", "n3")
	config := strings.Replace(goodConfig, `"cores":1.0`, `"cores":1.0,"fans":"topsecret"`, 1)
	config = strings.Replace(config, `"name":"n3"`, `"Name":"n3","peer_listen":"","peers_all":"","orders":{"at":"topsecret"}`, 1)
	config = strings.Replace(config, `"balancers":5`, `"balancers":5,"unheard_of":1`, 1)
	lines := loggedUnknown(t, config)
	if len(lines) != 4 {
		t.Fatalf("%d lines, want one each of three keys and a variable:\n%s", len(lines), strings.Join(lines, "\n"))
	}
	for i, want := range []string{`value="text of 9 bytes" key=limits.fans`, `value="object with at" key=orders`, "value=number key=settings.unheard_of", `value="text of 9 bytes" variable=GW_COLOUR`} {
		has := func(line string) bool { return strings.HasSuffix(line, want) && strings.Contains(line, "level=WARN") }
		if !slices.ContainsFunc(lines, has) {
			t.Errorf("line %d: no warning that ends with %s:\n%s", i, want, strings.Join(lines, "\n"))
		}
	}
	if strings.Contains(strings.Join(lines, ""), "topsecret") {
		t.Errorf("a value is logged:\n%s", strings.Join(lines, "\n"))
	}
}

func TestManyUnknownKeysAreCapped(t *testing.T) {
	var keys strings.Builder
	for i := range mostUnknown + 7 {
		fmt.Fprintf(&keys, `"odd_%03d":1,`, i)
	}
	lines := loggedUnknown(t, "{"+keys.String()+strings.TrimPrefix(goodConfig, "{"))
	if len(lines) != mostUnknown+1 || !strings.HasSuffix(lines[mostUnknown], "more=7") {
		t.Errorf("%d lines, want %d and one that tells of 7 more:\n%s", len(lines), mostUnknown, strings.Join(lines, "\n"))
	}
}

func TestSoundConfigurationLogsNothingUnknown(t *testing.T) {
	if lines := loggedUnknown(t, goodConfig); lines[0] != "" {
		t.Errorf("logged: %s", strings.Join(lines, "\n"))
	}
}

// TestWhatIsKnownAndNotUsedHasAReason guards against values that the node knows and passes over with no reason in the log.
func TestWhatIsKnownAndNotUsedHasAReason(t *testing.T) {
	t.Setenv("GW_LISTEN", "127.9.9.9:1")
	t.Setenv("GW_NAME", "n3")
	log, c := &standin.LogBuffer{}, loaded(t, strings.Replace(goodConfig, `"name":"n3"`, `"name":"n3","peers_all":"127.9.9.9:2"`, 1))
	c.LogUnused(slog.New(slog.NewTextHandler(log, nil)))
	for _, want := range []string{"limits.cores (number): " + whyNoCores, "peers (list of 0): " + whyNoPeers, "peers_all (text of 11 bytes): " + whyNoPeers, "GW_LISTEN (text of 11 bytes): " + whyOtherConfig} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no line has %q:\n%s", want, log)
		}
	}
	if strings.Contains(log.String(), "127.9.9.9") || strings.Contains(log.String(), "GW_NAME") {
		t.Errorf("a value is logged, or a variable that agrees:\n%s", log)
	}
}
