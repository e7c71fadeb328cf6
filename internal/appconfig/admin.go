package appconfig

import (
	"net/netip"
	"slices"
	"strings"

	"indigotack/internal/conf"
)

// Paths of operators' calls, which a node answers itself.
const (
	QuiescePath = "/admin/quiesce" // drain: take no more requests
	ResumePath  = "/admin/resume"  // serve again
	StatusPath  = "/admin/status"
)

var calls = []string{QuiescePath, ResumePath, StatusPath}

// Calls are the paths of all operators' calls.
func Calls() []string { return slices.Clone(calls) }

// IsCall tells whether a path is that of an operator's call.
func IsCall(path string) bool { return slices.Contains(calls, path) }

// CleanPath is a path without slashes that are too many: in a row, or at its end.
func CleanPath(path string) string {
	parts := strings.FieldsFunc(path, func(r rune) bool { return r == '/' })
	return "/" + strings.Join(parts, "/")
}

// Admin is where operators are answered.
type Admin struct {
	Address  netip.AddrPort // their own address, on loopback; the zero value: none
	OnListen bool           // their calls are answered where clients connect, too
}

func (a *App) admin(s *conf.Section) {
	defer s.End()
	a.pos.admin = s.Pos("address")
	a.Admin.Address = peerAddress(s, "address", false)
	if address := a.Admin.Address; address.IsValid() && !address.Addr().IsLoopback() {
		s.Bad("address", "a loopback address: whoever reaches it may ask and order everything")
	}
	a.Admin.OnListen = s.Bool("on_listen", false)
}

// answers tells whether the node itself answers operators on a path where clients connect.
func (a Admin) answers(path string) bool {
	return a.OnListen && IsCall(path)
}

// text is operators' own address, "" if there is none.
func (a Admin) text() string {
	if !a.Address.IsValid() {
		return ""
	}
	return a.Address.String()
}
