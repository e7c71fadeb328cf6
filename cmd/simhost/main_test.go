package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const up = `{"up":{"seed":1,"profile_data":{"balancers":1,"caps":{"max_attempts":2},"classes":[{"name":"x","effect":"retryable",` +
	`"aim_ns":1000000000,"give_up_ns":2000000000,"importance":1}],"invariants":{"answer_slack_ns":1},"tick_ns":5000000}}},` +
	`{"roster_change":{"how":"C","version":1,"items":[{"backend":7,"zone":"z","state":"ready","nominal":1}]}}`

func line(now int, events string) string {
	return fmt.Sprintf(`{"sim_time_ns":%d,"groups":[{"node_id":3,"happened":[%s]}]}`, now, events) + "\n"
}

func TestConversation(t *testing.T) {
	in := `{"sim_time_ns":1,"groups":[]}` + "\n" + line(1, up) +
		line(2, `{"submit":{"req":"q","band":"x","patience_left_ns":1000000000}}`) +
		line(9, `{"attempt_end":{"req":"q","leg":0,"backend":7,"over":true,"delay_seen_ns":7,"disposition":0}}`) +
		line(10, `{"retire":{}},`+up)
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(replies) != 5 || replies[0] != `{"groups":[]}` || !strings.Contains(replies[2], `"assign":{"req":"q","backend":7`) {
		t.Errorf("%q", replies)
	}
}

func TestBadLineIsNamedAndNothingIsReplied(t *testing.T) {
	for _, bad := range []string{"no json\n", line(1, `{"submit":{"req":"q","patience_left_ns":1}}`), line(1, `{"odd":{}}`)} {
		var out bytes.Buffer
		err := run(strings.NewReader(`{"sim_time_ns":1,"groups":[]}`+"\n"+bad), &out)
		if err == nil || !strings.HasPrefix(err.Error(), "line 2: ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", bad, err)
		}
		if out.String() != "{\"groups\":[]}\n" {
			t.Errorf("%q: replied %q", bad, out.String())
		}
	}
}

func TestMegabytesAndTruncation(t *testing.T) {
	var many []string
	for i := range 20000 {
		many = append(many, fmt.Sprintf(`{"submit":{"req":"q%d","band":"x","patience_left_ns":1000000000}}`, i))
	}
	big := line(1, up) + line(2, strings.Join(many, ","))
	var out bytes.Buffer
	if err := run(strings.NewReader(big), &out); err != nil || bytes.Count(out.Bytes(), []byte("\n")) != 2 {
		t.Error(err)
	}
	if err := run(strings.NewReader(big[:len(big)/2]), &out); err == nil {
		t.Error("a truncated batch was taken")
	}
}
