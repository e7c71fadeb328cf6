package node

import (
	"encoding/json"
	"log/slog"
	"strings"

	"indigotack/internal/operators"
)

// Why a node makes no use of what it knows and was told.
const (
	whyNoCores     = "it goes by the processors that its process may run on"
	whyNoPeers     = "nodes tell one another nothing here"
	whyOtherConfig = "the configuration says otherwise"
)

// unusedValue is a value that a node knows, was told and makes no use of.
type unusedValue struct{ name, kind, why string }

// unusedValues finds what a configuration and an environment tell to no use.
func unusedValues(raw []byte, environment []string) (unused []unusedValue) {
	var in struct {
		Limits                  struct{ Cores json.RawMessage }
		Peers                   json.RawMessage
		PeersAll                json.RawMessage `json:"peers_all"`
		Name, Listen, Discovery string
	}
	if json.Unmarshal(raw, &in) != nil {
		return nil
	}
	for _, told := range []struct {
		name, why string
		value     json.RawMessage
	}{
		{"limits.cores", whyNoCores, in.Limits.Cores},
		{"peers", whyNoPeers, in.Peers},
		{"peers_all", whyNoPeers, in.PeersAll},
	} {
		if told.value != nil {
			unused = append(unused, unusedValue{told.name, operators.KindOf(told.value), told.why})
		}
	}
	same := map[string]string{"GW_NAME": in.Name, "GW_LISTEN": in.Listen, "GW_DISCOVERY": in.Discovery}
	for _, variable := range environment {
		name, value, _ := strings.Cut(variable, "=")
		if told, known := same[name]; known && told != value {
			unused = append(unused, unusedValue{name, operators.Kind(value), whyOtherConfig})
		}
	}
	return unused
}

// LogUnused tells of what the node was told and makes no use of, in one line.
func (c Config) LogUnused(log *slog.Logger) {
	if len(c.unused) == 0 {
		return
	}
	var all []string
	for _, v := range c.unused {
		all = append(all, v.name+" ("+v.kind+"): "+v.why)
	}
	log.Info("told and not used", "values", strings.Join(all, "; "))
}
