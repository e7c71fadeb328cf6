package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"indigotack/decide"
	"indigotack/internal/discovery"
	"indigotack/internal/operators"
	"indigotack/internal/wire"
)

// What a node without stated limits may use.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastSockets    = 64 // below this no node can serve
)

// Config is what a node is told at its start.
type Config struct {
	Name      string
	Listen    string          // where clients connect
	Discovery string          // where the list of servers comes from
	Operators operators.Found // where operators are answered, also beside Listen
	Peer      string          // where datagrams of other nodes would come; "": nowhere
	Seed      int64
	MemoryMB  int
	Sockets   int // file descriptors
	Settings  decide.Settings

	known discovery.List // the servers as the node last had them

	rawSettings json.RawMessage // the text of Settings

	unknownKeys      []unknownValue // of the configuration
	unknownVariables []unknownValue // of the environment
	unused           []unusedValue
}

// LoadConfig reads the configuration file at path.
func LoadConfig(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	c, err := parseConfig(raw)
	if err != nil {
		return Config{}, fmt.Errorf("config %s: %w", path, err)
	}
	environment := os.Environ()
	c.Operators = operators.Find(raw, environment, c.Listen)
	c.findUnknown(raw, environment)
	c.unused = unusedValues(raw, environment)
	return c, nil
}

// CheckFile gives an error unless a path is that of an ordinary file. A program
// that serves must not wait for what others may write to a pipe.
func CheckFile(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if !info.Mode().IsRegular() {
		return fmt.Errorf("%s is no file: %s", path, info.Mode().Type())
	}
	return nil
}

func parseConfig(raw []byte) (Config, error) {
	var in struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Seed      string `json:"seed"`
		Limits    struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int `json:"sockets"`
		} `json:"limits"`
		Peer     lenientText     `json:"peer_listen"`
		Known    discovery.List  `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return Config{}, err
	}
	if in.Settings == nil {
		return Config{}, errors.New("settings are missing")
	}
	settings, err := wire.DecodeSettings(in.Settings)
	if err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	for _, a := range []struct{ key, value string }{{"listen", in.Listen}, {"discovery", in.Discovery}} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return Config{}, fmt.Errorf("%s: %w", a.key, err)
		}
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("seed: %w", err)
	}
	c := Config{Name: in.Name, Listen: in.Listen, Discovery: in.Discovery, Peer: string(in.Peer), Seed: int64(seed),
		MemoryMB: in.Limits.MemoryMB, Sockets: in.Limits.Sockets, Settings: settings, known: in.Known, rawSettings: in.Settings}
	if c.MemoryMB <= 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.Sockets <= 0 {
		c.Sockets = defaultSockets
	}
	if c.Sockets < leastSockets {
		return Config{}, fmt.Errorf("limits: %d sockets are too few, want %d or more", c.Sockets, leastSockets)
	}
	return c, nil
}

// lenientText is a text that must not keep a configuration from being read:
// where something else stands, it is that as it is written.
type lenientText string

func (t *lenientText) UnmarshalJSON(raw []byte) error {
	var text string
	if json.Unmarshal(raw, &text) != nil {
		text = string(raw)
	}
	*t = lenientText(text)
	return nil
}
