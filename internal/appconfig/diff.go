package appconfig

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"indigotack/decide"
	"indigotack/internal/route"
)

// Change is one difference between two files of an application.
type Change struct {
	What    string `json:"what"`
	Restart bool   `json:"restart"` // it is not taken up by a reload
}

// Diff tells in words how requests fare under two files: which change route,
// class, pool or limits, and what a reload does not take up.
func Diff(old, now *App) []Change {
	var out []Change
	say := func(restart bool, format string, args ...any) {
		out = append(out, Change{What: fmt.Sprintf(format, args...), Restart: restart})
	}
	value := func(restart bool, what string, a, b any) {
		if !reflect.DeepEqual(a, b) {
			say(restart, "%s: %v -> %v", what, shown(a), shown(b))
		}
	}
	value(true, "name", old.Name, now.Name)
	fields(true, "listen", old.Listen, now.Listen, value)
	fields(true, "limits", old.Limits, now.Limits, value)
	fields(true, "timeouts", old.Timeouts, now.Timeouts, value)
	fields(true, "fleet", old.Fleet, now.Fleet, value)
	value(true, "peers", old.Peers != nil, now.Peers != nil)
	if old.Peers != nil && now.Peers != nil {
		hidden := func(p Peers) Peers { p.Keys = nil; return p }
		fields(true, "peers", hidden(*old.Peers), hidden(*now.Peers), value)
		if !reflect.DeepEqual(old.Peers.Keys, now.Peers.Keys) {
			say(true, "peers: other keys")
		}
	}
	fields(true, "admin", old.Admin, now.Admin, value)
	fields(false, "servers", old.Servers, now.Servers, value)
	fields(false, "retries", old.Retries, now.Retries, value)
	fields(false, "clients", old.Clients, now.Clients, value)

	each(old.Classes, now.Classes, func(c Class) string { return c.Name }, func(name string, a, b *Class) {
		switch {
		case a == nil:
			say(false, "class %s: new", name)
		case b == nil:
			say(false, "class %s: gone", name)
		default:
			fields(false, "class "+name, *a, *b, value)
		}
	})
	each(old.Pools, now.Pools, func(p Pool) string { return p.Name }, func(name string, a, b *Pool) {
		switch {
		case a == nil:
			say(false, "pool %s: new, it starts with nothing learned of its servers", name)
		case b == nil:
			say(false, "pool %s: gone, its requests end first", name)
		default:
			fields(false, "pool "+name, *a, *b, value)
		}
	})
	each(old.Tenants, now.Tenants, func(t Tenant) string { return t.Name }, func(name string, a, b *Tenant) {
		switch {
		case a == nil:
			say(false, "tenant %s: new, quota %v", name, b.Quota)
		case b == nil:
			say(false, "tenant %s: gone, it has no quota any more", name)
		default:
			fields(false, "tenant "+name, *a, *b, value)
		}
	})
	key := func(r Route) string {
		return fmt.Sprintf("%s %s %v %v", r.Host, r.Path, r.Prefix, r.Methods)
	}
	each(old.Routes, now.Routes, key, func(_ string, a, b *Route) {
		switch {
		case a == nil:
			say(false, "requests %v: now a route of their own, class %s, %s", b, b.Class, splits(b.Splits))
		case b == nil:
			say(false, "requests %v: route gone, they take a shorter prefix's or a wider host's, or get 404", a)
		default:
			value(false, fmt.Sprintf("requests %v: class", b), a.Class, b.Class)
			value(false, fmt.Sprintf("requests %v: pool", b), splits(a.Splits), splits(b.Splits))
			value(false, fmt.Sprintf("requests %v: deadline", b), a.Deadline, b.Deadline)
			value(false, fmt.Sprintf("requests %v: split_key", b), a.SplitKey, b.SplitKey)
		}
	})
	return out
}

// each pairs two lists by name, in the old one's order and then the new one's.
func each[T any](old, now []T, name func(T) string, f func(name string, a, b *T)) {
	later := map[string]*T{}
	for i := range now {
		later[name(now[i])] = &now[i]
	}
	seen := map[string]bool{}
	for i := range old {
		n := name(old[i])
		seen[n] = true
		f(n, &old[i], later[n])
	}
	for i := range now {
		if n := name(now[i]); !seen[n] {
			f(n, nil, &now[i])
		}
	}
}

// fields compares two structs field by field; unexported ones are places in the files.
func fields(restart bool, what string, a, b any, value func(bool, string, any, any)) {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		if f := va.Type().Field(i); f.IsExported() {
			value(restart, what+": "+snake(f.Name), va.Field(i).Interface(), vb.Field(i).Interface())
		}
	}
}

// snake is a field's name as files have it: MemoryMB is memory_mb.
func snake(s string) string {
	s = strings.NewReplacer("MB", "Mb", "KB", "Kb").Replace(s)
	var b strings.Builder
	for i, c := range s {
		if c >= 'A' && c <= 'Z' {
			if i > 0 {
				b.WriteByte('_')
			}
			c += 'a' - 'A'
		}
		b.WriteRune(c)
	}
	return b.String()
}

func shown(v any) string {
	switch v := v.(type) {
	case decide.Effect:
		for name, e := range effects {
			if e == v {
				return name
			}
		}
	case decide.Scope:
		for name, s := range scopes {
			if s == v {
				return name
			}
		}
	case netip.AddrPort:
		if !v.IsValid() {
			return "none"
		}
	case time.Duration:
		if v == 0 {
			return "none"
		}
	case []string:
		if v == nil {
			return "all"
		}
	case string:
		if v == "" {
			return "none"
		}
	}
	return fmt.Sprint(v)
}

func splits(all []route.Split) string {
	if len(all) == 1 {
		return "pool " + all[0].Pool
	}
	var parts []string
	for _, s := range all {
		parts = append(parts, fmt.Sprintf("%s by %v", s.Pool, s.Weight))
	}
	return strings.Join(parts, " and ")
}
