// Package peers keeps a node's view of its fleet by a failure detector: SWIM
// with Lifeguard, as hashicorp/memberlist has it. What is settled and what is
// only out of reach is package view's to say; this package does the I/O.
package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"indigotack/internal/clock"
	"indigotack/internal/eventlog"
	"indigotack/internal/view"
)

// Config of a node's peers.
type Config struct {
	Name, Zone, Program string
	Listen              netip.AddrPort // UDP and TCP
	Advertise           netip.AddrPort // under which the others reach it
	Join                []string       // addresses of some members, tried until one answers and whenever this node is alone
	State               string         // folder of this node's own
	Keys                [][]byte       // of 16, 24 or 32 bytes: the first one seals, any opens; none: no encryption
	Probe               time.Duration  // between looks at members
	Settle              time.Duration
	Retry               time.Duration // between tries of members that are out of reach, about
	Remember            time.Duration
	Drained             func() bool // whether operators have this node drained; nil: never
}

const (
	sayOften   = 250 * time.Millisecond // while a view is not settled, and for sayLong after
	sayLong    = 3 * time.Second
	saySeldom  = 5 * time.Second
	tickTime   = 100 * time.Millisecond
	saveTime   = 2 * time.Second // between writes of the state, at least
	tries      = 3               // members that are tried again at once
	tryTime    = time.Second     // for a connection to one
	alarmTime  = 3 * time.Second // after a member was lost, all others are tried, so many every so often
	alarmTries = 8
	alarmEvery = 250 * time.Millisecond
	quietTime  = 300 * time.Millisecond
	aloneTime  = 5 * time.Second
	twinTime   = 10 * time.Second       // some times what the detector takes to find a process dead
	sayTime    = 300 * time.Millisecond // three rounds of gossip
	leaveTime  = 700 * time.Millisecond
	maxRestart = 3 // starts that are taken in one process, as others remember higher ones
	maxMessage = 512
	nameMark   = "#" // between a member's name and its start, which together name one process
)

// Peers is a node's part in its fleet.
type Peers struct {
	cfg   Config
	log   *slog.Logger
	began time.Time

	mu        sync.Mutex // guards what follows; never held while memberlist is called
	view      *view.View
	seq       uint64          // of the node's own words
	heard     map[string]last // word of each process
	changedAt time.Time
	saidAt    time.Time
	leaving   bool
	dirty     bool            // the state on the disk is not the view's
	joinHeard map[string]bool // addresses to join at that answer, or where nobody listens

	list      atomic.Pointer[memberlist.Memberlist]
	queue     *memberlist.TransmitLimitedQueue
	transport atomic.Pointer[transport]
	size      atomic.Int64
	restarts  int
	again     chan struct{} // others remember a higher start of this name
	suspected chan string   // addresses where nobody seems to listen
	alarmed   time.Time     // since when others may have crashed too; guarded by mu
}

// Start makes the node a member. It goes on until ctx ends; Leave tells the others.
func Start(ctx context.Context, cfg Config, log *slog.Logger) (*Peers, error) {
	if err := os.MkdirAll(cfg.State, 0o700); err != nil && !mayPass(err) {
		return nil, fmt.Errorf("peers: %w", err)
	} else if err != nil {
		log.Error("peers: the state folder can't be made for now", "err", err)
	}
	kept, err := loadState(cfg.State, cfg.Name)
	if err != nil {
		log.Error("peers: the state of before is refused, and put aside", "err", err)
	}
	p := &Peers{cfg: cfg, log: log, began: time.Now(), heard: map[string]last{}, joinHeard: map[string]bool{}, again: make(chan struct{}, 1), suspected: make(chan string, 64), changedAt: time.Now()}
	p.queue = &memberlist.TransmitLimitedQueue{NumNodes: func() int { return int(max(1, p.size.Load())) }, RetransmitMult: 4}
	// A folder that was lost takes no earlier start again, unless the clock is set back as well.
	p.reset(max(kept.Start+1, uint64(max(0, clock.Wall().UnixMilli()))), kept.Members)
	if err := p.listen(); err != nil {
		return nil, err
	}
	go p.run(ctx)
	go p.retry(ctx)
	if cfg.Drained != nil {
		go p.tellDrains(ctx)
	}
	return p, nil
}

func (p *Peers) now() view.Time { return time.Since(p.began) }

// reset begins a view anew, under a start.
func (p *Peers) reset(start uint64, remembered []view.Info) {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := view.Info{Name: p.cfg.Name, Start: start, Address: p.cfg.Advertise.String(), Zone: p.cfg.Zone, Program: p.cfg.Program}
	p.view = view.New(p.now(), self, view.Config{Settle: p.cfg.Settle, Alone: max(aloneTime, p.cfg.Settle), Twins: twinTime, Remember: p.cfg.Remember})
	for _, m := range remembered {
		if m.Name != p.cfg.Name {
			p.view.Remember(p.now(), m)
		}
	}
	p.view.Awaited(p.now(), p.awaitsJoin())
	p.dirty = true
	p.size.Store(int64(p.view.Counted()))
	p.save()
}

// listen joins the detector under the view's own name and start.
func (p *Peers) listen() error {
	p.mu.Lock()
	self := p.view.Self()
	p.mu.Unlock()
	logger := log.New(lineWriter{p.log, eventlog.NewLimiter(linesPerSecond)}, "", 0)
	t, err := newTransport(p.cfg.Listen, logger)
	if err != nil {
		return err
	}
	c := memberlist.DefaultLANConfig()
	c.Name = processName(self.Name, self.Start)
	c.Transport, c.Logger = t, logger
	c.BindAddr, c.BindPort = p.cfg.Listen.Addr().String(), int(p.cfg.Listen.Port())
	c.AdvertiseAddr, c.AdvertisePort = p.cfg.Advertise.Addr().String(), int(p.cfg.Advertise.Port())
	c.Delegate, c.Events = (*delegate)(p), (*delegate)(p)
	c.ProbeInterval, c.ProbeTimeout = p.cfg.Probe, p.cfg.Probe*2/5
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = 3, 4
	c.GossipInterval, c.GossipNodes = 100*time.Millisecond, 3
	c.PushPullInterval = 5 * time.Second
	c.TCPTimeout = 2 * time.Second
	c.GossipToTheDeadTime = 5 * time.Second
	c.EnableCompression = false // packets are small, and CPU is the application's
	if len(p.cfg.Keys) > 0 {
		if c.Keyring, err = memberlist.NewKeyring(p.cfg.Keys, p.cfg.Keys[0]); err != nil {
			return errors.Join(fmt.Errorf("peers: keys: %w", err), t.Shutdown())
		}
	}
	list, err := memberlist.Create(c)
	if err != nil {
		return errors.Join(fmt.Errorf("peers: %w", err), t.Shutdown())
	}
	t.refused = func(address string) {
		select {
		case p.suspected <- address:
		default: // there are enough to look into
		}
	}
	p.transport.Store(t)
	p.list.Store(list)
	return nil
}

// run lets time pass for the view, says what it is and keeps it.
func (p *Peers) run(ctx context.Context) {
	tick := time.NewTicker(tickTime)
	defer tick.Stop()
	saved := time.Now()
	for {
		select {
		case <-ctx.Done():
			p.list.Load().Shutdown()
			return
		case <-p.again:
			p.startOver()
			continue
		case <-tick.C:
		}
		p.do(func(v *view.View, now view.Time) []view.Change { return v.Tick(now) })
		p.mu.Lock()
		often := !p.view.Settled() || time.Since(p.changedAt) < sayLong || p.waitedFor()
		if wait := time.Since(p.saidAt); often && wait >= sayOften || wait >= saySeldom {
			p.say()
		}
		if p.dirty && time.Since(saved) >= saveTime {
			p.save()
			saved = time.Now()
		}
		p.mu.Unlock()
	}
}

// startOver takes a start above all that others remember of this name: the
// state folder was lost, or is an older copy.
func (p *Peers) startOver() {
	if p.restarts++; p.restarts > maxRestart {
		p.log.Error("peers: others go on remembering higher starts of this name; two processes have it, or share a state folder", "name", p.cfg.Name)
		return
	}
	p.mu.Lock()
	start := p.view.Newest() + 1
	var known []view.Info
	for _, m := range p.view.Members() {
		known = append(known, m.Info)
	}
	p.mu.Unlock()
	p.log.Warn("peers: the state folder is older than what others remember, starting anew above that", "start", start)
	if err := p.list.Load().Shutdown(); err != nil {
		p.log.Error("peers: leaving under the old start", "err", err)
	}
	p.reset(start, known)
	if err := p.listen(); err != nil {
		p.log.Error("peers: this node takes no part in its fleet any more", "err", err)
		return
	}
	p.join(p.targets())
}

// do tells the view something and follows up on what changes.
func (p *Peers) do(tell func(v *view.View, now view.Time) []view.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.view.Digest()
	changes := tell(p.view, p.now())
	if p.view.Digest() != before {
		p.changedAt = time.Now()
		p.say()
	}
	p.size.Store(int64(p.view.Counted()))
	for _, c := range changes {
		level := slog.LevelInfo
		switch c.What {
		case "twin", "superseded":
			level = slog.LevelError
		case view.Unreachable.String(), view.Gone.String(), "forgotten":
			level = slog.LevelWarn
			p.alarmed = time.Now()
		}
		p.dirty = p.dirty || c.What != "settled" && c.What != "unsettled" && c.What != view.Suspect.String()
		p.log.Log(context.Background(), level, "peers: "+c.What, "member", c.Member.Name, "start", c.Member.Start, "address", c.Member.Address)
	}
}

// save keeps the view. The caller holds mu.
func (p *Peers) save() {
	s := state{Name: p.cfg.Name, Start: p.view.Self().Start}
	for _, m := range p.view.Members() {
		if m.Name != p.cfg.Name && m.State != view.Left {
			s.Members = append(s.Members, m.Info)
		}
	}
	if err := s.save(p.cfg.State); err != nil {
		p.log.Error("peers: the state is not kept, which is tried again; after a restart this node would know what it knew before", "err", err)
		p.dirty = true
		return
	}
	p.dirty = false
}

// processName is a process's at the detector, and among its words.
func processName(name string, start uint64) string {
	return name + nameMark + strconv.FormatUint(start, 10)
}

// word is what a process says of its view.
type word struct {
	Name   string      `json:"n"`
	Start  uint64      `json:"s"`
	Seq    uint64      `json:"q"` // grows with each word of one process
	Epoch  uint64      `json:"e"`
	Digest view.Digest `json:"d"`
	Left   bool        `json:"l,omitempty"` // it goes, in order
	Open   bool        `json:"o,omitempty"` // its view is not settled: it may lack others' words
}

// last is what is kept of a process's last word.
type last struct {
	seq  uint64
	open bool
}

// say queues the node's own word. The caller holds mu.
func (p *Peers) say() {
	p.seq++
	p.saidAt = time.Now()
	p.pass(p.word())
}

// word is the node's own, now. The caller holds mu.
func (p *Peers) word() word {
	self := p.view.Self()
	return word{self.Name, self.Start, p.seq, p.view.Epoch(), p.view.Digest(), p.leaving, !p.view.Settled()}
}

// waitedFor tells whether a member that counts has an open view. The caller holds mu.
func (p *Peers) waitedFor() bool {
	for _, m := range p.view.Members() {
		if m.State.Counts() && p.heard[processName(m.Name, m.Start)].open {
			return true
		}
	}
	return false
}

// pass queues a word for gossip, in place of an earlier one of that process.
func (p *Peers) pass(w word) {
	if text, err := json.Marshal(w); err == nil && len(text) <= maxMessage {
		p.queue.QueueBroadcast(broadcast{processName(w.Name, w.Start), text})
	}
}

type broadcast struct {
	of   string
	text []byte
}

func (b broadcast) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(broadcast)
	return ok && o.of == b.of
}
func (b broadcast) Name() string    { return b.of }
func (b broadcast) Message() []byte { return b.text }
func (b broadcast) Finished()       {}

// delegate is what memberlist calls. It holds locks of its own then, so
// nothing here calls it back.
type delegate Peers

// NodeMeta is what the node says of itself; memberlist allows 512 bytes.
func (d *delegate) NodeMeta(limit int) []byte {
	p := (*Peers)(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := json.Marshal(p.view.Self())
	if err != nil || len(text) > limit {
		return nil
	}
	return text
}

// infoOf reads what a member says of itself; its name and start are the
// detector's, and its address is where it was found.
func infoOf(n *memberlist.Node) (i view.Info, ok bool) {
	name, number, found := strings.Cut(n.Name, nameMark)
	start, err := strconv.ParseUint(number, 10, 64)
	if !found || err != nil || name == "" || len(name) > view.MaxName {
		return i, false
	}
	if err := json.Unmarshal(n.Meta, &i); err != nil {
		i = view.Info{}
	}
	i.Name, i.Start, i.Address = name, start, n.Address()
	return i, true
}

func (d *delegate) NotifyJoin(n *memberlist.Node) {
	if i, ok := infoOf(n); ok {
		(*Peers)(d).do(func(v *view.View, now view.Time) []view.Change {
			if i.Name == v.Self().Name && i.Start == v.Self().Start {
				return nil
			}
			return v.Heard(now, i)
		})
	}
}

func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.NotifyJoin(n) }

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	// Whether it left in order it has said itself: the library does not tell.
	if i, ok := infoOf(n); ok {
		(*Peers)(d).do(func(v *view.View, now view.Time) []view.Change { return v.Lost(now, i.Name, i.Start, false) })
	}
}

func (d *delegate) NotifyMsg(b []byte) {
	var w word
	if len(b) > maxMessage || json.Unmarshal(b, &w) != nil || w.Name == "" || len(w.Name) > view.MaxName {
		return // of a version that is not known, or not a word at all
	}
	p := (*Peers)(d)
	p.hear(w)
}

// hear takes a word, once, and passes it on.
func (p *Peers) hear(w word) {
	key := processName(w.Name, w.Start)
	p.mu.Lock()
	self := p.view.Self()
	fresh := w.Seq > p.heard[key].seq && (w.Name != self.Name || w.Start != self.Start)
	if fresh {
		if len(p.heard) > 2*view.MaxMembers {
			clear(p.heard) // words then pass once more
		}
		p.heard[key] = last{w.Seq, w.Open}
		p.pass(w)
	}
	p.mu.Unlock()
	if fresh {
		p.do(func(v *view.View, now view.Time) []view.Change {
			if w.Left {
				return v.Lost(now, w.Name, w.Start, true)
			}
			return v.Said(now, w.Name, w.Start, w.Epoch, w.Digest)
		})
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return (*Peers)(d).queue.GetBroadcasts(overhead, limit)
}

// exchange is what two nodes tell each other in full now and then.
type exchange struct {
	Members []view.Info `json:"members"` // that live, or may
	Word    word        `json:"word"`
}

// maxExchange bounds what is read of one.
const maxExchange = 4 << 20

func (d *delegate) LocalState(bool) []byte {
	p := (*Peers)(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	e := exchange{Word: p.word()}
	for _, m := range p.view.Members() {
		if m.State != view.Gone && m.State != view.Left {
			e.Members = append(e.Members, m.Info)
		}
	}
	text, err := json.Marshal(e)
	if err != nil {
		return nil
	}
	return text
}

func (d *delegate) MergeRemoteState(b []byte, _ bool) {
	var e exchange
	if len(b) > maxExchange || json.Unmarshal(b, &e) != nil || len(e.Members) > view.MaxMembers {
		return
	}
	p := (*Peers)(d)
	over := false
	p.do(func(v *view.View, now view.Time) []view.Change {
		var out []view.Change
		for _, m := range e.Members {
			if m.Name == v.Self().Name {
				over = v.Claimed(m.Start) || over
			} else if len(m.Name) <= view.MaxName {
				out = append(out, v.Remember(now, m)...)
			}
		}
		return out
	})
	if over {
		select {
		case p.again <- struct{}{}:
		default:
		}
	}
	if e.Word.Name != "" {
		p.hear(e.Word)
	}
}

// retry tries again who is out of reach, and the addresses to join at while
// this node is alone: at a bounded, jittered rate, for as long as they are
// remembered.
func (p *Peers) retry(ctx context.Context) {
	for wait := time.Duration(0); ; wait = time.Duration(float64(p.cfg.Retry) * (0.5 + rand.Float64())) {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case address := <-p.suspected:
			p.join(p.at(address))
			for alarm := true; alarm && ctx.Err() == nil; {
				time.Sleep(alarmEvery)
				var some []target
				some, alarm = p.counted()
				p.join(some)
			}
		case <-timer.C:
			p.join(p.targets())
		}
		timer.Stop()
	}
}

// target is an address to try; name and start are of the member that was there, if it is one.
type target struct {
	name    string
	start   uint64
	address string
}

// at is the members at an address.
func (p *Peers) at(address string) []target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []target
	for _, m := range p.view.Members() {
		if m.Address == address && m.Name != p.cfg.Name {
			all = append(all, target{m.Name, m.Start, address})
		}
	}
	return all
}

// counted draws some members that count, to be tried while there is an alarm:
// what took one may have taken others, which the detector would find one by one.
func (p *Peers) counted() (some []target, alarm bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.alarmed) > alarmTime {
		return nil, false
	}
	for _, m := range p.view.Members() {
		if m.State.Counts() && m.Name != p.cfg.Name {
			some = append(some, target{m.Name, m.Start, m.Address})
		}
	}
	rand.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:min(len(some), alarmTries)], true
}

// targets draws some of those to try.
func (p *Peers) targets() []target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []target
	for _, m := range p.view.Away() {
		all = append(all, target{m.Name, m.Start, m.Address})
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), tries)]
	if p.view.Counted() == 1 {
		all = append(all, p.joinTargets(2*tries-len(all))...)
	}
	return all
}

// joinTargets draws so many of the addresses to join at, at most.
func (p *Peers) joinTargets(most int) []target {
	var all []target
	for _, a := range p.cfg.Join {
		if a != p.cfg.Advertise.String() {
			all = append(all, target{address: a})
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), most)]
}

func (p *Peers) join(all []target) {
	var each sync.WaitGroup
	for _, t := range all {
		each.Go(func() {
			listens, refused := p.knock(t.address)
			counts := false
			p.do(func(v *view.View, now view.Time) (out []view.Change) {
				switch { // of no member, where an address to join at was tried
				case refused:
					out = v.Refused(now, t.name, t.start)
				case listens:
					out = v.Answered(now, t.name, t.start)
				}
				counts = v.Counts(t.name)
				return out
			})
			joined := 0
			if listens && !counts {
				joined, _ = p.list.Load().Join([]string{t.address}) // what fails is tried again
			}
			if t.name == "" {
				p.noteJoin(t.address, refused || joined > 0)
			}
		})
	}
	each.Wait()
}

// noteJoin notes whether an address to join at has answered, or its machine that
// nobody listens there.
func (p *Peers) noteJoin(address string, heard bool) {
	p.do(func(v *view.View, now view.Time) []view.Change {
		p.joinHeard[address] = heard
		return v.Awaited(now, p.awaitsJoin())
	})
}

// awaitsJoin tells whether somebody may be at an address to join at. The caller holds mu.
func (p *Peers) awaitsJoin() bool {
	return slices.ContainsFunc(p.cfg.Join, func(a string) bool { return a != p.cfg.Advertise.String() && !p.joinHeard[a] })
}

// knock finds out whether anybody is at an address, or whether its machine
// says that nobody is.
func (p *Peers) knock(address string) (listens, refused bool) {
	c, err := p.transport.Load().dialer(tryTime).Dial("tcp", address)
	if err != nil {
		return false, nobody(err)
	}
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(quietTime)) // fails only on a closed connection
	_, err = c.Read(make([]byte, 1))
	refused = nobody(err)
	return !refused && !errors.Is(err, io.EOF), refused
}

// Leave tells the others that this node goes, in order.
func (p *Peers) Leave() error {
	p.mu.Lock()
	p.save()
	p.leaving = true
	p.say()
	alone := p.view.Counted() == 1
	p.mu.Unlock()
	if !alone {
		time.Sleep(sayTime) // until some have it, who pass it on
	}
	if err := p.list.Load().Leave(leaveTime); err != nil {
		return fmt.Errorf("peers: leaving: %w", err)
	}
	return nil
}

// Snapshot is a picture of the view, for operators.
type Snapshot struct {
	Self            string    `json:"self"`
	Start           uint64    `json:"start"`
	Settled         bool      `json:"settled"`
	Epoch           uint64    `json:"epoch"`
	Digest          string    `json:"digest"`
	Counted         int       `json:"counted"`           // members that count, this one among them
	LastSettledSize int       `json:"last_settled_size"` // when nobody was out of reach; 0: never
	LastSettled     time.Time `json:"last_settled,omitzero"`
	Members         []Member  `json:"members"`
	SentPackets     uint64    `json:"sent_packets"` // since the start, with writes on streams that this node opened
	SentBytes       uint64    `json:"sent_bytes"`
}

// Member is one of a Snapshot.
type Member struct {
	view.Info
	State view.State `json:"state"`
	Twin  bool       `json:"twin,omitempty"` // another process lives under its name
	Since time.Time  `json:"since"`
}

// Snapshot is the view as it is now.
func (p *Peers) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := func(t view.Time) time.Time { return p.began.Add(t).Round(time.Millisecond).UTC() }
	size, when := p.view.LastSettled()
	s := Snapshot{Self: p.cfg.Name, Start: p.view.Self().Start, Settled: p.view.Settled(), Epoch: p.view.Epoch(), Digest: p.view.Digest().String(),
		Counted: p.view.Counted(), LastSettledSize: size}
	if size > 0 {
		s.LastSettled = at(when)
	}
	if t := p.transport.Load(); t != nil {
		s.SentPackets, s.SentBytes = t.packets.Load(), t.bytes.Load()
	}
	for _, m := range p.view.Members() {
		s.Members = append(s.Members, Member{Info: m.Info, State: m.State, Twin: m.Twin, Since: at(m.Since)})
	}
	return s
}

// linesPerSecond is how many lines of one level the library's log may have: it has
// one for each datagram that it can't read.
const linesPerSecond = 5

// lineWriter passes the library's log lines on, whose level stands in brackets.
type lineWriter struct {
	log     *slog.Logger
	limiter *eventlog.Limiter
}

func (w lineWriter) Write(b []byte) (int, error) {
	line := strings.TrimSpace(string(b))
	level := slog.LevelDebug
	switch {
	case strings.HasPrefix(line, "[ERR]"):
		level = slog.LevelWarn
	case strings.HasPrefix(line, "[WARN]"):
		level = slog.LevelInfo
	}
	passes, suppressed := w.limiter.Allow(level.String(), time.Now())
	switch {
	case passes && suppressed > 0:
		w.log.Log(context.Background(), level, line, "suppressed", suppressed)
	case passes:
		w.log.Log(context.Background(), level, line)
	}
	return len(b), nil
}
