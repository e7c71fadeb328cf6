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
	mostFields = 128 // of a request's head: each takes some ten times its bytes once it is taken apart
	insertHost = "Host: node\r\n"
)

// The fields that are counted, in lower case.
const (
	hostField   = "host:"
	lengthField = "content-length:"
	codingField = "transfer-encoding:"
	mostField   = len(codingField) // bytes that are kept of a field's beginning
)

// head follows a request's head as its bytes are read from the connection: what
// it begins with, for the log should it never be taken, whether it is an operator's
// call that names no host, where it ends, and what it says of the body's end. Its
// zero value is for the next request.
type head struct {
	line     []byte // the first line, as far as it has come
	lineOver bool
	call     bool   // it is an operator's
	field    []byte // the beginning of the present line behind it
	fields   int    // lines behind the first one
	hosts    int    // of them: those that name a host
	lengths  int    // a length
	codings  int    // a transfer coding
	over     bool   // it has ended
}

// begun tells whether a part of a request has come.
func (h *head) begun() bool { return len(h.line) > 0 || h.lineOver }

// reset is for the next request.
func (h *head) reset() { *h = head{line: h.line[:0], field: h.field[:0]} }

// read takes the next bytes. It gives how many of them belong to the head, which is
// all of them once it is over, and where among these a Host has to be inserted for
// net/http to take the call, which is before the end of the head; -1: nowhere.
func (h *head) read(b []byte) (hostAt, used int) {
	if h.over {
		return -1, len(b)
	}
	i := h.readLine(b)
	for i < len(b) {
		if len(h.field) == 0 && (b[i] == '\r' || b[i] == '\n') {
			h.over = true
			end := i + bytes.IndexByte(b[i:], '\n') + 1
			if end == i { // its last byte is still to come
				end = len(b)
			}
			if h.call && h.hosts == 0 {
				return i, end
			}
			return -1, end
		}
		i += h.readField(b[i:])
	}
	return -1, i
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
	h.call = namesCall(h.line)
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
	h.field = append(h.field, part[:min(len(part), mostField-before)]...)
	if before == 0 {
		h.fields++
	}
	h.count(hostField, before, &h.hosts)
	h.count(lengthField, before, &h.lengths)
	h.count(codingField, before, &h.codings)
	if end < 0 {
		return len(b)
	}
	h.field = h.field[:0]
	return end + 1
}

// count counts the present line if it has just turned out to be of a name; before is
// how much of it had come before.
func (h *head) count(name string, before int, lines *int) {
	if before < len(name) && len(h.field) >= len(name) && strings.EqualFold(string(h.field[:len(name)]), name) {
		*lines++
	}
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
