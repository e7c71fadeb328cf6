package discovery

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// TestVersions: which of the answers to overlapping calls is news. Calls are told
// by when they began and what they asked from, answers by when they came.
func TestVersions(t *testing.T) {
	const ms = time.Millisecond
	zero := time.Unix(0, 0)
	type answer struct {
		began, came time.Duration
		from        uint64
		index       uint64
		whole       bool
		servers     int
		want        verdict
	}
	for name, answers := range map[string][]answer{
		"an older call's answer behind a newer one's": {{0, 10 * ms, 0, 47, true, 5, news}, {11 * ms, 30 * ms, 47, 48, false, 1, news}, {10 * ms, 31 * ms, 47, 47, false, 0, outdated}},
		"and a whole list of it":                      {{0, 10 * ms, 0, 47, true, 5, news}, {11 * ms, 30 * ms, 47, 48, false, 1, news}, {10 * ms, 31 * ms, 47, 47, true, 5, outdated}},
		"and the same version":                        {{0, 10 * ms, 0, 47, true, 5, news}, {11 * ms, 30 * ms, 47, 48, false, 1, news}, {10 * ms, 31 * ms, 47, 48, false, 1, outdated}},
		"an older call that tells more":               {{0, 10 * ms, 0, 47, true, 5, news}, {11 * ms, 30 * ms, 47, 48, false, 1, news}, {10 * ms, 31 * ms, 47, 49, false, 2, news}},
		"a newer call's older version":                {{0, 10 * ms, 0, 47, true, 5, news}, {10 * ms, 30 * ms, 47, 48, false, 1, news}, {11 * ms, 31 * ms, 47, 47, true, 5, outdated}},
		"a discovery that has gone back":              {{0, 10 * ms, 0, 47, true, 5, news}, {11 * ms, 30 * ms, 47, 5, true, 5, news}, {10 * ms, 31 * ms, 47, 48, false, 1, foreign}, {30 * ms, 40 * ms, 5, 6, false, 1, news}},
		"changes of one that has gone back":           {{0, 10 * ms, 0, 47, true, 5, news}, {11 * ms, 30 * ms, 47, 5, false, 1, restarted}},
		"nothing new":                                 {{0, 10 * ms, 0, 47, true, 5, news}, {11 * ms, 30 * ms, 47, 47, false, 0, nothing}},
		"the same whole list":                         {{0, 10 * ms, 0, 47, true, 5, news}, {11 * ms, 30 * ms, 47, 47, true, 5, news}},
		"most servers lost, and confirmed":            {{0, 10 * ms, 0, 47, true, 10, news}, {11 * ms, 30 * ms, 47, 48, true, 2, doubtful}, {30 * ms, 40 * ms, 0, 48, true, 2, news}},
		"most servers lost, and not":                  {{0, 10 * ms, 0, 47, true, 10, news}, {11 * ms, 30 * ms, 47, 48, true, 2, doubtful}, {30 * ms, 40 * ms, 0, 48, true, 10, news}},
		"most servers lost, by a call from before":    {{0, 10 * ms, 0, 47, true, 10, news}, {11 * ms, 30 * ms, 47, 48, true, 2, doubtful}, {12 * ms, 31 * ms, 0, 48, true, 2, outdated}},
		"most servers lost, and changes beyond it":    {{0, 10 * ms, 0, 47, true, 10, news}, {11 * ms, 30 * ms, 47, 48, true, 2, doubtful}, {12 * ms, 31 * ms, 47, 49, false, 3, news}},
	} {
		v := newVersions(time.Hour)
		for i, a := range answers {
			var l List
			if err := json.Unmarshal([]byte(listText(int(a.index), a.servers)), &l); err != nil {
				t.Fatal(err)
			}
			l.Snapshot = a.whole
			came := zero.Add(a.came)
			got := v.judge(Call{From: a.from, Began: zero.Add(a.began)}, &l, came)
			if got != a.want {
				t.Errorf("%s: answer %d is %d, want %d", name, i+1, got, a.want)
			}
			switch got {
			case news:
				v.take(&l, came)
			case doubtful:
				v.doubts(&l, came)
			case restarted:
				v.forget(came)
			}
		}
		if last := answers[len(answers)-1]; last.want == restarted && !v.asksWhole() || last.want == news && v.doubt != nil {
			t.Errorf("%s: asks for the whole list %v, doubts %v", name, v.asksWhole(), v.doubt != nil)
		}
	}
}

// TestListThatIsDoubtedIsTaken: once no second opinion has come in time, and calls
// that began after it came are newer.
func TestListThatIsDoubtedIsTaken(t *testing.T) {
	zero := time.Unix(0, 0)
	v := newVersions(250 * time.Millisecond)
	v.doubts(&List{Index: 5, Snapshot: true}, zero)
	if _, ok := v.undoubted(zero.Add(249 * time.Millisecond)); ok {
		t.Error("it is taken too early")
	}
	l, ok := v.undoubted(zero.Add(250 * time.Millisecond))
	if !ok || l.Index != 5 {
		t.Fatal("it is not taken")
	}
	v.take(l, v.doubtCame)
	if got := v.judge(Call{From: 5, Began: zero.Add(time.Millisecond)}, &List{Index: 3, Snapshot: true}, zero.Add(time.Second)); got != news {
		t.Errorf("what a call says that began after it came is %d, want news", got)
	}
}

// TestShrunk: from how many servers to how many a list is doubted.
func TestShrunk(t *testing.T) {
	for before, c := range map[int]struct {
		after int
		want  bool
	}{3: {0, false}, 4: {1, true}, 10: {5, false}, 11: {5, true}, 12: {12, false}, 20: {0, true}} {
		v := newVersions(0)
		for i := range before {
			v.names[fmt.Sprint("s", i)] = true
		}
		var now List
		if err := json.Unmarshal([]byte(listText(2, c.after)), &now); err != nil {
			t.Fatal(err)
		}
		if got := v.shrunk(&now); got != c.want {
			t.Errorf("from %d to %d servers: shrunk %v", before, c.after, got)
		}
	}
}
