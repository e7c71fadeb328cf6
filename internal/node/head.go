package node

import (
	"bytes"
	"slices"
	"strings"

	"indigotack/internal/appconfig"
)

const (
	mostLine   = 256 // bytes that are kept of a request's first line
	loggedLine = 100 // bytes of it in a line of the log
	hostField  = "host:"
	insertHost = "Host: node\r\n"
)

// head follows a request's head as its bytes are read from the connection: what
// it begins with, for the log should it never be taken, and whether it is an
// operator's call that names no host. Its zero value is for the next request.
type head struct {
	line     []byte // the first line, as far as it has come
	lineOver bool
	field    []byte // the beginning of the present line behind it
	hosts    int    // lines that name one; counted in a call alone
	over     bool   // nothing more is looked for
	behind   []byte // what came with the end of a call's head
}

// begun tells whether a part of a request has come.
func (h *head) begun() bool { return len(h.line) > 0 || h.lineOver }

// reset is for the next request.
func (h *head) reset() { *h = head{line: h.line[:0], field: h.field[:0]} }

// next is for the request behind the present one, which has a body or not. The
// beginning of what came with the head of one without is its.
func (h *head) next(hasBody bool) {
	behind := bytes.TrimLeft(h.behind, "\r\n") // empty lines between requests count for nothing
	h.reset()
	if !hasBody {
		h.read(behind)
	}
}

// read takes the next bytes. It gives where in them a Host has to be inserted
// for net/http to take the call, which is before the end of the head; -1: nowhere.
func (h *head) read(b []byte) (hostAt int) {
	i := h.readLine(b)
	for !h.over && i < len(b) {
		if len(h.field) == 0 && (b[i] == '\r' || b[i] == '\n') {
			h.over = true
			h.behind = behindLine(b[i:])
			if h.hosts > 0 {
				return -1
			}
			return i
		}
		i += h.readField(b[i:])
	}
	return -1
}

// behindLine is a copy of what follows the first line, as far as it may be kept.
func behindLine(b []byte) []byte {
	_, behind, _ := bytes.Cut(b, []byte("\n"))
	return bytes.Clone(behind[:min(len(behind), mostLine)])
}

// readLine takes what belongs to the first line and gives how much that is.
func (h *head) readLine(b []byte) int {
	if h.lineOver {
		return 0
	}
	end := bytes.IndexByte(b, '\n')
	h.lineOver = end >= 0
	if !h.lineOver {
		end = len(b)
	}
	h.line = append(h.line, b[:min(end, mostLine-len(h.line))]...)
	if !h.lineOver {
		return len(b)
	}
	h.over = !namesCall(h.line)
	return end + 1
}

// readField takes what belongs to one further line and gives how much that is.
func (h *head) readField(b []byte) int {
	end := bytes.IndexByte(b, '\n')
	part := b
	if end >= 0 {
		part = b[:end]
	}
	before := len(h.field)
	h.field = append(h.field, part[:min(len(part), len(hostField)-before)]...)
	if len(h.field) > before && strings.EqualFold(string(h.field), hostField) {
		h.hosts++
	}
	if end < 0 {
		return len(b)
	}
	h.field = h.field[:0]
	return end + 1
}

// namesCall tells whether the first line of a request is that of an operator's call.
func namesCall(line []byte) bool {
	if !bytes.Contains(line, callMark) { // hardly any has it
		return false
	}
	fields := strings.Fields(string(line))
	if len(fields) != 3 {
		return false
	}
	path, _, _ := strings.Cut(fields[1], "?")
	if _, rest, absolute := strings.Cut(path, "://"); absolute {
		path = rest[max(0, strings.IndexByte(rest, '/')):]
	}
	return appconfig.IsCall(appconfig.CleanPath(path))
}

// callMark is in the first line of each operator's call.
var callMark = []byte(operatorsPath + "/")

// isOperators tells whether what has come of the first line is an operator's call,
// as far as that can be told.
func (h *head) isOperators() bool {
	if !bytes.Contains(h.line, callMark) { // hardly any has it
		return false
	}
	target, _ := h.target()
	return strings.HasPrefix(target, operatorsPath[1:]+"/") || isAbsolute(target)
}

// target is what a request asks for, as far as it has come and without the slashes
// before it, and whether the method before it has come whole.
func (h *head) target() (target string, behindMethod bool) {
	_, rest, behindMethod := bytes.Cut(h.line, []byte(" "))
	return strings.TrimLeft(string(rest), "/"), behindMethod
}

// isAbsolute tells whether a target begins like one that names its host.
func isAbsolute(target string) bool { return strings.HasPrefix(strings.ToLower(target), "http") }

// ownPaths begin what a platform's node answers itself, without the slash.
var ownPaths = []string{operatorsPath[1:], "health", "metrics"}

// isClients tells whether what has come of the first line can be neither an
// operator's call nor a health check, as far as that can be told.
func (h *head) isClients() bool {
	target, behindMethod := h.target()
	path := strings.ToLower(target)
	if !behindMethod || path == "" || isAbsolute(path) {
		return false
	}
	return !slices.ContainsFunc(ownPaths, func(own string) bool { return strings.HasPrefix(path, own) || strings.HasPrefix(own, path) })
}

// text is the first line as far as it came, for the log.
func (h *head) text() string {
	line := bytes.TrimSuffix(h.line, []byte("\r"))
	return string(line[:min(len(line), loggedLine)])
}
