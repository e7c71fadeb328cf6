package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const goodConfig = `{"name":"n3","listen":"127.0.0.1:5000","discovery":"127.0.0.1:8500","seed":"fc1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":100,"sockets":512},"peers":[],
"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:1","status":"ready"}]},
"settings":{"balancers":5,"slot_no":3,"caps":{"connect_timeout_ns":120000000,"max_attempts":4},
"classes":[{"name":"saldo","effect":"retryable","aim_ns":250000000}],"membership_mode":"pushed"}}`

// loaded is a configuration as it is read from a file.
func loaded(t *testing.T, text string) Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := LoadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestLoadConfig(t *testing.T) {
	c := loaded(t, goodConfig)
	if c.Name != "n3" || c.Listen != "127.0.0.1:5000" || c.Discovery != "127.0.0.1:8500" || c.Sockets != 512 || c.MemoryMB != 100 ||
		uint64(c.Seed) != 0xfc1f30d27a5be964 || c.known.Index != 41 || len(c.known.Entries) != 1 ||
		c.Settings.Self != 3 || c.Settings.ConnectTimeout != 120*time.Millisecond || c.Settings.Classes[0].Name != "saldo" {
		t.Errorf("%+v", c)
	}
	if _, err := LoadConfig(filepath.Join(t.TempDir(), "config.json")); err == nil {
		t.Error("a missing file is no error")
	}
}

func TestBadConfig(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{goodConfig, "", "unexpected end"},
		{goodConfig, "[]", "cannot unmarshal"},
		{`"settings"`, `"other"`, "settings are missing"},
		{`"pushed"`, `"odd"`, "membership_mode"},
		{`"retryable"`, `"odd"`, "unknown effect"},
		{`"127.0.0.1:5000"`, `"127.0.0.1"`, "listen"},
		{`"127.0.0.1:8500"`, `""`, "discovery"},
		{`"fc1f30d27a5be964"`, `"seed"`, "seed"},
		{`512`, `8`, "sockets"},
	} {
		_, err := parseConfig([]byte(strings.Replace(goodConfig, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: error %v, want one line with %q", c.new, c.old, err, c.want)
		}
	}
}

// TestReloadNamesWhatItPassesOver guards against keys of a new configuration that are dropped without a word.
func TestReloadNamesWhatItPassesOver(t *testing.T) {
	old := loaded(t, goodConfig)
	if keys := old.passedOver(old, old.known.Index); len(keys) > 0 {
		t.Errorf("of the same configuration %v are passed over", keys)
	}
	next := old
	next.Name, next.Listen, next.Peer, next.Seed, next.MemoryMB, next.Sockets, next.Settings.Nodes = "x", "x", "x", 0, 0, 0, 0
	next.known.Index = 1000
	if keys := old.passedOver(next, 999); len(keys) != 8 {
		t.Errorf("passed over are %v, want all eight", keys)
	}
}
