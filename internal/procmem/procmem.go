// Package procmem tells how much memory this process holds, as the kernel that may
// end it for too much of it counts.
package procmem

import (
	"bytes"
	"os"
	"strconv"
	"sync"
)

// statm is the kernel's account of the process's memory, in pages.
const statm = "/proc/self/statm"

// Reader reads the memory of this process. It holds one descriptor, so that it can
// be asked where no other is left. It is safe for concurrent use.
type Reader struct {
	mu   sync.Mutex
	file *os.File // nil: the kernel does not tell
	line [256]byte
}

// Open makes a reader. It tells nothing where the kernel does not.
func Open() *Reader {
	file, err := os.Open(statm)
	if err != nil {
		return &Reader{}
	}
	return &Reader{file: file}
}

// Resident is how many bytes the process holds in memory, and whether that is known.
func (r *Reader) Resident() (size int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return 0, false
	}
	n, _ := r.file.ReadAt(r.line[:], 0) // it ends with the line
	fields := bytes.Fields(r.line[:n])
	if len(fields) < 2 {
		return 0, false
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	return pages * int64(os.Getpagesize()), err == nil
}

// Close ends the reading.
func (r *Reader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return nil
	}
	file := r.file
	r.file = nil
	return file.Close()
}
