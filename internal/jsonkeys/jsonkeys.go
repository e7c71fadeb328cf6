// Package jsonkeys tells which keys of a JSON document its reader does not know,
// by the types that encoding/json reads it into.
package jsonkeys

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// Unknown gives the paths of the keys in raw for which the type of value has no
// field, such as "limits.fans", in order and each once: the elements of an array
// share one path. What is below such a key is not looked at. As for
// encoding/json, capitals make no difference. Raw that can't be read has none.
func Unknown(raw json.RawMessage, value any) []string {
	unknown := below(raw, reflect.TypeOf(value), "")
	slices.Sort(unknown)
	return slices.Compact(unknown)
}

// below gives the unknown paths of a document that is read into a type.
func below(raw json.RawMessage, t reflect.Type, prefix string) (unknown []string) {
	switch t.Kind() {
	case reflect.Pointer:
		return below(raw, t.Elem(), prefix)
	case reflect.Slice:
		var elements []json.RawMessage
		if t.Elem().Kind() == reflect.Uint8 || json.Unmarshal(raw, &elements) != nil {
			return nil
		}
		for _, element := range elements {
			unknown = append(unknown, below(element, t.Elem(), prefix)...)
		}
	case reflect.Struct:
		var values map[string]json.RawMessage
		if json.Unmarshal(raw, &values) != nil {
			return nil
		}
		fields := fieldsOf(t)
		for key, value := range values {
			if field, known := fields[strings.ToLower(key)]; known {
				unknown = append(unknown, below(value, field, prefix+key+".")...)
			} else {
				unknown = append(unknown, prefix+key)
			}
		}
	}
	return unknown
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
