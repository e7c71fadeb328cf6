package main

import (
	"strings"
	"testing"
	"time"
)

// keptLines are the lines that a program has said so far.
type keptLines struct {
	said <-chan string
	kept []string
}

func keepLines(said <-chan string) *keptLines { return &keptLines{said: said} }

// await waits for a line, among all so far and those that come within a time. It
// is false if none comes, or the program has ended.
func (l *keptLines) await(is func(string) bool, most time.Duration) bool {
	for _, line := range l.kept {
		if is(line) {
			return true
		}
	}
	for timeout := time.After(most); ; {
		select {
		case line, open := <-l.said:
			if !open {
				return false
			}
			l.kept = append(l.kept, line)
			if is(line) {
				return true
			}
		case <-timeout:
			return false
		}
	}
}

// says tells whether a program says a line with a text within a time.
func says(said <-chan string, text string, most time.Duration) bool {
	return keepLines(said).await(func(line string) bool { return strings.Contains(line, text) }, most)
}

// awaitLine reads what a program says until a line has the text.
func awaitLine(t *testing.T, said <-chan string, text string) {
	t.Helper()
	if !says(said, text, startTime) {
		t.Fatalf("the program does not say %q", text)
	}
}

// checkSaid reports a program that does not say a text soon.
func checkSaid(t *testing.T, said <-chan string, text string) {
	t.Helper()
	if !says(said, text, 5*time.Second) {
		t.Errorf("the program does not say %q", text)
	}
}

// logOnFailure logs what a program has said and nobody has read, if the test fails.
func logOnFailure(t *testing.T, said <-chan string) {
	t.Cleanup(func() {
		for t.Failed() {
			select {
			case line, open := <-said:
				if !open {
					return
				}
				t.Logf("the program said %s", line)
			default:
				return
			}
		}
	})
}
