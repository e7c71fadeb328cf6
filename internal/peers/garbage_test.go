package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"indigotack/internal/standin"
)

// warnings are the lines of a log at that level.
func warnings(log *standin.LogBuffer) (all []string) {
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, "level=WARN") {
			all = append(all, line)
		}
	}
	return all
}

// TestGarbageLeavesALineAndNoMore guards against datagrams that are no peer's: they leave a trace, fill no log, and change no view.
func TestGarbageLeavesALineAndNoMore(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log, at := &standin.LogBuffer{}, ownAddress()
	p, err := Start(ctx, testConfig("a", at, t.TempDir(), nil), slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	member(t, "b", nil, at.String())
	c, err := net.Dial("udp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began := time.Now()
	for i := range 500 {
		fmt.Fprintf(c, "GET /admin/quiesce HTTP/1.1 %d", i)
		c.Write([]byte{byte(i)})
	}
	until(t, "a view of both", func(all []Snapshot) bool { return len(all[0].Members) == 2 }, p)
	most := linesPerSecond * (2 + int(time.Since(began).Seconds()))
	lines := warnings(log)
	if len(lines) == 0 || len(lines) > most || !strings.Contains(strings.Join(lines, ""), c.LocalAddr().String()) {
		t.Errorf("%d lines tell of garbage from %v, want one and up to %d:\n%s", len(lines), c.LocalAddr(), most, strings.Join(lines, ""))
	}
}
