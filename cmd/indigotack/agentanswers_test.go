package main

import (
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"indigotack/internal/standin"
)

const (
	drainGrace  = 2 * time.Second
	socketSlack = 50 * time.Millisecond // on sockets every limit is so much longer
	mostPlays   = 3
)

// agentTrouble is how an agent answers around the moment in which it learns that
// a server drains. Calls that are made before it get no answer ever.
type agentTrouble struct {
	name   string
	before standin.Manner
	lasts  time.Duration // from the first call that is treated so to the drain
	later  []standin.Manner
}

// manners gives each call from now on one of the manners in turn, and the last one for ever.
func manners(all ...standin.Manner) func(standin.Call) standin.Manner {
	var calls atomic.Int64
	return func(standin.Call) standin.Manner {
		return all[min(int(calls.Add(1)), len(all))-1]
	}
}

// TestDrainIsKnownWhicheverCallIsAnswered guards against a drain that is known
// late as one call waits for an answer that is late or never comes, or as answers on their way are given up.
func TestDrainIsKnownWhicheverCallIsAnswered(t *testing.T) {
	at := func(d time.Duration) standin.Manner { return standin.Manner{After: d} }
	end := func(e standin.Ending) standin.Manner { return standin.Manner{End: e} }
	const short = 100 * time.Millisecond
	silent := end(standin.Silent)
	for _, c := range []agentTrouble{
		{"reset, then answers after 1.2 s", end(standin.Reset), 500 * time.Millisecond, []standin.Manner{at(1200 * time.Millisecond)}},
		{"reset, then answers after 1.4 s", end(standin.Reset), 3 * time.Second, []standin.Manner{at(1400 * time.Millisecond)}},
		{"unavailable, then answers after 1.2 s", end(standin.Unavailable), 3 * time.Second, []standin.Manner{at(1200 * time.Millisecond)}},
		{"silent, then answers after 0.9 s", silent, short, []standin.Manner{at(900 * time.Millisecond)}},
		{"silent, then answers after 1.2 s", silent, short, []standin.Manner{at(1200 * time.Millisecond)}},
		{"silent, then answers after 1.4 s", silent, 800 * time.Millisecond, []standin.Manner{at(1400 * time.Millisecond)}},
		{"trickles, then answers after 1.4 s", end(standin.Trickles), short, []standin.Manner{at(1400 * time.Millisecond)}},
		{"silent for long, then answers in parts", silent, 3500 * time.Millisecond, []standin.Manner{{Over: 1500 * time.Millisecond}}},
		{"silent for long, then one more", silent, 3500 * time.Millisecond, []standin.Manner{silent, {}}},
		{"trickles for long, then one more", end(standin.Trickles), 3500 * time.Millisecond, []standin.Manner{end(standin.Trickles), {}}},
		{"cut for long, then a silent one", end(standin.CutInBody), 3500 * time.Millisecond, []standin.Manner{silent, {}}},
		{"stops in the head twice, then answers after 1 s", end(standin.StopsInHead), short, []standin.Manner{end(standin.StopsInHead), at(time.Second)}},
		{"stops in the body, then three more", end(standin.StopsInBody), short,
			append(slices.Repeat([]standin.Manner{end(standin.StopsInBody)}, 3), standin.Manner{})},
	} {
		c.check(t)
	}
}

// check plays the trouble, beside others, and wants the drain to be known within
// the grace. A play in which the server had no requests right before it shows
// nothing, and is played again.
func (c agentTrouble) check(t *testing.T) {
	t.Run(c.name, func(t *testing.T) {
		t.Parallel()
		late := c.sentAfterDrain(t)
		for plays := 1; late < -drainGrace/4 && plays < mostPlays; plays++ {
			late = c.sentAfterDrain(t)
		}
		t.Logf("the last request was sent %v after the drain", late)
		if most := drainGrace + socketSlack; late > most {
			t.Errorf("the draining server was sent a request %v after the agent had the drain, want %v at most", late, most)
		}
	})
}

// sentAfterDrain is how long after the agent had a drain the server was still sent requests.
func (c agentTrouble) sentAfterDrain(t *testing.T) time.Duration {
	play := newDrainPlay(t)
	agent := startAgent(t, play.servers)
	play.serve(t, agent.Address(), drainGrace)
	agent.behaveFromNextCall(t, c.before)
	time.Sleep(c.lasts)
	agent.Behave(manners(c.later...))
	at := time.Now()
	agent.list("drains", "draining")
	time.Sleep(4 * drainGrace)
	return play.lastAfter(at)
}

// TestDrainBehindSilentWatch: a watch falls silent as it begins, and right then
// the agent learns that a server drains. What a local agent has counts as known
// to the node, so nothing may be sent to that server after the grace.
func TestDrainBehindSilentWatch(t *testing.T) {
	for _, silent := range []int{1, 2} { // watches in a row that say nothing
		for how, end := range map[string]standin.Ending{"says nothing": standin.Silent, "stops in the head": standin.StopsInHead,
			"stops in the body": standin.StopsInBody, "trickles": standin.Trickles} {
			manner := standin.Manner{End: end}
			agentTrouble{fmt.Sprintf("%s/%d", how, silent), manner, 0, append(slices.Repeat([]standin.Manner{manner}, silent-1), standin.Manner{})}.check(t)
		}
	}
}

// TestDrainInAPauseBehindWhichAnswersAreLate guards against requests by an old list after the process stood still, where the
// agent's answer takes up to half of the grace.
func TestDrainInAPauseBehindWhichAnswersAreLate(t *testing.T) {
	for _, takes := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(takes.String(), func(t *testing.T) {
			t.Parallel()
			play := newDrainPlay(t)
			agent := startAgent(t, play.servers)
			play.serve(t, agent.Address(), drainGrace)
			agent.behaveFromNextCall(t, standin.Manner{End: standin.Silent}) // else the drain is there to be read
			if err := play.node.Signal(syscall.SIGSTOP); err != nil {
				t.Fatal(err)
			}
			agent.Behave(manners(standin.Manner{After: takes}))
			agent.list("drains", "draining")
			time.Sleep(drainGrace * 3 / 2)
			at := time.Now()
			if err := play.node.Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			time.Sleep(drainGrace)
			if late := play.lastAfter(at); late > socketSlack {
				t.Errorf("the draining server was sent a request %v after the process went on, %v after the agent had the drain", late, late+drainGrace*3/2)
			}
		})
	}
}
