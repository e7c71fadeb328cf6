// Package operators finds the addresses at which a platform's operators call a
// node, in what the node is told by its configuration and its environment, and
// hears operators there for as long as the node runs.
package operators

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strings"
)

// mostAddresses is how many addresses of operators a node answers on.
const mostAddresses = 4

// Address is where operators are heard beside the address where clients connect.
type Address struct {
	Endpoint
	Names []string // of the keys and variables that told it, such as "control" and "GW_CONTROL"

	// byOthers: only variables told it that may have nothing to do with the platform.
	byOthers bool
}

// Refusal is what a node was told of operators' address and that is none.
type Refusal struct {
	Name  string
	Value string // the address, where one may be shown, or else its kind
	Why   string
}

// String is the refusal as it stands in the log.
func (r Refusal) String() string { return fmt.Sprintf("%s(%s): %s", r.Value, r.Name, r.Why) }

// Found is what a node was told of operators' addresses. Its zero value is nothing.
type Found struct {
	Addresses []Address
	OnListen  []string // the names by which the address where clients connect was told
	OnPrefix  string   // the prefix that was told with it
	Refused   []Refusal

	names map[string]bool // all that were read
}

// Knows tells whether a name, or one below it, was read as operators' address.
func (f Found) Knows(name string) bool {
	if f.names[name] {
		return true
	}
	for read := range f.names {
		if strings.HasPrefix(read, name+".") {
			return true
		}
	}
	return false
}

// Find finds what a node is told of operators' addresses in a configuration, which
// is JSON that has been read, and in an environment in the form of os.Environ.
// listen is where clients connect, as host:port.
func Find(raw []byte, environment []string, listen string) Found {
	host, _, _ := net.SplitHostPort(listen) // "" where it is none
	r := reader{listen: listen, host: host, found: Found{names: map[string]bool{}}}
	config := decodeObject(raw)
	delete(config, "known") // servers and their addresses
	variables := variablesOf(environment)
	r.documented = true
	for _, key := range documentedKeys {
		r.read(key, config[key])
		delete(config, key)
	}
	for _, name := range documentedVariables {
		r.readVariable(name, variables[name])
		delete(variables, name)
	}
	r.documented = false
	r.walk("", config)
	r.variables = true
	for _, name := range slices.Sorted(maps.Keys(variables)) {
		if roleOf(name).is {
			r.readVariable(name, variables[name])
		}
	}
	return r.found
}

func variablesOf(environment []string) map[string]string {
	values := map[string]string{}
	for _, variable := range environment {
		name, value, _ := strings.Cut(variable, "=")
		values[name] = value
	}
	return values
}

func decode(raw []byte) (value any, err error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	err = decoder.Decode(&value)
	return value, err
}

func decodeObject(raw []byte) map[string]any {
	value, err := decode(raw)
	if object, is := value.(map[string]any); is && err == nil {
		return object
	}
	return map[string]any{}
}

// reader reads what may be addresses of operators.
type reader struct {
	listen, host string
	documented   bool // the names that are read are
	variables    bool // of the environment
	found        Found
}

// walk looks for names of operators below a path of a configuration.
func (r *reader) walk(path string, value any) {
	switch v := value.(type) {
	case []any:
		for _, element := range v {
			r.walk(path, element)
		}
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			if below := join(path, key); roleOf(key).is {
				r.read(below, v[key])
			} else {
				r.walk(below, v[key])
			}
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// readVariable reads a variable, whose value may be JSON.
func (r *reader) readVariable(name, value string) {
	if value == "" {
		return
	}
	if value[0] == '{' || value[0] == '[' {
		if decoded, err := decode([]byte(value)); err == nil {
			r.read(name, decoded)
			return
		}
	}
	r.read(name, value)
}

// read takes up what a name that is operators' was told.
func (r *reader) read(name string, value any) {
	switch v := value.(type) {
	case nil: // as if it were not there
	case map[string]any:
		if !r.readObject(name, v) {
			r.refuse(name, v, whyNoAddress)
		}
	case []any:
		for _, element := range v {
			r.read(name, element)
		}
		if len(v) == 0 {
			r.refuse(name, v, whyNoAddress)
		}
	case string:
		r.readText(name, v, v)
	case json.Number:
		r.readText(name, v.String(), v)
	default:
		r.refuse(name, v, whyNoAddress)
	}
}

// readText takes up an address that is a text or a number.
func (r *reader) readText(name, text string, value any) {
	role := roleOf(lastOf(name))
	if role.is && role.prefixed && !role.address && isPort(text) {
		return // a number of something else
	}
	e, why := parseEndpoint(text, r.host, !r.documented)
	if why != "" {
		r.refuse(name, value, why)
		return
	}
	if e.Network == networkUnix && r.isOthers(name) {
		return
	}
	r.add(e, name)
}

// isOthers tells whether a name is that of a variable which may have nothing to
// do with the platform. Only an address of TCP is taken from those.
func (r *reader) isOthers(name string) bool {
	return r.variables && !strings.HasPrefix(name, EnvironmentPrefix)
}

func lastOf(path string) string { return path[strings.LastIndexByte(path, '.')+1:] }

// refuse notes what is no address. What others' variables are told is not the platform's.
func (r *reader) refuse(name string, value any, why string) {
	role := roleOf(lastOf(name))
	if !r.documented && role.prefixed && !role.address || r.isOthers(name) {
		return
	}
	r.found.names[name] = true
	r.found.Refused = append(r.found.Refused, Refusal{Shortened(name), Kind(value), why})
}

// add takes up an endpoint, unless it is known by another name already.
func (r *reader) add(e Endpoint, name string) {
	r.found.names[name] = true
	if e.Network == networkTCP && sameListener(e.Address, r.listen) {
		r.found.OnListen = append(r.found.OnListen, Shortened(name))
		r.found.OnPrefix = cmp.Or(r.found.OnPrefix, e.Prefix)
		return
	}
	for i := range r.found.Addresses {
		if known := &r.found.Addresses[i]; known.Network == e.Network && known.Address == e.Address {
			known.Prefix = cmp.Or(known.Prefix, e.Prefix)
			known.Names = append(known.Names, Shortened(name))
			known.byOthers = known.byOthers && r.isOthers(name)
			return
		}
	}
	if len(r.found.Addresses) == mostAddresses {
		r.found.Refused = append(r.found.Refused, Refusal{Shortened(name), e.String(), fmt.Sprintf("over %d addresses", mostAddresses)})
		return
	}
	r.found.Addresses = append(r.found.Addresses, Address{e, []string{Shortened(name)}, r.isOthers(name)})
}

// At tells whether operators are to be heard at an address of TCP.
func (f Found) At(address string) bool {
	return slices.ContainsFunc(f.Addresses, func(a Address) bool {
		return a.Network == networkTCP && sameListener(a.Address, address)
	})
}

// Log tells by which names the address where clients connect was told, and what
// may have been meant as operators' address and is none.
func (f Found) Log(log *slog.Logger, listen string) {
	for _, name := range f.OnListen {
		log.Info("operators are answered where clients connect", "address", listen, "told_by", name)
	}
	for _, r := range f.Refused {
		log.Warn("no address for operators", "name", r.Name, "value", r.Value, "why", r.Why)
	}
}
