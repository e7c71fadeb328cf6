package node

import (
	"bytes"
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"indigotack/internal/appconfig"
)

// mostOperatorAddresses is how many addresses of operators a node answers on.
const mostOperatorAddresses = 4

// OperatorAddress is where operators are answered beside the address where
// clients connect.
type OperatorAddress struct {
	Address string // host:port
	Name    string // of the key or variable that told it, such as "admin.listen" or "GW_ADMIN"
}

// unheardAddress is what may have been meant as operators' address and is none.
type unheardAddress struct{ name, why string }

// Why an address is not heard.
const (
	noAddress     = `want "host:port" or a port`
	elsewhere     = "it is on another host than the one where clients connect, so it may be something to call"
	tooManyToHear = "too many addresses"
)

// The keys and variables that are documented as operators' address. They may name
// any host.
var (
	documentedKeys      = []string{"admin_listen", "admin"}
	documentedVariables = []string{"GW_ADMIN_LISTEN", "GW_ADMIN"}
)

// Names that say that something is an address of operators consist of these
// words, however they are written together.
const (
	roleWords    = `admin|operators|operator|ops|control|management|mgmt`
	addressWords = `listen|address|addr|bind|port`
)

var (
	addressName = regexp.MustCompile(`^(?:` + roleWords + `|` + addressWords + `)+$`)
	roleName    = regexp.MustCompile(roleWords)
	placeName   = regexp.MustCompile(addressWords)
	separators  = regexp.MustCompile(`[^A-Za-z0-9]+`)
)

// toldAddress is a value of the configuration or the environment whose name says
// that it may be an address of operators.
type toldAddress struct {
	name       string
	value      string
	documented bool
}

// findOperators finds the addresses of operators in a configuration, which is
// JSON that has been read, and in an environment in the form of os.Environ.
func (c *Config) findOperators(raw []byte, environment []string) {
	told := append(toldByKeys(raw), toldByVariables(environment)...)
	for _, t := range told {
		c.hearOperators(t)
	}
}

// hearOperators takes up one address of operators, if it can be one.
func (c *Config) hearOperators(t toldAddress) {
	address, why := operatorAddress(t, c.Listen)
	heard := func(o OperatorAddress) bool { return o.Address == address }
	switch {
	case why == noAddress && !t.documented: // its name is one that the node does not know
	case why != "":
		c.unheard = append(c.unheard, unheardAddress{t.name, why})
	case sameListener(address, c.Listen):
		c.operatorsOnListen = cmp.Or(c.operatorsOnListen, t.name)
	case slices.ContainsFunc(c.Operators, heard):
	case len(c.Operators) == mostOperatorAddresses:
		c.unheard = append(c.unheard, unheardAddress{t.name, tooManyToHear})
	default:
		c.Operators = append(c.Operators, OperatorAddress{address, t.name})
	}
}

// operatorAddress is the address that was told, or why it is none. A port alone
// is one on the host where clients connect.
func operatorAddress(t toldAddress, listen string) (address, why string) {
	listenHost, _, err := net.SplitHostPort(listen)
	if err != nil {
		return "", noAddress
	}
	value := strings.TrimSuffix(strings.TrimPrefix(t.value, "http://"), "/")
	if isPort(value) {
		return net.JoinHostPort(listenHost, value), ""
	}
	host, port, err := net.SplitHostPort(value)
	switch {
	case err != nil || !isPort(port):
		return "", noAddress
	case t.documented:
		return value, ""
	case host == "":
		return net.JoinHostPort(listenHost, port), ""
	case sameHost(host, listenHost) || isWildcard(host):
		return value, ""
	}
	return "", elsewhere
}

func isPort(text string) bool {
	port, err := strconv.ParseUint(text, 10, 16)
	return err == nil && port > 0
}

func isWildcard(host string) bool {
	address, err := netip.ParseAddr(host)
	return err == nil && address.IsUnspecified()
}

func sameHost(a, b string) bool { return hostAddress(a) == hostAddress(b) }

// hostAddress is an IP address in its one form. There is no DNS, but each
// machine knows itself as localhost.
func hostAddress(host string) string {
	if host == "localhost" {
		host = "127.0.0.1"
	}
	if address, err := netip.ParseAddr(host); err == nil {
		return address.Unmap().String()
	}
	return host
}

// sameListener tells whether the listener for clients holds an address too, so
// that no other can.
func sameListener(address, listen string) bool {
	if address == listen {
		return true
	}
	a, portA, err := splitAddress(address)
	if err != nil {
		return false
	}
	b, portB, err := splitAddress(listen)
	return err == nil && portA == portB && appconfig.SameSocket(a, b)
}

// splitAddress reads an address whose host is an IP address, or empty for all.
func splitAddress(address string) (host netip.Addr, port string, err error) {
	text, port, err := net.SplitHostPort(address)
	if err != nil {
		return host, port, err
	}
	if text == "" {
		return netip.IPv6Unspecified(), port, nil
	}
	host, err = netip.ParseAddr(text)
	return host, port, err
}

// toldByKeys gives the values of a configuration whose keys say that they are
// an address of operators, the documented ones first.
func toldByKeys(raw []byte) (told []toldAddress) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var config map[string]any
	if decoder.Decode(&config) != nil {
		return nil
	}
	delete(config, "known") // servers and their addresses
	for _, key := range documentedKeys {
		value := config[key]
		delete(config, key)
		if text, is := leaf(value); is {
			told = append(told, toldAddress{key, text, true})
			continue
		}
		below := toldBelow([]string{key}, value)
		if len(below) == 0 && value != nil {
			below = []toldAddress{{key, "", true}}
		}
		told = append(told, below...)
	}
	return append(told, toldBelow(nil, config)...)
}

// toldBelow gives such values at a path of a configuration, and below it.
func toldBelow(path []string, value any) (told []toldAddress) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			told = append(told, toldBelow(append(slices.Clone(path), key), v[key])...)
		}
	case []any:
		for _, element := range v {
			told = append(told, toldBelow(path, element)...)
		}
	default:
		if text, is := leaf(value); is && namesOperators(path, text) {
			told = append(told, toldAddress{strings.Join(path, "."), text, false})
		}
	}
	return told
}

// leaf is a value of JSON that may be an address or a port, as text.
func leaf(value any) (text string, is bool) {
	switch v := value.(type) {
	case string:
		return v, v != ""
	case json.Number:
		return v.String(), true
	case bool:
		return strconv.FormatBool(v), true
	}
	return "", false
}

// namesOperators tells whether the keys on the path to a value say that it is an
// address of operators. Where a key begins with other words too, a number has to
// be called a port or an address.
func namesOperators(path []string, value string) bool {
	role, place, prefixed := false, false, false
	for _, key := range slices.Backward(path) {
		words, whole := addressWordsOf(key)
		if words == "" {
			break
		}
		role = role || roleName.MatchString(words)
		place = place || placeName.MatchString(words)
		if prefixed = !whole; prefixed {
			break
		}
	}
	return role && (place || !prefixed || !isPort(value))
}

// addressWordsOf is the end of a name that consists of words for operators and
// addresses alone, and whether it is the whole name; "" if there is none.
func addressWordsOf(name string) (words string, whole bool) {
	parts := separators.Split(strings.TrimPrefix(name, environmentPrefix), -1)
	for i := range parts {
		joined := strings.ToLower(strings.Join(parts[i:], ""))
		if addressName.MatchString(joined) {
			return joined, i == 0
		}
	}
	return "", false
}

// toldByVariables does for an environment what toldByKeys does for a configuration.
func toldByVariables(environment []string) (told []toldAddress) {
	values := map[string]string{}
	for _, variable := range environment {
		name, value, _ := strings.Cut(variable, "=")
		values[name] = value
	}
	for _, name := range documentedVariables {
		if value := values[name]; value != "" {
			told = append(told, toldAddress{name, value, true})
		}
		delete(values, name)
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if value := values[name]; value != "" && namesOperators([]string{name}, value) {
			told = append(told, toldAddress{name, value, false})
		}
	}
	return told
}

// LogOperators tells by which names operators' addresses were told, and what may
// have been meant as one and is none: names, never values of those.
func (c Config) LogOperators(log *slog.Logger) {
	if c.operatorsOnListen != "" {
		log.Info("operators are answered where clients connect", "address", c.Listen, "told_by", c.operatorsOnListen)
	}
	for _, u := range c.unheard {
		log.Warn("no address for operators", "name", shortened(u.name), "why", u.why)
	}
}
