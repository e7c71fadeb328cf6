package appconfig

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"indigotack/internal/conf"
)

// Bounds of [peers].
const (
	maxJoin    = 64
	maxKeys    = 8
	maxKeyFile = 4 << 10 // bytes
)

func (a *App) peers(s *conf.Section) {
	defer s.End()
	p := &Peers{Name: s.String("name", a.Name)}
	a.Peers = p
	a.pos.peerName, a.pos.peerListen, a.pos.peerState = s.Pos("name"), s.Pos("listen"), s.Pos("state")
	if !nameForm.MatchString(p.Name) {
		s.Bad("name", nameWant)
	}
	p.Listen = peerAddress(s, "listen", true)
	if p.Advertise = p.Listen; s.Has("advertise") {
		p.Advertise = peerAddress(s, "advertise", true)
	} else if p.Listen.Addr().IsUnspecified() {
		s.Bad("advertise", "the address under which the others find this node, as it listens on all")
	}
	p.Join = s.Strings("join")
	if len(p.Join) > maxJoin {
		s.Bad("join", "at most %d addresses", maxJoin)
	}
	for _, one := range p.Join {
		if at, err := netip.ParseAddrPort(one); err != nil || at.Port() == 0 {
			s.Bad("join", "addresses such as \"127.0.0.1:7946\", not %q", one)
		}
	}
	p.State = folder(s, "state", a.File)
	if p.State == "" {
		s.Bad("state", "a folder of this node's own, which lasts over restarts")
	}
	if s.Has("key_file") {
		if path := folder(s, "key_file", a.File); path != "" {
			var err error
			if p.Keys, err = readKeys(path); err != nil {
				s.Bad("key_file", "a file of keys: %v", err)
			}
		}
	} else if p.Listen.IsValid() && !p.Listen.Addr().IsLoopback() {
		s.Bad("key_file", "a file of keys, as this node listens on more than this machine")
	}
	p.Probe = s.Duration("probe", 500*time.Millisecond, 50*time.Millisecond, time.Minute)
	p.Settle = s.Duration("settle", time.Second, 100*time.Millisecond, time.Minute)
	p.Retry = s.Duration("retry", 2*time.Second, 100*time.Millisecond, time.Hour)
	p.Remember = s.Duration("remember", 72*time.Hour, time.Second, 10_000*time.Hour)
}

// folder is a path, from the application's file on.
func folder(s *conf.Section, key, file string) string {
	path := s.String(key, "")
	if path != "" && !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(file), path)
	}
	return path
}

func peerAddress(s *conf.Section, key string, needed bool) (at netip.AddrPort) {
	text := s.String(key, "")
	if text == "" && !needed && !s.Has(key) {
		return at
	}
	at, err := netip.ParseAddrPort(text)
	if err != nil || at.Port() == 0 {
		s.Bad(key, "an address and port such as \"127.0.0.1:7946\"")
		return netip.AddrPort{}
	}
	return at
}

// readKeys reads base64 keys, a line each; the first seals, any opens.
func readKeys(path string) ([][]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxKeyFile {
		return nil, fmt.Errorf("%s has %d bytes, at most %d", path, info.Size(), maxKeyFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys [][]byte
	for i, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil || len(key) != 16 && len(key) != 24 && len(key) != 32 {
			return nil, fmt.Errorf("%s:%d: want 16, 24 or 32 bytes in base64", path, i+1)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, fmt.Errorf("%s has %d keys, want 1 to %d", path, len(keys), maxKeys)
	}
	return keys, nil
}
