package rig

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"indigotack/decide"
	"indigotack/internal/conf"
)

// LoadPlan reads and checks the plan at path. An error is conf.Mistakes.
func LoadPlan(path string) (*Plan, error) { return readPlan(conf.ReadFile(path)) }

// ParsePlan is LoadPlan for a text; binaries are looked for from file's folder on.
func ParsePlan(file string, data []byte) (*Plan, error) { return readPlan(conf.Parse(file, data)) }

func readPlan(d *conf.Doc) (*Plan, error) {
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	p, s := defaults(), d.Root()
	p.Name = s.String("name", p.Name)
	p.Seed = uint64(s.Int("seed", int(p.Seed), 0, 1<<62))
	p.readFleet(s.Table("fleet"), filepath.Dir(d.File))
	p.readLoad(s.Table("load"))
	p.readServers(s.Table("servers"))
	for _, t := range s.Tables("class") {
		p.readClass(t)
	}
	if p.Classes == nil {
		p.Classes = defaultClasses()
	}
	faults := s.Tables("fault")
	if len(p.Classes) > maxClasses {
		s.Bad("class", "at most %d of them", maxClasses)
	}
	if len(faults) > maxFaults {
		s.Bad("fault", "at most %d of them", maxFaults)
		faults = nil
	}
	for _, t := range faults {
		p.readFault(t)
	}
	p.readWant(s.Table("want"))
	if n := p.Rate * p.Length.Seconds(); n > maxRequests {
		s.Table("load").Bad("rate", "at most %d requests over its length, not %.0f", maxRequests, n)
	}
	s.End()
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	return &p, nil
}

func (p *Plan) readFleet(s *conf.Section, dir string) {
	defer s.End()
	p.Nodes = s.Int("nodes", p.Nodes, 1, MaxNodes)
	if s.Has("zones") {
		if p.Zones = s.Strings("zones"); len(p.Zones) == 0 || slices.Contains(p.Zones, "") {
			s.Bad("zones", "one zone or more, each with a name")
			p.Zones = []string{"a"}
		}
	}
	p.Peers = s.Bool("peers", false)
	if p.Platform = s.Bool("platform", false); p.Platform && p.Peers {
		s.Bad("peers", "false on a platform, where nodes keep no view")
	}
	p.Sockets = s.Float("socket_faults", 0, 0, 0.5)
	p.Weights = s.Duration("weights", 0, 50*time.Millisecond, time.Hour)
	p.Calls = s.Float("failing_calls", 0, 0, 0.5)
	p.Idle = s.Duration("idle", p.Idle, 100*time.Millisecond, time.Hour)
	for _, one := range s.Strings("programs") {
		if !filepath.IsAbs(one) {
			one = filepath.Join(dir, one)
		}
		p.Programs = append(p.Programs, one)
	}
}

func (p *Plan) readLoad(s *conf.Section) {
	defer s.End()
	p.Rate = s.Float("rate", p.Rate, 0.1, 5000)
	p.Length = s.Duration("length", p.Length, 100*time.Millisecond, maxLength)
	p.Cool = s.Duration("cool", p.Cool, 0, time.Minute)
	p.Patience = s.Duration("patience", p.Patience, 0, time.Minute)
	p.Notice = s.Duration("notice", p.Notice, 0, time.Minute)
	p.Open = s.Float("open", p.Open, 0, 0.9)
	p.Leave = s.Float("leave", p.Leave, 0, 0.9)
}

func (p *Plan) readServers(s *conf.Section) {
	defer s.End()
	v := &p.Servers
	v.Count = s.Int("count", v.Count, 1, MaxServers)
	v.Cores = s.Int("cores", v.Cores, 1, 64)
	v.Speed = s.Float("speed", v.Speed, 0.01, 100)
	v.Queue = s.Int("queue", v.Queue, 0, 10_000)
	v.ColdFrom = s.Float("cold_from", v.ColdFrom, 0.01, 1)
	v.ColdTime = s.Duration("cold_time", v.ColdTime, 0, time.Hour)
	v.OverloadFactor = s.Float("overload_factor", v.OverloadFactor, 1, 100)
	v.OverloadTime = s.Duration("overload_time", v.OverloadTime, 100*time.Millisecond, time.Minute)
	v.DrainGrace = s.Duration("drain_grace", v.DrainGrace, 0, time.Minute)
	v.ListDelay = s.Duration("list_delay", v.ListDelay, 0, time.Minute)
}

func (p *Plan) readClass(s *conf.Section) {
	defer s.End()
	c := Class{Name: s.String("name", "")}
	if c.Name == "" || strings.ContainsAny(c.Name, "/ \"\\") || slices.ContainsFunc(p.Classes, func(o Class) bool { return o.Name == c.Name }) {
		s.Bad("name", "a name of its own without blanks, quotes and slashes")
	} else {
		s.SetName("class " + c.Name)
	}
	c.Share = s.Float("share", 1, 0, 1e6)
	c.Work = s.Duration("work", 20*time.Millisecond, 0, time.Minute)
	c.Worth = s.Float("worth", 1, 0.001, 1e6)
	c.Deadline = s.Duration("deadline", 2*time.Second, 300*time.Millisecond, time.Minute)
	c.Aim = s.Duration("aim", c.Deadline/2, time.Millisecond, c.Deadline)
	c.Effect = effectWords[s.OneOf("effect", "safe", "safe", "keyed", "unsafe")]
	if c.Effect == decide.Keyed {
		c.Dedup = s.Duration("dedup", 2500*time.Millisecond, time.Millisecond, time.Hour)
	}
	p.Classes = append(p.Classes, c)
}

func (p *Plan) readFault(s *conf.Section) {
	defer s.End()
	f := Fault{What: s.OneOf("what", "", faultWords...)}
	if f.What == "" {
		if !s.Has("what") {
			s.Bad("what", "one of %s", strings.Join(faultWords, ", "))
		}
		s.Keys() // what else is there can't be judged
		return
	}
	s.SetName(fmt.Sprintf("fault %s", f.What))
	f.At = s.Duration("at", 0, 0, maxLength)
	if f.At > p.Length {
		s.Bad("at", "within the load's length of %v", p.Length)
	}
	f.For = s.Duration("for", 0, 0, maxLength)
	switch f.What {
	case FaultLink:
		p.readLink(s, &f)
	case FaultPartition:
		p.readPartition(s, &f)
	case FaultTorn, FaultSilent:
	default:
		p.readTargets(s, &f)
	}
	p.Faults = append(p.Faults, f)
}

func (p *Plan) readLink(s *conf.Section, f *Fault) {
	ends := s.Strings("between")
	if len(ends) != 2 {
		s.Bad("between", "two names or patterns of ends, such as [\"n0\", \"s*\"]")
		ends = []string{"*", "*"}
	}
	f.Between = [2]string{ends[0], ends[1]}
	p.wantEnds(s, "between", ends, func(string) bool { return true }, "ends")
	if len(p.between(f.Between[0], f.Between[1])) == 0 {
		s.Bad("between", "ends with a link between them: clients and nodes, nodes and servers, nodes and discovery, two nodes")
	}
	if f.Only = s.OneOf("only", "both", "both", "there", "back"); f.Only == "both" {
		f.Only = ""
	}
	f.Flap = s.Duration("flap", 0, 50*time.Millisecond, maxLength)
	f.Condition = Condition{Drop: s.Bool("drop", false), Loss: s.Float("loss", 0, 0, 1), Delay: s.Duration("delay", 0, 0, time.Minute),
		Jitter: s.Duration("jitter", 0, 0, time.Minute), Duplicate: s.Float("duplicate", 0, 0, 1), Reorder: s.Float("reorder", 0, 0, 1),
		Rate: s.Int("rate", 0, 1, 1<<30), Stall: s.Bool("stall", false), HalfOpen: s.Bool("half_open", false),
		Reset: s.Float("reset", 0, 0, 1), Cut: s.Float("cut", 0, 0, 1)}
	if f.Condition.sound() {
		s.Bad("between", "something that is wrong with them: drop, loss, delay, jitter, duplicate, reorder, rate, stall, half_open, reset or cut")
	}
}

func (p *Plan) readPartition(s *conf.Section, f *Fault) {
	f.OneWay = s.Bool("one_way", false)
	f.Flap = s.Duration("flap", 0, 50*time.Millisecond, maxLength)
	for _, group := range s.Strings("groups") {
		ends := strings.Fields(group)
		p.wantEnds(s, "groups", ends, func(string) bool { return true }, "ends")
		f.Groups = append(f.Groups, ends)
	}
	if len(f.Groups) < 2 {
		s.Bad("groups", "two groups of ends or more, such as [\"n0 n1 s0\", \"n2 s1\"]")
	}
}

func (p *Plan) readTargets(s *conf.Section, f *Fault) {
	f.Targets = s.Strings("targets")
	allowed, what := func(end string) bool { return isNode(end) || isServer(end) }, "nodes or servers"
	switch f.What {
	case FaultTerm, FaultStarve, FaultClock, FaultReload, FaultMove, FaultStep, FaultCrowd, FaultAnswers, FaultQuiesce:
		allowed, what = isNode, "nodes"
	case FaultSlow, FaultFail, FaultHang, FaultDrain:
		allowed, what = isServer, "servers"
	}
	if len(f.Targets) == 0 {
		s.Bad("targets", "names or patterns of %s", what)
	}
	p.wantEnds(s, "targets", f.Targets, allowed, what)
	f.Every = s.Duration("every", 0, 0, maxLength)
	f.Count = s.Int("count", 0, 1, MaxNodes+MaxServers)
	switch f.What {
	case FaultSlow:
		f.Factor = s.Float("factor", 4, 0.01, 1000)
	case FaultStarve:
		f.Factor = s.Float("factor", 8, 2, maxStarve)
	case FaultFail:
		f.Part = s.Float("part", 0.5, 0, 1)
	case FaultClock, FaultStep:
		f.Offset = s.Duration("offset", time.Hour, -24*time.Hour, 24*time.Hour)
	case FaultCrowd:
		f.Number = s.Int("connections", 200, 1, maxCrowd)
		f.Does = s.OneOf("does", crowdWords[0], crowdWords...)
	case FaultAnswers:
		f.Answers = readAnswers(s)
	case FaultMove:
		f.Move = readMove(s)
	case FaultQuiesce:
		f.Dealt = s.Bool("dealt", false)
	case FaultKill, FaultTerm:
		f.State = s.OneOf("state", StateSame, StateSame, StateEmpty, StateTorn, StateOlder, StateFull)
	}
	if f.What == FaultTerm {
		f.Kill, f.Series = s.Bool("kill", false), s.Bool("series", false)
	}
	if f.What == FaultDrain {
		f.Back = s.Bool("back", false)
	}
	if (f.What == FaultMove || f.What == FaultAnswers) && !p.Platform {
		s.Bad("what", "fleet.platform = true, where a local agent has the list")
	}
	if f.What != FaultFail && s.Has("part") {
		f.Part = s.Float("part", 0, 0.001, 1)
	}
	if f.For == 0 && (f.What == FaultStop || f.What == FaultTerm || f.What == FaultDrain && f.Back || f.What == FaultStep || f.What == FaultCrowd || f.What == FaultAnswers) {
		s.Bad("for", "a time after which it is over")
	}
}

func (p *Plan) readWant(s *conf.Section) {
	defer s.End()
	p.Want.Goodput = s.Float("goodput", p.Want.Goodput, 0, 1)
	p.Want.Least = s.Float("least", p.Want.Least, 0, 1)
	p.Want.After = s.Float("after", p.Want.After, 0, 1)
	p.Want.Recover = s.Duration("recover", 5*time.Second, 0, maxLength)
	if p.Want.View = s.Duration("view", 0, 0, maxLength); p.Want.View > 0 && !p.Peers {
		s.Bad("view", "fleet.peers = true, without which nodes keep no view")
	}
	p.Want.Memory = s.Float("memory_mb", p.Want.Memory, 1, 1<<20)
}

// wantEnds notes patterns that match nothing.
func (p *Plan) wantEnds(s *conf.Section, key string, patterns []string, allowed func(string) bool, what string) {
	for _, one := range patterns {
		if !slices.ContainsFunc(p.matching([]string{one}), allowed) {
			s.Bad(key, "%s: %q is none of this plan's", what, one)
		}
	}
}
