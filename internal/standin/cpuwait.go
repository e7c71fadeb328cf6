package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// WatchCPU begins to measure a process's wait for a processor. What it gives is
// how long the thread that waited longest has waited since then, by the kernel's
// word; 0 where the kernel keeps no account of it.
func WatchCPU(pid int) (worst func() time.Duration) {
	before := runDelays(pid)
	return func() time.Duration {
		var most time.Duration
		for thread, waited := range runDelays(pid) {
			most = max(most, waited-before[thread])
		}
		return most
	}
}

// runDelays is how long each thread of a process has waited for a processor in
// all, by the files' paths.
func runDelays(pid int) map[string]time.Duration {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // the pattern is sound
	delays := map[string]time.Duration{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		// Nanoseconds on a processor, nanoseconds waiting for one, turns.
		fields := strings.Fields(string(text))
		if len(fields) < 2 {
			continue
		}
		waited, err := strconv.ParseInt(fields[1], 10, 64)
		if err == nil {
			delays[file] = time.Duration(waited)
		}
	}
	return delays
}
