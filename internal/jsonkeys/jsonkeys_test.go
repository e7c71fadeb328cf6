package jsonkeys

import (
	"slices"
	"testing"
)

func TestUnknown(t *testing.T) {
	type known struct {
		Name   string `json:"name,omitempty"`
		Limits struct {
			Cores float64 `json:"cores"`
		} `json:"limits"`
		Classes []struct{ Aim int } `json:"classes"`
		Whole   map[string]int      `json:"whole"`
		Text    []byte              `json:"text"`
	}
	for raw, want := range map[string][]string{
		`{"name":"a","limits":{"cores":1},"classes":[{"aim":1}],"whole":{"x":1},"text":"YQ=="}`: nil,
		`{"NAME":"a","limits":{"Cores":1}}`:                                                     nil,
		`{"odd":{"inner":1},"limits":{"fans":1}}`:                                               {"limits.fans", "odd"},
		`{"classes":[{"aim":1,"b":1},{"b":2,"c":3}]}`:                                           {"classes.b", "classes.c"},
		`{"limits":7,"classes":{}}`:                                                             nil,
		`[]`:                                                                                    nil,
		`{`:                                                                                     nil,
	} {
		if got := Unknown([]byte(raw), known{}); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", raw, got, want)
		}
	}
}
