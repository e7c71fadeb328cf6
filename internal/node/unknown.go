package node

import (
	"encoding/json"
	"log/slog"
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

// findUnknown finds the names that the node does not know, in a configuration
// that has been read and in an environment in the form of os.Environ. Those by
// which operators' addresses were told are known.
func (c *Config) findUnknown(raw []byte, environment []string) {
	c.unknownKeys = slices.DeleteFunc(unknownKeys(raw), c.Operators.Knows)
	c.unknownVariables = slices.DeleteFunc(unknownVariables(environment), c.Operators.Knows)
}

// unknownKeys gives the keys of a configuration that the node does not know, in order.
func unknownKeys(raw []byte) []string {
	unknown := jsonkeys.Unknown(raw, configKeys{})
	var in struct {
		Settings json.RawMessage `json:"settings"`
	}
	if json.Unmarshal(raw, &in) == nil {
		for _, key := range wire.UnknownSettings(in.Settings) {
			unknown = append(unknown, "settings."+key)
		}
	}
	return unknown
}

// unknownVariables gives the names of a platform's variables in an environment,
// in the form of os.Environ, that the node does not know, in order.
func unknownVariables(environment []string) (unknown []string) {
	for _, variable := range environment {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, operators.EnvironmentPrefix) && !slices.Contains(knownVariables, name) && !operators.IsDocumentedVariable(name) {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	return unknown
}

// unknownNames are those of keys and variables, cut for the log.
func (c Config) unknownNames() (names []string) {
	for _, name := range slices.Concat(c.unknownKeys, c.unknownVariables) {
		names = append(names, shortened(name))
	}
	return names
}

// LogUnknown warns of what the node was told and does not know: names, never
// values, which may be secret.
func (c Config) LogUnknown(log *slog.Logger) {
	warnOfEach(log, "unknown key in the configuration, passed over", "key", c.unknownKeys)
	warnOfEach(log, "unknown variable in the environment, passed over", "variable", c.unknownVariables)
}

func warnOfEach(log *slog.Logger, message, kind string, names []string) {
	for i, name := range names {
		if i == mostUnknown {
			log.Warn(message, "more", len(names)-mostUnknown)
			return
		}
		log.Warn(message, kind, shortened(name))
	}
}
