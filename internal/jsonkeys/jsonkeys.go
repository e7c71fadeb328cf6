// Package jsonkeys tells which keys of a JSON document its reader does not know,
// by the types that encoding/json reads it into.
package jsonkeys

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Unknown gives the paths of the keys in raw for which the type of value has no
// field, such as "limits.fans", in order and each once: the elements of an array
// share one path. What is below such a key is not looked at. As for
// encoding/json, capitals make no difference. Raw that can't be read has none.
func Unknown(raw json.RawMessage, value any) []string {
	return slices.Sorted(maps.Keys(UnknownValues(raw, value)))
}

// UnknownValues gives the values of those keys by their paths; of several of one
// path, the last.
func UnknownValues(raw json.RawMessage, value any) map[string]json.RawMessage {
	unknown := map[string]json.RawMessage{}
	collect(raw, reflect.TypeOf(value), "", unknown)
	return unknown
}

// collect adds the unknown keys of a document that is read into a type.
func collect(raw json.RawMessage, t reflect.Type, prefix string, unknown map[string]json.RawMessage) {
	switch t.Kind() {
	case reflect.Pointer:
		collect(raw, t.Elem(), prefix, unknown)
	case reflect.Slice:
		var elements []json.RawMessage
		if t.Elem().Kind() == reflect.Uint8 || json.Unmarshal(raw, &elements) != nil {
			return
		}
		for _, element := range elements {
			collect(element, t.Elem(), prefix, unknown)
		}
	case reflect.Struct:
		var values map[string]json.RawMessage
		if json.Unmarshal(raw, &values) != nil {
			return
		}
		fields := fieldsOf(t)
		for key, value := range values {
			if field, known := fields[strings.ToLower(key)]; known {
				collect(value, field, prefix+key+".", unknown)
			} else {
				unknown[prefix+key] = value
			}
		}
	}
}

// fieldsOf are the types of a struct's fields by their keys in small letters.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if key == "" {
			key = t.Field(i).Name
		}
		fields[strings.ToLower(key)] = t.Field(i).Type
	}
	return fields
}
