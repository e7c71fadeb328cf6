package rig

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"indigotack/internal/testnet"
)

// wait is the most that a test waits for what has to come.
const wait = 20 * time.Second

// echo is a server that sends back what it gets, and ends when its client does.
func echo(t *testing.T) net.Listener {
	t.Helper()
	ln := testnet.Listen(t)
	go testnet.Serve(ln, func(_ int, c net.Conn) { io.Copy(c, c) })
	return ln
}

// before is a relay on a link of its own in front of a target.
func before(t *testing.T, target string) (*link, string) {
	t.Helper()
	l := newLink("a", "b", 1)
	r, err := newRelay(l, "127.0.0.1:0", target, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.close)
	return l, r.ln.Addr().String()
}

func dial(t *testing.T, at string) *net.TCPConn {
	t.Helper()
	c, err := net.DialTimeout("tcp", at, wait)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(wait))
	return c.(*net.TCPConn)
}

// say sends a text and wants it back.
func say(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		t.Fatalf("got %q, %v, want %q", got, err, text)
	}
}

// silence tells that nothing comes for a while; a false one only makes the test easier.
func silence(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	defer c.SetReadDeadline(time.Now().Add(wait))
	if n, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %d bytes, %v, want silence", n, err)
	}
}

// TestDroppedLink: what is open stays open and silent and goes on afterwards;
// what is new comes up only then.
func TestDroppedLink(t *testing.T) {
	l, at := before(t, echo(t).Addr().String())
	c := dial(t, at)
	say(t, c, "before")
	for _, way := range []int{there, back} { // also where only one direction is dropped
		var dropped [directions]Condition
		dropped[way].Drop = true
		l.put(1, dropped)
		for until := time.Now().Add(wait); ; { // the listener darkens a moment later
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			d, err := (&net.Dialer{}).DialContext(ctx, "tcp", at)
			cancel()
			if err != nil {
				if !os.IsTimeout(err) {
					t.Fatalf("a new connection ends with %v, want silence", err)
				}
				break
			}
			d.Close()
			if time.Now().After(until) {
				t.Fatal("new connections come up")
			}
		}
		if _, err := io.WriteString(c, "held"); err != nil {
			t.Fatal(err)
		}
		silence(t, c)
		late := make(chan error, 1)
		go func() {
			d, err := net.DialTimeout("tcp", at, wait)
			if err == nil {
				d.Close()
			}
			late <- err
		}()
		l.put(1, [directions]Condition{})
		got := make([]byte, 4)
		if _, err := io.ReadFull(c, got); err != nil || string(got) != "held" {
			t.Fatalf("afterwards %q, %v comes, want what was held", got, err)
		}
		if err := <-late; err != nil {
			t.Errorf("a connection that was tried meanwhile ends with %v", err)
		}
	}
	say(t, dial(t, at), "after")
}

// TestStalledLink: bytes are taken and never passed on, so that none may follow them.
func TestStalledLink(t *testing.T) {
	l, at := before(t, echo(t).Addr().String())
	c := dial(t, at)
	say(t, c, "before")
	l.put(1, [directions]Condition{there: {Stall: true}})
	if _, err := c.Write(make([]byte, 4<<20)); err != nil { // far more than buffers hold: it is taken
		t.Fatal(err)
	}
	l.put(1, [directions]Condition{})
	if _, err := io.WriteString(c, "after"); err != nil {
		t.Fatal(err)
	}
	silence(t, c)
	say(t, dial(t, at), "a new one is sound")
}

// TestHalfOpenLink: that one end has closed is not told while it lasts.
func TestHalfOpenLink(t *testing.T) {
	ln := testnet.Listen(t)
	l, at := before(t, ln.Addr().String())
	c := dial(t, at)
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	l.put(1, [directions]Condition{there: {HalfOpen: true}})
	c.Close()
	silence(t, far)
	l.put(1, [directions]Condition{})
	if _, err := far.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the far end reads %v, want the end", err)
	}
}

// TestResetAndCut: a reset comes before any byte of a piece, a cut in its middle.
func TestResetAndCut(t *testing.T) {
	for _, one := range []struct {
		c    Condition
		want int
	}{{Condition{Reset: 1}, 0}, {Condition{Cut: 1}, 500}} {
		ln := testnet.Listen(t)
		l, at := before(t, ln.Addr().String())
		l.put(1, [directions]Condition{there: one.c})
		c := dial(t, at)
		if _, err := c.Write(make([]byte, 1000)); err != nil {
			t.Fatal(err)
		}
		far, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(far)
		far.Close()
		if len(got) > one.want || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%v: %d bytes come, %v, want at most %d and a reset", one.c, len(got), err, one.want)
		}
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%v: the near end reads %v, want a reset", one.c, err)
		}
	}
}

// TestNothingIsMadeUpOrTwice: whatever faults come and go while bytes are in
// hand, what arrives is the beginning of what was sent, in order; all of it,
// if nothing was lost by a fault that loses.
func TestNothingIsMadeUpOrTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newLink("a", "b", rapid.Uint64().Draw(rt, "seed"))
		sink, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			rt.Fatal(err)
		}
		defer sink.Close()
		r, err := newRelay(l, "127.0.0.1:0", sink.Addr().String(), nil)
		if err != nil {
			rt.Fatal(err)
		}
		defer r.close()
		loses := rapid.Bool().Draw(rt, "loses")
		kinds := []Condition{{Drop: true}, {Delay: time.Millisecond, Jitter: 3 * time.Millisecond}, {Rate: 50 << 20}, {HalfOpen: true}, {Loss: 0.01}}
		if loses {
			kinds = append(kinds, Condition{Stall: true}, Condition{Reset: 0.1}, Condition{Cut: 0.1})
		}
		faults := rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 6).Draw(rt, "faults")
		sent := make([]byte, rapid.IntRange(1, 1<<20).Draw(rt, "bytes")/8*8)
		for i := 0; i < len(sent); i += 8 {
			binary.LittleEndian.PutUint64(sent[i:], uint64(i))
		}
		got := make(chan []byte, 1)
		go func() {
			c, err := sink.Accept()
			if err != nil {
				got <- nil
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(wait))
			if loses {
				c.SetDeadline(time.Now().Add(200 * time.Millisecond)) // the rest may never come
			}
			b, _ := io.ReadAll(c)
			got <- b
		}()
		c, err := net.Dial("tcp", r.ln.Addr().String())
		if err != nil {
			rt.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(wait))
		var writer sync.WaitGroup
		writer.Go(func() {
			c.Write(sent)
			c.(*net.TCPConn).CloseWrite()
		})
		for i, f := range faults {
			l.put(i, [directions]Condition{there: f})
			time.Sleep(time.Millisecond) // lets it meet some bytes; any other time would do as well
			if i%2 == 1 {
				l.put(i-1, [directions]Condition{})
			}
		}
		for i := range faults {
			l.put(i, [directions]Condition{})
		}
		b := <-got
		c.Close()
		writer.Wait()
		if !bytes.HasPrefix(sent, b) {
			rt.Fatalf("%d bytes arrive that are not the beginning of what was sent", len(b))
		}
		if !loses && len(b) != len(sent) {
			rt.Fatalf("%d of %d bytes arrive, and no fault loses any", len(b), len(sent))
		}
	})
}

// TestUnreachableTarget: a process that is gone refuses connections through its relay too.
func TestUnreachableTarget(t *testing.T) {
	ln := echo(t)
	ln.Close()
	_, at := before(t, ln.Addr().String())
	c, err := net.DialTimeout("tcp", at, wait)
	if err == nil { // else the reset was there first
		defer c.Close()
		c.SetDeadline(time.Now().Add(wait))
		_, err = c.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("it ends with %v, want a reset", err)
	}
}

// TestStoppedProcess is the case of a process that stands still: its kernel
// accepts connections and takes bytes, and nobody answers.
func TestStoppedProcess(t *testing.T) {
	ln := testnet.Listen(t) // never accepts
	_, at := before(t, ln.Addr().String())
	c := dial(t, at)
	if _, err := io.WriteString(c, "hello"); err != nil {
		t.Fatal(err)
	}
	silence(t, c)
}

// TestDatagrams: each condition does to datagrams what it says, and nothing else.
func TestDatagrams(t *testing.T) {
	l := newLink("a", "b", 3)
	board := newSwitchboard(func(string, string) *link { return l })
	defer board.close()
	ends := map[string]*net.UDPConn{}
	known := map[string]netip.AddrPort{}
	for i, name := range []string{"a", "b"} {
		own, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 9, byte(rand.IntN(250)), byte(i+1))})
		if err != nil {
			t.Fatal(err)
		}
		defer own.Close()
		free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		known[name] = free.LocalAddr().(*net.UDPAddr).AddrPort()
		free.Close()
		ends[name] = own
		if err := board.add(name, known[name], own.LocalAddr().(*net.UDPAddr).AddrPort()); err != nil {
			t.Fatal(err)
		}
	}
	const n = 100
	// send sends n numbered datagrams and a last one over a sound link, and
	// returns how often each came before that one.
	send := func(c Condition) (came map[uint64]int, ordered bool) {
		came, ordered = map[uint64]int{}, true
		l.put(1, [directions]Condition{there: c})
		for i := range uint64(n) {
			ends["a"].WriteToUDPAddrPort(binary.LittleEndian.AppendUint64(nil, i), known["b"])
			time.Sleep(20 * time.Microsecond) // not to overrun the socket's buffer
		}
		last, buffer := uint64(0), make([]byte, 100)
		quiet := 300 * time.Millisecond
		for {
			ends["b"].SetReadDeadline(time.Now().Add(quiet))
			m, from, err := ends["b"].ReadFromUDPAddrPort(buffer)
			if err != nil {
				break
			}
			if from != known["a"] || m != 8 {
				t.Fatalf("%d bytes come from %v, want 8 from %v", m, from, known["a"])
			}
			i := binary.LittleEndian.Uint64(buffer)
			came[i]++
			ordered = ordered && i >= last
			last = i
		}
		l.put(1, [directions]Condition{})
		return came, ordered
	}
	total := func(came map[uint64]int) (sum, most int) {
		for i, k := range came {
			if i >= n {
				t.Fatalf("datagram %d was never sent", i)
			}
			sum, most = sum+k, max(most, k)
		}
		return sum, most
	}
	for _, one := range []struct {
		name        string
		c           Condition
		least, most int // datagrams that come
		copies      int
		ordered     bool
	}{
		{"sound", Condition{}, n, n, 1, true},
		{"drop", Condition{Drop: true}, 0, 0, 0, true},
		{"stall", Condition{Stall: true}, 0, 0, 0, true},
		{"loss", Condition{Loss: 0.5}, n / 4, 3 * n / 4, 1, true},
		{"duplicate", Condition{Duplicate: 1}, 2 * n, 2 * n, 2, true},
		{"reorder", Condition{Reorder: 0.5}, n, n, 1, false},
	} {
		came, ordered := send(one.c)
		if sum, most := total(came); sum < one.least || sum > one.most || most > one.copies || one.ordered && !ordered {
			t.Errorf("%s: %d datagrams come, each at most %d times, in order %v; want %d to %d, %d times, %v", one.name, sum, most, ordered, one.least, one.most, one.copies, one.ordered)
		} else if !one.ordered && ordered {
			t.Errorf("%s: all come in order", one.name)
		}
	}
}

// BenchmarkRelay measures what a relay adds to a round trip, and what it passes in a second.
func BenchmarkRelay(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	r, err := newRelay(newLink("a", "b", 1), "127.0.0.1:0", ln.Addr().String(), nil)
	if err != nil {
		b.Fatal(err)
	}
	defer r.close()
	for _, to := range []struct{ name, at string }{{"direct", ln.Addr().String()}, {"relayed", r.ln.Addr().String()}} {
		c, err := net.Dial("tcp", to.at)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(to.name+"/roundtrip", func(b *testing.B) {
			var times []time.Duration
			text := make([]byte, 400)
			for b.Loop() {
				began := time.Now()
				if _, err := c.Write(text); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(c, text); err != nil {
					b.Fatal(err)
				}
				times = append(times, time.Since(began))
			}
			b.ReportMetric(percentile(times, 0.5), "p50-us")
			b.ReportMetric(percentile(times, 0.99), "p99-us")
		})
		b.Run(to.name+"/stream", func(b *testing.B) {
			text := make([]byte, 1<<20)
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				go c.Write(text)
				if _, err := io.ReadFull(c, make([]byte, len(text))); err != nil {
					b.Fatal(err)
				}
			}
		})
		c.Close()
	}
}

func percentile(times []time.Duration, p float64) float64 {
	slices.Sort(times)
	return float64(times[int(p*float64(len(times)-1))]) / float64(time.Microsecond)
}

// TestOnePortToTwoServers guards against an attempt that is held against another node, whose connection to another server has the same port.
func TestOnePortToTwoServers(t *testing.T) {
	f := &fleet{}
	f.noteConnection("127.0.0.1:1", "s0", "n0")
	f.noteConnection("127.0.0.1:1", "s1", "n1")
	for server, want := range map[string]string{"s0": "n0", "s1": "n1", "s2": ""} {
		if got := f.nodeOf("127.0.0.1:1", server); got != want {
			t.Errorf("%s sees %q, want %q", server, got, want)
		}
	}
}
