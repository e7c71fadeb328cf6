package rig

import (
	"fmt"
	"strings"
	"time"

	"indigotack/decide"
)

// Format writes a plan as a file that ParsePlan reads back as the same plan.
func (p *Plan) Format() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	list := func(words []string) string {
		quoted := make([]string, len(words))
		for i, w := range words {
			quoted[i] = fmt.Sprintf("%q", w)
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	}
	line("name = %q\nseed = %d\n\n[fleet]\nnodes = %d\nzones = %s\nidle = %q", p.Name, p.Seed, p.Nodes, list(p.Zones), p.Idle)
	if p.Peers {
		line("peers = true")
	}
	if p.Platform {
		line("platform = true")
	}
	if p.Weights > 0 {
		line("weights = %q", p.Weights)
	}
	if p.Sockets > 0 {
		line("socket_faults = %v", p.Sockets)
	}
	if p.Calls > 0 {
		line("failing_calls = %v", p.Calls)
	}
	if len(p.Programs) > 0 {
		line("programs = %s", list(p.Programs))
	}
	line("\n[load]\nrate = %v\nlength = %q\ncool = %q\npatience = %q\nnotice = %q\nopen = %v\nleave = %v", p.Rate, p.Length, p.Cool, p.Patience, p.Notice, p.Open, p.Leave)
	v := p.Servers
	line("\n[servers]\ncount = %d\ncores = %d\nspeed = %v\nqueue = %d\ncold_from = %v\ncold_time = %q", v.Count, v.Cores, v.Speed, v.Queue, v.ColdFrom, v.ColdTime)
	line("overload_factor = %v\noverload_time = %q\ndrain_grace = %q\nlist_delay = %q", v.OverloadFactor, v.OverloadTime, v.DrainGrace, v.ListDelay)
	for _, c := range p.Classes {
		line("\n[[class]]\nname = %q\nshare = %v\nwork = %q\nworth = %v\naim = %q\ndeadline = %q\neffect = %q", c.Name, c.Share, c.Work, c.Worth, c.Aim, c.Deadline, effectWord(c.Effect))
		if c.Effect == decide.Keyed {
			line("dedup = %q", c.Dedup)
		}
	}
	for _, f := range p.Faults {
		line("\n[[fault]]")
		f.format(func(key string, value any) {
			switch value := value.(type) {
			case time.Duration:
				line("%s = %q", key, value.String())
			case string:
				line("%s = %q", key, value)
			case []string:
				line("%s = %s", key, list(value))
			default:
				line("%s = %v", key, value)
			}
		})
	}
	if p.Want.View > 0 {
		line("\n[want]\nview = %q", p.Want.View)
	} else {
		line("\n[want]")
	}
	line("goodput = %v\nleast = %v\nafter = %v\nrecover = %q\nmemory_mb = %v", p.Want.Goodput, p.Want.Least, p.Want.After, p.Want.Recover, p.Want.Memory)
	return b.String()
}

// format gives each key of a fault that is not as it would be without it.
func (f *Fault) format(set func(key string, value any)) {
	set("what", f.What)
	set("at", f.At)
	if f.For > 0 {
		set("for", f.For)
	}
	switch f.What {
	case FaultLink:
		set("between", f.Between[:])
		if f.Only != "" {
			set("only", f.Only)
		}
		c := f.Condition
		for _, one := range []struct {
			key   string
			on    bool
			value any
		}{{"drop", c.Drop, true}, {"loss", c.Loss > 0, c.Loss}, {"delay", c.Delay > 0, c.Delay}, {"jitter", c.Jitter > 0, c.Jitter},
			{"duplicate", c.Duplicate > 0, c.Duplicate}, {"reorder", c.Reorder > 0, c.Reorder}, {"rate", c.Rate > 0, c.Rate}, {"stall", c.Stall, true},
			{"half_open", c.HalfOpen, true}, {"reset", c.Reset > 0, c.Reset}, {"cut", c.Cut > 0, c.Cut}} {
			if one.on {
				set(one.key, one.value)
			}
		}
	case FaultPartition:
		var groups []string
		for _, g := range f.Groups {
			groups = append(groups, strings.Join(g, " "))
		}
		set("groups", groups)
		if f.OneWay {
			set("one_way", true)
		}
	case FaultTorn, FaultSilent:
	default:
		set("targets", f.Targets)
		if f.Every > 0 {
			set("every", f.Every)
		}
		if f.Count > 0 {
			set("count", f.Count)
		}
		if f.Part > 0 || f.What == FaultFail {
			set("part", f.Part)
		}
	}
	if f.Flap > 0 {
		set("flap", f.Flap)
	}
	switch f.What {
	case FaultSlow, FaultStarve:
		set("factor", f.Factor)
	case FaultClock, FaultStep:
		set("offset", f.Offset)
	case FaultCrowd:
		set("connections", f.Number)
		set("does", f.Does)
	case FaultAnswers:
		f.Answers.format(set)
	case FaultMove:
		f.Move.format(set)
	case FaultKill, FaultTerm:
		set("state", f.State)
	}
	if f.Back {
		set("back", true)
	}
	if f.Dealt {
		set("dealt", true)
	}
	if f.Kill {
		set("kill", true)
	}
	if f.Series {
		set("series", true)
	}
}
