package node

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"

	"indigotack/internal/jsonkeys"
	"indigotack/internal/operators"
	"indigotack/internal/wire"
)

// mostUnknown is how many unknown names are logged one by one.
const mostUnknown = 20

// configKeys are the keys that a platform may write in a node's configuration,
// whether or not the node uses them. Those of settings are the wire's.
type configKeys struct {
	Name       any `json:"name"`
	Listen     any `json:"listen"`
	Discovery  any `json:"discovery"`
	Seed       any `json:"seed"`
	Known      any `json:"known"`
	Settings   any `json:"settings"`
	PeerListen any `json:"peer_listen"`
	Peers      any `json:"peers"`
	PeersAll   any `json:"peers_all"`
	Limits     struct {
		Cores    any `json:"cores"`
		MemoryMB any `json:"memory_mb"`
		Sockets  any `json:"sockets"`
	} `json:"limits"`
	AdminListen any `json:"admin_listen"`
	Admin       struct {
	} `json:"admin"`
	Control struct {
	} `json:"control"`
}

// knownVariables are those that a platform may set for a node.
var knownVariables = []string{"GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONFIG"}

// unknownValue is a value that a node was told by a name that it does not know.
type unknownValue struct{ name, kind string }

// findUnknown finds the names that the node does not know, in a configuration
// that has been read and in an environment in the form of os.Environ. Those by
// which operators' addresses were told are known.
func (c *Config) findUnknown(raw []byte, environment []string) {
	known := func(v unknownValue) bool { return c.Operators.Knows(v.name) }
	c.unknownKeys = slices.DeleteFunc(unknownKeys(raw), known)
	c.unknownVariables = slices.DeleteFunc(unknownVariables(environment), known)
}

// unknownKeys gives the keys of a configuration that the node does not know, in order.
func unknownKeys(raw []byte) []unknownValue {
	values := jsonkeys.UnknownValues(raw, configKeys{})
	unknown := withKinds(values, "")
	var in struct {
		Settings json.RawMessage `json:"settings"`
	}
	if json.Unmarshal(raw, &in) == nil {
		unknown = append(unknown, withKinds(wire.UnknownSettings(in.Settings), "settings.")...)
	}
	return unknown
}

// withKinds are values by their names, in order.
func withKinds(values map[string]json.RawMessage, prefix string) (unknown []unknownValue) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		unknown = append(unknown, unknownValue{prefix + name, operators.KindOf(values[name])})
	}
	return unknown
}

// unknownVariables gives a platform's variables in an environment, in the form of
// os.Environ, that the node does not know, in order.
func unknownVariables(environment []string) (unknown []unknownValue) {
	for _, variable := range environment {
		name, value, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, operators.EnvironmentPrefix) && !slices.Contains(knownVariables, name) && !operators.IsDocumentedVariable(name) {
			unknown = append(unknown, unknownValue{name, operators.Kind(value)})
		}
	}
	slices.SortFunc(unknown, func(a, b unknownValue) int { return strings.Compare(a.name, b.name) })
	return unknown
}

// unknownNames are those of keys and variables, cut for the log, each with the
// kind of its value.
func (c Config) unknownNames() (names, kinds []string) {
	for _, v := range slices.Concat(c.unknownKeys, c.unknownVariables) {
		names = append(names, shortened(v.name))
		kinds = append(kinds, shortened(v.kind))
	}
	return names, kinds
}

// LogUnknown warns of what the node was told and does not know: names and kinds,
// never values, which may be secret.
func (c Config) LogUnknown(log *slog.Logger) {
	warnOfEach(log, "unknown key in the configuration, passed over", "key", c.unknownKeys)
	warnOfEach(log, "unknown variable in the environment, passed over", "variable", c.unknownVariables)
}

func warnOfEach(log *slog.Logger, message, what string, unknown []unknownValue) {
	for i, v := range unknown {
		if i == mostUnknown {
			log.Warn(message, "more", len(unknown)-mostUnknown)
			return
		}
		log.Warn(message, "value", shortened(v.kind), what, shortened(v.name))
	}
}
