package operators

import (
	"encoding/json"
	"maps"
	"net"
	"slices"
	"strings"
)

// place is an object's port with the host that belongs to it.
type place struct{ portKey, hostKey, port, host string }

// readObject takes up the addresses that an object tells, and is false if it tells none.
func (r *reader) readObject(name string, object map[string]any) (told bool) {
	before := len(r.found.names)
	p, hasPort := portOf(object)
	hasPrefix := hasPort && r.readPort(name, p, object)
	for _, key := range slices.Sorted(maps.Keys(object)) {
		if hasPort && (key == p.portKey || key == p.hostKey) {
			continue
		}
		r.readMember(join(name, key), key, object[key], hasPrefix)
	}
	return len(r.found.names) > before
}

// readMember takes up what one key of such an object tells, if it is a place.
func (r *reader) readMember(name, key string, value any, hasPrefix bool) {
	words, is := placeOf(key)
	below, isObject := value.(map[string]any)
	switch {
	case words == "path" && hasPrefix:
	case isObject:
		r.readObject(name, below)
	case is || roleOf(key).is:
		r.read(name, value)
	}
}

// readPort takes up an object's port with its host, and tells whether a path in
// front of calls stands beside them.
func (r *reader) readPort(name string, p place, object map[string]any) (hasPrefix bool) {
	if p.hostKey == "" {
		p.host = r.host
	} else {
		r.found.names[join(name, p.hostKey)] = true
	}
	e, why := parseEndpoint(net.JoinHostPort(strings.Trim(p.host, "[]"), p.port), r.host, !r.documented)
	if why != "" {
		r.refuse(join(name, p.portKey), json.Number(p.port), why)
		return false
	}
	path, _ := object["path"].(string)
	if hasPrefix = strings.HasPrefix(path, "/"); hasPrefix {
		_, e.Prefix = splitURL(path)
		r.found.names[join(name, "path")] = true
	}
	r.add(e, join(name, p.portKey))
	return hasPrefix
}

// portOf finds an object's port and its host.
func portOf(object map[string]any) (p place, has bool) {
	for _, key := range slices.Sorted(maps.Keys(object)) {
		words, is := placeOf(key)
		text, isText := leafText(object[key])
		switch {
		case !is || !isText:
		case strings.HasSuffix(words, "port") && isPort(text) && p.portKey == "":
			p.portKey, p.port = key, text
		case p.hostKey == "" && text != "" && isHost(strings.Trim(text, "[]")) && !isPort(text) && !strings.HasSuffix(words, "port") && !namesSocket(words):
			p.hostKey, p.host = key, text
		}
	}
	return p, p.portKey != ""
}

// namesSocket tells whether a key of an object is that of a Unix socket.
func namesSocket(words string) bool {
	return strings.HasSuffix(words, "socket") || strings.HasSuffix(words, "sock") || strings.HasSuffix(words, "path") || strings.HasSuffix(words, "unix")
}

// leafText is a text or a number of JSON as text.
func leafText(value any) (text string, is bool) {
	switch v := value.(type) {
	case string:
		return v, true
	case json.Number:
		return v.String(), true
	}
	return "", false
}
