package operators

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"indigotack/internal/appconfig"
)

// Networks of endpoints, as package net names them.
const (
	networkTCP  = "tcp"
	networkUnix = "unix"
)

// longestPath is that of a Unix socket, in bytes.
const longestPath = 107

// Endpoint is an address at which operators are heard.
type Endpoint struct {
	Network string // "tcp" or "unix"
	Address string // host:port; the path of a Unix socket, or "@name" of an abstract one
	Prefix  string // is taken in front of the paths of calls, too; "": nothing
}

// String is the endpoint as it stands in the log.
func (e Endpoint) String() string {
	if e.Network == networkUnix {
		return "unix:" + e.Address + e.Prefix
	}
	return e.Address + e.Prefix
}

// inTheWayOf tells whether two endpoints may not be listened at both at once.
func (e Endpoint) inTheWayOf(other Endpoint) bool {
	if e.Network != other.Network || e.Network == networkUnix {
		return e.Network == other.Network && e.Address == other.Address
	}
	host, port, _ := net.SplitHostPort(e.Address) // an endpoint has both
	otherHost, otherPort, _ := net.SplitHostPort(other.Address)
	if port != otherPort {
		return false
	}
	ip, err := netip.ParseAddr(host)
	otherIP, otherErr := netip.ParseAddr(otherHost)
	return err != nil || otherErr != nil || ip.IsUnspecified() || otherIP.IsUnspecified() || ip == otherIP
}

// Why a text is no endpoint.
const (
	whyNoAddress = "no address: want host:port, a port, a URL or a socket's path"
	whyNoPort    = "no port in the URL"
	whyFile      = "a file's URL"
)

// hostForm is a host's name, for what is no IP address.
var hostForm = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

// parseEndpoint reads an address. A port alone is one on a host, and so is one
// behind an empty host if onHost says so. why says why a text is none.
func parseEndpoint(text, host string, onHost bool) (e Endpoint, why string) {
	text = strings.TrimSpace(text)
	if path, is := socketPath(text); is {
		return Endpoint{Network: networkUnix, Address: path}, ""
	}
	scheme, rest, isURL := strings.Cut(text, "://")
	switch {
	case isPort(text):
		return Endpoint{Network: networkTCP, Address: net.JoinHostPort(host, text)}, ""
	case isURL && strings.EqualFold(scheme, "file"):
		return e, whyFile
	case isURL && strings.EqualFold(scheme, "http+unix"):
		return parseEscapedSocket(rest)
	case !isURL:
		rest = text
	}
	authority, prefix := splitURL(rest)
	at, port, err := net.SplitHostPort(authority)
	switch {
	case isURL && authority != "" && (err != nil || port == ""):
		return e, whyNoPort
	case err != nil, !isPort(port), !isHost(at):
		return e, whyNoAddress
	case at == "" && onHost:
		at = host
	}
	return Endpoint{Network: networkTCP, Address: net.JoinHostPort(at, port), Prefix: prefix}, ""
}

// splitURL gives host and port of what follows a URL's scheme, and its path; who
// and what else it names is left out.
func splitURL(rest string) (authority, path string) {
	rest, _, _ = strings.Cut(rest, "#")
	rest, _, _ = strings.Cut(rest, "?")
	authority, path, _ = strings.Cut(rest, "/")
	authority = authority[strings.LastIndexByte(authority, '@')+1:]
	if path = appconfig.CleanPath(path); path == "/" {
		path = ""
	}
	return authority, path
}

// parseEscapedSocket reads what follows http+unix://, which is a path in the place of a host.
func parseEscapedSocket(rest string) (e Endpoint, why string) {
	host, prefix := splitURL(rest)
	path, err := url.PathUnescape(host)
	if err != nil || path == "" {
		return e, whyNoAddress
	}
	return Endpoint{Network: networkUnix, Address: path, Prefix: prefix}, ""
}

// socketPath gives the path of a Unix socket, if a text is one.
func socketPath(text string) (path string, is bool) {
	scheme, rest, _ := strings.Cut(text, ":")
	switch {
	case strings.EqualFold(scheme, networkUnix):
		path = strings.TrimPrefix(rest, "//")
		return path, path != "" && path != "@"
	case strings.HasPrefix(text, "@"):
		return text, len(text) > 1
	case strings.HasPrefix(text, "/"), strings.HasPrefix(text, "./"), strings.HasPrefix(text, "../"):
		return text, true
	}
	return text, strings.HasSuffix(text, ".sock") && !strings.Contains(text, ":")
}

func isPort(text string) bool {
	port, err := strconv.ParseUint(text, 10, 16)
	return err == nil && port > 0
}

func isHost(text string) bool {
	_, err := netip.ParseAddr(text)
	return text == "" || err == nil || hostForm.MatchString(text)
}

// sameListener tells whether the listener at an address holds another too, so
// that no second one can.
func sameListener(address, listen string) bool {
	if address == listen {
		return true
	}
	a, portA, errA := splitAddress(address)
	b, portB, errB := splitAddress(listen)
	return errA == nil && errB == nil && portA == portB && appconfig.SameSocket(a, b)
}

// splitAddress reads an address whose host is an IP address, localhost, or empty for all.
func splitAddress(address string) (host netip.Addr, port string, err error) {
	text, port, err := net.SplitHostPort(address)
	if err != nil {
		return host, port, err
	}
	switch text {
	case "":
		return netip.IPv6Unspecified(), port, nil
	case "localhost":
		return netip.AddrFrom4([4]byte{127, 0, 0, 1}), port, nil
	}
	host, err = netip.ParseAddr(text)
	return host.Unmap(), port, err
}

// pathTooLong says so of a path that no Unix socket can have; "" of one that one can.
func pathTooLong(path string) string {
	if len(path) <= longestPath {
		return ""
	}
	return fmt.Sprintf("path of %d bytes, %d at most", len(path), longestPath)
}
