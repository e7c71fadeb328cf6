package node

import (
	"fmt"
	"log/slog"
	"runtime/metrics"
	"time"

	"indigotack/internal/account"
	"indigotack/internal/procmem"
)

const (
	memoryEvery  = 250 * time.Millisecond // between looks at the process's memory
	bytesPerMB   = 1 << 20
	heapInUse    = "/memory/classes/heap/objects:bytes"
	eventMemory  = "memory" // the process's memory is near its limit
	reasonNearly = "near_limit"
)

// What the account leaves of the memory limit.
const (
	memoryPart      = 0.75     // of the limit that the process stays under; the log warns beyond it
	programBytes    = 16 << 20 // the program and its threads
	connectionBytes = 40 << 10 // of a client's connection, and of a server's for it: stacks, buffers, a head
	connectionPart  = 0.5      // of what the program leaves, for clients' connections at most
	garbagePart     = 0.75     // of the rest, for what the collector has not taken back yet
	leastAccount    = 1 << 20
	leastRoom       = 16 // connections
)

// besideProgram is what a process may hold beside the program, in bytes.
func besideProgram(memoryMB int) int64 {
	return int64(memoryPart*float64(memoryMB)*bytesPerMB) - programBytes
}

// connectionRoom is how many connections clients may hold within a limit of memory.
func connectionRoom(memoryMB int) int {
	return max(leastRoom, int(connectionPart*float64(besideProgram(memoryMB)))/connectionBytes)
}

// accountSize is how many bytes the bodies may take that a node holds, of which one
// request may have two.
func accountSize(memoryMB, connections, body int) int64 {
	rest := besideProgram(memoryMB) - int64(connections)*connectionBytes
	return max(int64((1-garbagePart)*float64(rest)), leastAccount, 2*int64(body))
}

// HeapLimit is how much memory, in bytes, the Go runtime is to keep the process to
// that has a limit. What the runtime does not count comes on top.
func HeapLimit(memoryMB int) int64 { return besideProgram(memoryMB) }

// memoryWatch follows how much memory the process holds.
type memoryWatch struct {
	*observer
	account *account.Account
	limit   int64 // in bytes; 0: none is known
	reader  *procmem.Reader
	peak    int64 // since it was last told
}

func newMemoryWatch(limitMB int, a *account.Account, o *observer) *memoryWatch {
	return &memoryWatch{observer: o, account: a, limit: int64(limitMB) * bytesPerMB, reader: procmem.Open()}
}

// look warns of a process that is near its limit.
func (m *memoryWatch) look() {
	resident, ok := m.reader.Resident()
	if !ok {
		return
	}
	m.peak = max(m.peak, resident)
	if m.limit > 0 && float64(resident) > memoryPart*float64(m.limit) {
		m.note(slog.LevelWarn, "memory is near its limit", eventMemory, reasonNearly,
			"resident_mb", inMB(resident), "limit_mb", inMB(m.limit), "heap_mb", inMB(heapBytes()), "held", m.account.State().Strings())
	}
}

// take gives the present and the highest memory since it was last called, as
// attributes of a line of the log.
func (m *memoryWatch) take() []any {
	m.look()
	peak := m.peak
	m.peak = 0
	resident, ok := m.reader.Resident()
	if !ok {
		return nil
	}
	return []any{"resident_mb", inMB(resident), "resident_peak_mb", inMB(peak), "heap_mb", inMB(heapBytes()), "memory_mb", inMB(m.limit), "held", m.account.State().Strings()}
}

// heapBytes is how many bytes the program's objects take, dead ones among them.
func heapBytes() int64 {
	sample := []metrics.Sample{{Name: heapInUse}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}

// inMB is a number of bytes as the log tells it.
func inMB(size int64) string { return fmt.Sprintf("%.1f", float64(size)/bytesPerMB) }

// descriptors tells how many the node's connections take, by kind, of how many.
func (n *Node) descriptors() []string {
	open, idle := n.backends.connections()
	all := []string{fmt.Sprintf("servers=%d", open), fmt.Sprintf("servers_idle=%d", idle), fmt.Sprintf("limit=%d", n.cfg.Sockets)}
	if l := n.front.limited.Load(); l != nil {
		all = append(l.kinds(), all...)
	}
	return all
}

// connections counts the connections to servers, and those of them that are idle.
func (p *pool) connections() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.idle.Len()
}

// kinds counts clients' connections by what they are for.
func (l *limited) kinds() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return []string{fmt.Sprintf("clients=%d", len(l.conns)), fmt.Sprintf("clients_idle=%d", len(l.idle)),
		fmt.Sprintf("clients_lingering=%d", len(l.lingering)), fmt.Sprintf("clients_extra=%d", len(l.extras))}
}
