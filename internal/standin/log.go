package standin

import (
	"bytes"
	"sync"
)

// LogBuffer keeps what is logged. It is safe for concurrent use.
type LogBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *LogBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// String is all that has been logged so far.
func (b *LogBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
