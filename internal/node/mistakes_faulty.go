//go:build faulty

package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"indigotack/decide"
	"indigotack/internal/discovery"
	"indigotack/internal/faultnet"
)

// mistake is what this build does wrong.
var mistake = os.Getenv("INDIGOTACK_MISTAKE")

var (
	count           atomic.Int64
	leaked          sync.Map     // what nobody closes
	coldest         atomic.Value // the name of the server that started last
	discoverySilent atomic.Bool
)

// afterAnswer: "answers-twice" says more on each tenth request's connection.
func afterAnswer(r *http.Request) {
	if c := clientOf(r); mistake == "answers-twice" && c.raw() != nil && count.Add(1)%10 == 0 {
		time.AfterFunc(3*time.Millisecond, func() {
			c.raw().Control(func(fd uintptr) { syscall.Write(int(fd), []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) })
		})
	}
}

// afterAttempt: "repeats-unsafe" makes any attempt again that ended as a
// reset; "leaks" keeps a descriptor of each fourth attempt for ever.
func afterAttempt(again func() result, res result) result {
	switch {
	case mistake == "repeats-unsafe" && res.code == decide.Reset:
		return again()
	case mistake == "leaks" && count.Add(1)%4 == 0:
		if f, err := os.Open(os.DevNull); err == nil {
			leaked.Store(count.Load(), f)
		}
	}
	return res
}

// onStop: "drops-at-stop" ends at once.
func onStop() {
	if mistake == "drops-at-stop" {
		syscall.Exit(0) // os.Exit lingers under the race detector
	}
}

// onCallFailed: "ends-on-torn-list" does.
func onCallFailed(err error) {
	if mistake == "ends-on-torn-list" && errors.Is(err, io.ErrUnexpectedEOF) {
		panic(err)
	}
}

// onDiscovery: "hangs-with-discovery" has its loop wait for a discovery that says nothing.
func onDiscovery(reason string) {
	if mistake == "hangs-with-discovery" && reason == discovery.Unheard {
		discoverySilent.Store(true)
	}
}

// listedAs: "ignores-drains" takes draining servers for ready ones.
func listedAs(_ discovery.Entry, state decide.ServerState) decide.ServerState {
	if mistake == "ignores-drains" && state == decide.Draining {
		return decide.Ready
	}
	return state
}

// startedAt: "floods-cold" takes cold servers for warm ones, and sends them all.
func startedAt(e discovery.Entry) int64 {
	if mistake == "floods-cold" {
		if e.SinceMS > 0 {
			coldest.Store(e.Name)
		}
		return 0
	}
	return e.SinceMS
}

// socketFaults is which part of accepts, connects and reads fail or fall short,
// and the seed of that, as INDIGOTACK_SOCKET_FAULTS has them ("0.02:7").
var socketFaults = sync.OnceValues(func() (part float64, seed uint64) {
	fmt.Sscanf(os.Getenv("INDIGOTACK_SOCKET_FAULTS"), "%g:%d", &part, &seed) // without them there are none
	return part, seed
})

func failingAccepts(ln net.Listener) net.Listener {
	part, seed := socketFaults()
	if part == 0 {
		return ln
	}
	return &faultnet.Listener{Listener: ln, Source: faultnet.NewRandom(seed, part, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE,
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETUNREACH, syscall.EINTR, syscall.ETIMEDOUT)}
}

func failConnects(d *net.Dialer) {
	if part, seed := socketFaults(); part > 0 {
		connect := d.ControlContext
		fails := faultnet.Connects(faultnet.NewRandom(seed+1, part, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS,
			syscall.ENFILE, syscall.EINTR, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNREFUSED))
		d.ControlContext = func(ctx context.Context, network, address string, raw syscall.RawConn) error {
			if err := fails(ctx, network, address, raw); err != nil {
				return err
			}
			return connect(ctx, network, address, raw)
		}
	}
}

func shortRead(b []byte) []byte {
	part, _ := socketFaults()
	if len(b) > 1 && rand.Float64() < part {
		return b[:1+rand.IntN(len(b)-1)]
	}
	return b
}

// watchTimes: "patient-with-watches" waits for a silent watch as long as a
// remote service may take, whatever the grace; "gives-up-calls" has one call open
// beside the oldest.
func watchTimes(t discovery.Times) discovery.Times {
	if mistake == "patient-with-watches" {
		t.Hold, t.FirstStep, t.LastStep = 2*time.Second, time.Second, time.Second
	}
	if mistake == "gives-up-calls" {
		t.MostCalls = 3
	}
	return t
}

func instead(n *owner, id decide.ServerID) decide.ServerID {
	if discoverySilent.Load() {
		time.Sleep(20 * time.Second)
	}
	if name, ok := coldest.Load().(string); ok {
		return n.ids.of(name)
	}
	return id
}

// beforeMove: "leaves-discovery-early" ends the discovery before when its
// configuration names another one.
func beforeMove(s *discovery.Sources) {
	if mistake == "leaves-discovery-early" {
		s.Leave()
	}
}
