package node

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"indigotack/decide"
	"indigotack/internal/discovery"
	"indigotack/internal/lifecycle"
)

// TestExtremeSettings: under the settings of whatever customer, with a server
// that serves, one that says nothing and one that drains, each request has one
// whole answer, and so has each one in hand when the node is told to end, by
// the plan that the settings give.
func TestExtremeSettings(t *testing.T) {
	every := func(s *decide.Settings, change func(c *decide.Class)) {
		for i := range s.Classes {
			change(&s.Classes[i])
		}
	}
	for name, change := range map[string]func(c *Config, s *decide.Settings){
		"no grace":    func(_ *Config, s *decide.Settings) { s.DrainGrace = 0 },
		"short grace": func(_ *Config, s *decide.Settings) { s.DrainGrace = 50 * time.Millisecond },
		"lists asked for": func(_ *Config, s *decide.Settings) {
			s.AskForList, s.AskWithin, s.DrainGrace = true, time.Second, 50*time.Millisecond
		},
		"short deadlines": func(_ *Config, s *decide.Settings) {
			every(s, func(c *decide.Class) { c.Aim, c.Deadline = 40*time.Millisecond, 100*time.Millisecond })
		},
		"long deadlines": func(_ *Config, s *decide.Settings) {
			every(s, func(c *decide.Class) { c.Aim, c.Deadline = 30*time.Second, time.Minute })
		},
		"one class of an odd name, unsafe": func(_ *Config, s *decide.Settings) {
			s.Classes = []decide.Class{{Name: "só/uma; 1", Worth: 7, Aim: time.Second, Deadline: 2 * time.Second, Effect: decide.Unsafe}}
		},
		"every class unsafe": func(_ *Config, s *decide.Settings) {
			every(s, func(c *decide.Class) { c.Effect = decide.Unsafe })
		},
		"every class keyed, no window": func(_ *Config, s *decide.Settings) {
			every(s, func(c *decide.Class) { c.Effect, c.DedupWindow, c.KeyScope = decide.Keyed, 0, decide.ScopeCell })
		},
		"few sockets":          func(c *Config, _ *decide.Settings) { c.Sockets = leastSockets },
		"one request at once":  func(_ *Config, s *decide.Settings) { s.MaxOpen = 1 },
		"one attempt":          func(_ *Config, s *decide.Settings) { s.MaxAttempts = 1 },
		"nothing is allowed":   func(_ *Config, s *decide.Settings) { s.MayCancel, s.HoldOffs, s.MaxHoldOff = false, false, 0 },
		"no time to connect":   func(_ *Config, s *decide.Settings) { s.ConnectTimeout = time.Millisecond },
		"connections end soon": func(_ *Config, s *decide.Settings) { s.ConnIdle = 10 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent, got, _ := silentServer(t)
			n := startNodeWith(t, func(c *Config) { change(c, &c.Settings) }, serving(t), silent, serving(t))
			set := n.cfg.Settings
			var longest time.Duration
			for _, c := range set.Classes {
				longest = max(longest, c.Deadline)
			}
			n.front.plan = func() lifecycle.ShutdownPlan { return lifecycle.PlanShutdown(longest, true) }
			n.onLoop(t, func() {
				n.follow([]discovery.Entry{{Name: "s-2", Address: "127.0.0.1:1", Zone: "a", Kind: "m2", Status: "draining", Weight: 1}}, 2, decide.ListChanges, discovery.Origin{})
			})
			number := 0
			ask := func(c decide.Class, deadline time.Duration) raw {
				conn := n.dial(t)
				number++
				effect := map[decide.Effect]string{decide.Safe: "safe", decide.Keyed: "keyed", decide.Unsafe: "unsafe"}[c.Effect]
				fmt.Fprint(conn, textOf(effect, c.Name, fmt.Sprint("q", number), fmt.Sprintf("%.3f", deadline.Seconds())))
				return conn
			}
			answered := func(conn raw, when string) {
				t.Helper()
				resp, err := http.ReadResponse(conn.read, nil)
				if err != nil {
					t.Errorf("%s: no answer: %v", when, err)
					return
				}
				body, err := io.ReadAll(resp.Body)
				if err != nil || resp.StatusCode == 200 && string(body) != "hi" || resp.StatusCode < 200 || resp.StatusCode > 504 {
					t.Errorf("%s: %d, %q, %v, want a whole answer", when, resp.StatusCode, body, err)
				}
			}
			for range 4 {
				var conns []raw
				for _, c := range set.Classes {
					for range 3 {
						conns = append(conns, ask(c, min(c.Deadline, 300*time.Millisecond)))
					}
				}
				for _, conn := range conns {
					answered(conn, "in service")
				}
			}
			for len(got) > 0 {
				<-got
			}
			// Only servers that say nothing are left, and some requests are at them.
			n.onLoop(t, func() {
				n.follow([]discovery.Entry{{Name: "s-1", Address: silent, Zone: "a", Kind: "m2", Status: "ready", Weight: 1}}, 3, decide.ListFull, discovery.Origin{})
			})
			var conns []raw
			for _, c := range set.Classes {
				conns = append(conns, ask(c, time.Minute))
			}
			n.stop()
			for _, conn := range conns {
				answered(conn, "at the end")
			}
			n.linger()
			if err := wait(t, n.ended, "the node's end"); err != nil {
				t.Errorf("the node ends with %v", err)
			}
		})
	}
}
