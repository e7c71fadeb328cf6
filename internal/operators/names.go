package operators

import (
	"regexp"
	"slices"
	"strings"
)

// EnvironmentPrefix begins the names of all variables that a platform sets for a node.
const EnvironmentPrefix = "GW_"

// The keys and variables that are documented as operators' address.
var (
	documentedKeys      = []string{"control", "admin_listen", "admin"}
	documentedVariables = []string{"GW_CONTROL", "GW_ADMIN_LISTEN", "GW_ADMIN"}
)

// IsDocumentedVariable tells whether a variable is documented as operators' address.
func IsDocumentedVariable(name string) bool { return slices.Contains(documentedVariables, name) }

// Names that say that something is an address of operators consist of these
// words, however they are written together.
const (
	roleWords    = `admin|operators|operator|ops|control|management|mgmt`
	addressWords = `listen|address|addr|bind|port`
	placeWords   = addressWords + `|host|hostname|ip|url|uri|endpoint|http|https|tcp|unix|socket|sock|path|server`
)

var (
	addressName = regexp.MustCompile(`^(?:` + roleWords + `|` + addressWords + `)+$`)
	roleName    = regexp.MustCompile(roleWords)
	isAddress   = regexp.MustCompile(addressWords)
	isPlace     = regexp.MustCompile(`^(?:` + placeWords + `)+$`)
	separators  = regexp.MustCompile(`[^A-Za-z0-9]+`)
)

// role is what a name says of being an address of operators.
type role struct {
	is       bool
	address  bool // it says that it is an address, too
	prefixed bool // it begins with other words
}

// roleOf reads a name: of its end, what consists of words for operators and addresses alone.
func roleOf(name string) (r role) {
	parts := separators.Split(strings.TrimPrefix(name, EnvironmentPrefix), -1)
	for i := range parts {
		words := strings.ToLower(strings.Join(parts[i:], ""))
		if addressName.MatchString(words) {
			return role{is: roleName.MatchString(words), address: isAddress.MatchString(words), prefixed: i > 0}
		}
	}
	return r
}

// placeOf is a key of an object that is an address, in small letters and without
// separators, and whether it is one for a place.
func placeOf(key string) (words string, is bool) {
	words = strings.ToLower(separators.ReplaceAllString(key, ""))
	return words, isPlace.MatchString(words)
}
