// Package metrics counts what a node does, by event and reason. Counters only
// grow; they are read by operators from the log and the admin address.
package metrics

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// MaxSeries bounds how many counters a Set holds. What would need a further
// one is counted under the event "dropped_series".
const MaxSeries = 512

const overflow = "dropped_series"

// Sample is a counter's value at some moment.
type Sample struct {
	Event  string // such as "attempts"
	Reason string // such as "timed_out"; may be empty
	Value  uint64
}

// String gives the sample as it stands in a log line, such as attempts.reset=3.
func (s Sample) String() string {
	if s.Reason == "" {
		return fmt.Sprintf("%s=%d", s.Event, s.Value)
	}
	return fmt.Sprintf("%s.%s=%d", s.Event, s.Reason, s.Value)
}

type series struct{ event, reason string }

// Set is a set of counters. Its zero value is ready, and it is safe for
// concurrent use.
type Set struct {
	mu     sync.Mutex
	values map[series]uint64
}

// Add counts an event with its reason.
func (s *Set) Add(event, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values == nil {
		s.values = map[series]uint64{}
	}
	key := series{event, reason}
	if _, known := s.values[key]; !known && len(s.values) >= MaxSeries {
		key = series{overflow, ""}
	}
	s.values[key]++
}

// Value is the count of an event with one reason.
func (s *Set) Value(event, reason string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[series{event, reason}]
}

// Total is the count of an event over all its reasons.
func (s *Set) Total(event string) (total uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, value := range s.values {
		if key.event == event {
			total += value
		}
	}
	return total
}

// Samples gives all counters, ordered by event and reason.
func (s *Set) Samples() []Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]Sample, 0, len(s.values))
	for key, value := range s.values {
		all = append(all, Sample{key.event, key.reason, value})
	}
	slices.SortFunc(all, func(a, b Sample) int {
		return cmp.Or(strings.Compare(a.Event, b.Event), strings.Compare(a.Reason, b.Reason))
	})
	return all
}

// WriteText writes all counters in Prometheus' text format.
func (s *Set) WriteText(w io.Writer) error {
	for _, sample := range s.Samples() {
		if _, err := fmt.Fprintf(w, "indigotack_%s_total{reason=%q} %d\n", sample.Event, sample.Reason, sample.Value); err != nil {
			return err
		}
	}
	return nil
}

// ServeHTTP answers with all counters in Prometheus' text format.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	s.WriteText(w) // fails only if whoever asks has gone
}
