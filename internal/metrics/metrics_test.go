package metrics

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

func TestSetCountsByEventAndReason(t *testing.T) {
	var s Set
	var adders sync.WaitGroup
	for range 8 {
		adders.Go(func() {
			for range 100 {
				s.Add("attempts", "ok")
				s.Add("attempts", "reset")
			}
		})
	}
	s.Add("accepted", "")
	adders.Wait()
	if s.Value("attempts", "ok") != 800 || s.Total("attempts") != 1600 || s.Value("attempts", "none") != 0 {
		t.Errorf("%v", s.Samples())
	}
	if got := fmt.Sprint(s.Samples()); got != "[accepted=1 attempts.ok=800 attempts.reset=800]" {
		t.Error(got)
	}
	var text strings.Builder
	if err := s.WriteText(&text); err != nil || !strings.Contains(text.String(), "indigotack_attempts_total{reason=\"reset\"} 800\n") {
		t.Errorf("%v\n%s", err, text.String())
	}
}

func TestSetIsBounded(t *testing.T) {
	var s Set
	for i := range 2 * MaxSeries {
		s.Add("event", fmt.Sprint(i))
	}
	if n := len(s.Samples()); n != MaxSeries+1 || s.Total(overflow) != MaxSeries {
		t.Errorf("%d series, %d beyond them", n, s.Total(overflow))
	}
}
