package operators

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"time"

	"indigotack/internal/neterr"
)

const (
	socketMode   fs.FileMode = 0o660
	dialTime                 = time.Second            // to look who is at an address
	staleAsk                 = 200 * time.Millisecond // for a socket's process to take a connection
	noSuchHost               = "no such host here"
	inUse                    = "in use"
	noFile                   = "a file is there that is no socket"
	noFolder                 = "no folder for it"
	isFolder                 = "a folder is there"
	notPermitted             = "no permission"
	outOfFiles               = "no descriptor is left"
)

// unavailable says why an endpoint can't be listened at just now.
type unavailable struct {
	why   string
	taken bool // somebody else is there, or it is no address of this machine
	err   error
}

func (u *unavailable) Error() string {
	if u.err == nil {
		return u.why
	}
	return u.why + ": " + u.err.Error()
}

func (u *unavailable) Unwrap() error { return u.err }

// whyUnavailable reads the error of a system call.
func whyUnavailable(err error) *unavailable {
	for _, known := range []struct {
		is    error
		why   string
		taken bool
	}{
		{syscall.EADDRINUSE, inUse, true},
		{syscall.EADDRNOTAVAIL, noSuchHost, true},
		{syscall.ENOENT, noFolder, false},
		{syscall.ENOTDIR, noFolder, false},
		{syscall.EACCES, notPermitted, false},
		{syscall.EPERM, notPermitted, false},
		{syscall.EROFS, notPermitted, false},
	} {
		if errors.Is(err, known.is) {
			return &unavailable{known.why, known.taken, err}
		}
	}
	if neterr.OutOfDescriptors(err) {
		return &unavailable{outOfFiles, false, err}
	}
	return &unavailable{err.Error(), false, nil}
}

// listener is one at an endpoint, with what is its own of the file system.
type listener struct {
	net.Listener
	path string      // of its socket; "": it has no file
	file os.FileInfo // of the socket as it was made
}

// listen listens at an endpoint. Its error is an *unavailable. A socket that the
// kernel lists is only connected to where askListed says so.
func (e Endpoint) listen(ctx context.Context, askListed bool) (*listener, error) {
	if e.Network == networkUnix {
		return listenUnix(ctx, e.Address, askListed)
	}
	address, err := resolve(ctx, e.Address)
	if err != nil {
		return nil, &unavailable{noSuchHost, false, nil}
	}
	ln, err := new(net.ListenConfig).Listen(ctx, networkTCP, address)
	if err != nil {
		return nil, whyUnavailable(err)
	}
	return &listener{Listener: ln}, nil
}

// hosts knows this machine's file of hosts alone, and asks nobody.
var hosts = net.Resolver{PreferGo: true, Dial: func(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("names are looked up in the file of hosts alone")
}}

// resolve gives an address whose host is an IP address.
func resolve(ctx context.Context, address string) (string, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return address, err
	}
	if _, err := netip.ParseAddr(host); err == nil {
		return address, nil
	}
	if host == "localhost" {
		return net.JoinHostPort("127.0.0.1", port), nil
	}
	known, err := hosts.LookupNetIP(ctx, "ip", host)
	if err != nil || len(known) == 0 {
		return "", fmt.Errorf("%s: %w", host, err)
	}
	return net.JoinHostPort(known[0].Unmap().String(), port), nil
}

// listenUnix listens on a Unix socket. A file of one that nobody listens on any
// more is replaced, and any other file left alone.
func listenUnix(ctx context.Context, path string, askListed bool) (*listener, error) {
	if why := pathTooLong(path); why != "" {
		return nil, &unavailable{why, false, nil}
	}
	ln, err := bindUnix(path)
	if errors.Is(err, syscall.EADDRINUSE) && path[0] != '@' {
		if !askListed && isListed(path) {
			return nil, &unavailable{inUse, true, nil}
		}
		if err := removeStale(ctx, path); err != nil {
			return nil, err
		}
		ln, err = bindUnix(path)
	}
	if err != nil {
		return nil, whyUnavailable(err)
	}
	if path[0] == '@' {
		return &listener{Listener: ln}, nil
	}
	return ownSocket(ln, path)
}

func bindUnix(path string) (*net.UnixListener, error) {
	ln, err := net.ListenUnix(networkUnix, &net.UnixAddr{Name: path, Net: networkUnix})
	if err == nil {
		ln.SetUnlinkOnClose(false) // another process's may be there by then
	}
	return ln, err
}

// ownSocket gives a socket's file its mode and keeps which file it is.
func ownSocket(ln net.Listener, path string) (*listener, error) {
	err := os.Chmod(path, socketMode)
	file, statErr := os.Lstat(path)
	if err = errors.Join(err, statErr); err != nil {
		ln.Close()
		return nil, whyUnavailable(err)
	}
	return &listener{ln, path, file}, nil
}

// listedListening is the flag of a socket that is listened on, in the kernel's list.
const listedListening = "00010000"

// isListed tells whether the kernel's list of Unix sockets has one that is
// listened on under a path. False says nothing.
func isListed(path string) bool {
	list, err := os.ReadFile("/proc/net/unix")
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(list)) {
		fields := strings.Fields(line)
		if len(fields) == 8 && fields[3] == listedListening && fields[7] == path {
			return true
		}
	}
	return false
}

// removeStale removes a socket's file on which nobody listens. Its error, an
// *unavailable, says why what is there stays.
func removeStale(ctx context.Context, path string) error {
	file, err := os.Lstat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil // it has just gone
	case err != nil:
		return whyUnavailable(err)
	case file.IsDir():
		return &unavailable{isFolder, false, nil}
	case file.Mode().Type() != fs.ModeSocket:
		return &unavailable{noFile, false, nil}
	}
	ctx, cancel := context.WithTimeout(ctx, staleAsk)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, networkUnix, path)
	if err == nil {
		conn.Close()
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return &unavailable{inUse, true, err}
	}
	if now, err := os.Lstat(path); err != nil || !os.SameFile(now, file) {
		return &unavailable{inUse, true, err}
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return whyUnavailable(err)
	}
	return nil
}

// isThere tells whether who connects to the endpoint still gets to the listener.
func (l *listener) isThere() bool {
	if l.path == "" {
		return true
	}
	file, err := os.Lstat(l.path)
	return err == nil && os.SameFile(file, l.file) || err != nil && !errors.Is(err, fs.ErrNotExist)
}

// removeFile removes the socket's file, if it is still this listener's.
func (l *listener) removeFile() {
	if file, err := os.Lstat(l.path); l.path != "" && err == nil && os.SameFile(file, l.file) {
		os.Remove(l.path) // what stays is stale, and replaced by who comes next
	}
}
