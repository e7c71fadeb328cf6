package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Bounds of what a line tells of a new configuration.
const (
	maxChangedSettings = 20
	maxSettingText     = 60 // bytes of a value
)

// passedOver are the keys of a new configuration that say something else than the
// one in force and that a node does not take up while it runs. A list of servers
// counts if it is newer than the node's.
func (c Config) passedOver(next Config, listVersion uint64) (keys []string) {
	for _, key := range []struct {
		name    string
		differs bool
	}{
		{"name", next.Name != c.Name},
		{"listen", next.Listen != c.Listen},
		{"peer_listen", next.Peer != c.Peer},
		{"seed", next.Seed != c.Seed},
		{"limits.memory_mb", next.MemoryMB != c.MemoryMB},
		{"limits.sockets", next.Sockets != c.Sockets},
		{"settings", !reflect.DeepEqual(next.Settings, c.Settings)},
		{"known", next.known.Index > listVersion},
	} {
		if key.differs {
			keys = append(keys, key.name)
		}
	}
	return keys
}

// changedSettings are the keys of the settings that a new configuration has other
// values for, each with the old value and the new one.
func (c Config) changedSettings(next Config) (all []string) {
	var before, after any
	if json.Unmarshal(c.rawSettings, &before) != nil || json.Unmarshal(next.rawSettings, &after) != nil {
		return nil // they were read before; without texts there is nothing to compare
	}
	all = changedValues("settings", before, after)
	if more := len(all) - maxChangedSettings; more > 0 {
		all = append(all[:maxChangedSettings], fmt.Sprintf("and %d more", more))
	}
	return all
}

// changedValues are the differences of two values that were read from JSON, by
// their keys and places.
func changedValues(at string, before, after any) (all []string) {
	switch was := before.(type) {
	case map[string]any:
		is, same := after.(map[string]any)
		if !same {
			break
		}
		keys := map[string]bool{}
		for key := range was {
			keys[key] = true
		}
		for key := range is {
			keys[key] = true
		}
		for _, key := range slices.Sorted(maps.Keys(keys)) {
			all = append(all, changedValues(at+"."+key, was[key], is[key])...)
		}
		return all
	case []any:
		is, same := after.([]any)
		if !same || len(is) != len(was) {
			break
		}
		for i := range was {
			all = append(all, changedValues(fmt.Sprintf("%s[%d]", at, i), was[i], is[i])...)
		}
		return all
	}
	if reflect.DeepEqual(before, after) {
		return nil
	}
	return []string{fmt.Sprintf("%s: %s -> %s", at, settingText(before), settingText(after))}
}

// settingText is a value as a line of the log has it; "none" where there is none.
func settingText(value any) string {
	if value == nil {
		return "none"
	}
	text, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	if len(text) > maxSettingText {
		text = append(bytes.Clone(text[:maxSettingText]), "..."...)
	}
	return string(text)
}
