package operators

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// mostKindKeys is how many keys of an object its kind names, mostName how much of each.
const (
	mostKindKeys = 5
	mostName     = 60 // bytes
)

// Kind says of which kind a value of JSON is, and never what it is: it may be secret.
func Kind(value any) string {
	switch v := value.(type) {
	case nil:
		return "null"
	case bool:
		return fmt.Sprint(v)
	case string:
		return fmt.Sprintf("text of %d bytes", len(v))
	case json.Number, float64:
		return "number"
	case []any:
		return fmt.Sprintf("list of %d", len(v))
	case map[string]any:
		return objectKind(v)
	}
	return fmt.Sprintf("%T", value)
}

// KindOf is Kind of a value as it is written.
func KindOf(raw json.RawMessage) string {
	value, err := decode(raw)
	if err != nil {
		return "no JSON"
	}
	return Kind(value)
}

func objectKind(object map[string]any) string {
	if len(object) == 0 {
		return "empty object"
	}
	keys := slices.Sorted(maps.Keys(object))
	more := max(0, len(keys)-mostKindKeys)
	for i, key := range keys[:len(keys)-more] {
		keys[i] = Shortened(key)
	}
	kind := "object with " + strings.Join(keys[:len(keys)-more], ", ")
	if more > 0 {
		kind += fmt.Sprintf(" and %d more", more)
	}
	return kind
}

// Shortened is a name that was told, cut for the log.
func Shortened(name string) string {
	if len(name) > mostName {
		return name[:mostName] + "..."
	}
	return name
}
