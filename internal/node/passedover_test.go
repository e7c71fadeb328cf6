package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// TestChangedSettingsAreNamed guards against a log that tells that a new configuration has other settings, and not which.
func TestChangedSettingsAreNamed(t *testing.T) {
	of := func(text string) Config { return Config{rawSettings: json.RawMessage(text)} }
	before := of(`{"a":1,"invariants":{"drain_grace_ns":2000000000,"cold_from":0.3},"classes":[{"name":"saldo"},{"name":"x"}],"gone":true,"same":[1,2]}`)
	after := of(`{"a":1,"invariants":{"drain_grace_ns":500000000,"cold_from":0.3},"classes":[{"name":"saldo"},{"name":"y"}],"new":"` + strings.Repeat("z", 100) + `","same":[1,2]}`)
	want := []string{
		`settings.classes[1].name: "x" -> "y"`,
		`settings.gone: true -> none`,
		`settings.invariants.drain_grace_ns: 2000000000 -> 500000000`,
		`settings.new: none -> "` + strings.Repeat("z", maxSettingText-1) + `...`,
	}
	if got := before.changedSettings(after); !slices.Equal(got, want) {
		t.Errorf("changed settings are %q, want %q", got, want)
	}
	if got := before.changedSettings(before); len(got) > 0 {
		t.Errorf("of the same settings %q are changed", got)
	}
	var many []string
	for i := range 100 {
		many = append(many, fmt.Sprintf(`"k%d":%d`, i, i))
	}
	if got := of(`{}`).changedSettings(of("{" + strings.Join(many, ",") + "}")); len(got) != maxChangedSettings+1 || got[maxChangedSettings] != "and 80 more" {
		t.Errorf("%d changes are told: %q", len(got), got)
	}
}
