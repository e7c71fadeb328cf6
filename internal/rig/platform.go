package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"time"

	"indigotack/decide"
	"indigotack/internal/standin"
	"indigotack/internal/wire"
)

// What a platform's node is told beside what the plan says.
const (
	platformConfig  = "config.json"
	clockFile       = "clock"
	platformSockets = 256
	connectTimeout  = 300 * time.Millisecond
	maxAttempts     = 4
	killCap         = 3 * time.Second        // of the longest deadline, that a platform waits for
	killSlack       = 700 * time.Millisecond // that it waits longer

	// socketsVariable tells a program that was built for it which part of its
	// accepts and connects fail, and the seed of that.
	socketsVariable = "INDIGOTACK_SOCKET_FAULTS"
)

// settings are a platform's for a node.
func (p *Plan) settings(i int) decide.Settings {
	v := p.Servers
	s := decide.Settings{Nodes: p.Nodes, Self: i, Zone: p.zone(nodeName(i)), Zones: p.Zones, Kinds: []string{kind},
		MaxAttempts: maxAttempts, MayCancel: true, HoldOffs: true, MaxHoldOff: 2 * time.Second, ConnectTimeout: connectTimeout,
		ConnIdle: p.Idle, StreamsPerConn: 1, MaxOpen: 1000, DrainGrace: v.DrainGrace, ColdFrom: v.ColdFrom, ColdTime: v.ColdTime,
		OverloadFactor: v.OverloadFactor, OverloadTime: v.OverloadTime, AnswerSlack: 20 * time.Millisecond,
		ReportVia: decide.ReportAnswers, ReportFields: []string{"active", "waiting"}}
	for _, c := range p.Classes {
		s.Classes = append(s.Classes, decide.Class{Name: c.Name, Worth: c.Worth, Aim: c.Aim, Deadline: c.Deadline, Effect: c.Effect,
			KeyScope: decide.ScopeZone, DedupWindow: c.Dedup})
	}
	return s
}

// platformFile writes a node's configuration as a platform gives it.
func (n *node) platformFile() error {
	settings, err := wire.EncodeSettings(n.of.plan.settings(n.i))
	if err != nil {
		return err
	}
	k := n.of.network.block
	keys := map[string]any{"name": n.name, "listen": k.nodeAt(n.i), "discovery": k.discoveryAt(n.i, n.place),
		"seed": fmt.Sprintf("%x", n.of.plan.Seed*1000+uint64(n.i)+1), "limits": map[string]int{"memory_mb": 192, "sockets": platformSockets},
		"known": n.known, "settings": json.RawMessage(settings)}
	if n.of.plan.quiesces() {
		if keys, err = n.withOperators(keys, settings); err != nil {
			return err
		}
	}
	text, err := json.Marshal(keys)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(n.dir, platformConfig), text, 0o600)
}

// formStride leads from one node's form to the next one's, so that the nodes of a
// plan are told in forms of all kinds.
const formStride = 13

// operatorsForm is how a platform's node is told of operators' address, by the
// plan's seed and the node's number.
func (n *node) operatorsForm() standin.AddressForm {
	forms := uint64(len(standin.AddressForms))
	number := n.of.plan.Seed%forms*soakNodes + uint64(n.i)
	return standin.AddressForms[number*formStride%forms]
}

// operatorsAt are operators' own addresses at the node.
func (n *node) operatorsAt() standin.OperatorAddresses {
	block := n.of.network.block
	return standin.OperatorAddresses{Own: block.adminAt(n.i), Other: block.otherAdminAt(n.i), Socket: block.socketAt(n.i),
		Caller: block.callerAt(n.i)}
}

// openCaller opens the place that a node calls for its orders, if it is told to.
func (n *node) openCaller() (err error) {
	if !n.of.plan.Platform || !n.of.plan.quiesces() {
		return nil
	}
	if _, address, calls := n.operatorsForm().Place(n.operatorsAt()); calls {
		n.caller, err = newCaller(address)
	}
	return err
}

// closeCaller closes it, and removes what a killed node has left of its socket.
func (n *node) closeCaller() {
	if n.caller != nil {
		n.caller.close()
	}
	os.Remove(n.of.network.block.socketAt(n.i)) // there seldom is one
}

// noteState notes what a regular line of a node's log says of operators' address.
func (n *node) noteState(line []byte) {
	if !n.of.plan.Platform || !n.of.plan.quiesces() || !bytes.Contains(line, []byte("msg=state")) {
		return
	}
	network, address, calls := n.operatorsForm().Place(n.operatorsAt())
	key := "operators_at="
	if calls {
		key = "operators_not_at="
	}
	_, told, _ := bytes.Cut(line, []byte(key))
	e := Event{What: Stated, Node: n.name, Text: network + " " + address}
	if bytes.Contains(told, []byte(address)) {
		e.N = 1
	}
	n.of.log.note(e)
}

// withOperators adds operators' address to a configuration.
func (n *node) withOperators(keys map[string]any, settings []byte) (map[string]any, error) {
	form, more, moreSettings := n.operatorsForm(), map[string]any{}, map[string]any{}
	addresses := n.operatorsAt()
	if err := json.Unmarshal([]byte("{"+form.Keys(addresses)+"}"), &more); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(settings, &moreSettings); err != nil {
		return nil, err
	}
	if err := json.Unmarshal([]byte("{"+form.Settings(addresses)+"}"), &moreSettings); err != nil {
		return nil, err
	}
	maps.Copy(keys, more)
	keys["settings"] = moreSettings
	return keys, nil
}

// knownList is the list that a platform gives a node with its configuration. It
// is that of the load's beginning, and so an old one to nodes that start later.
type knownList struct {
	Index     uint64          `json:"index"`
	Snapshot  bool            `json:"snapshot"`
	Endpoints []standin.Entry `json:"endpoints"`
}

// knownTo is the list as a node sees it now.
func (r *registry) knownTo(node int) *knownList {
	index, entries := r.List()
	known := &knownList{Index: index, Snapshot: true}
	for _, e := range entries {
		known.Endpoints = append(known.Endpoints, r.seen[node](e))
	}
	return known
}

// stepClock moves a node's wall clock while it runs.
func (n *node) stepClock(offset time.Duration) {
	// Written beside and renamed, as the node may read it at any moment.
	path := filepath.Join(n.dir, clockFile)
	err := os.WriteFile(path+".new", []byte(offset.String()), 0o600)
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		n.note(Logged, "stepping its clock: "+err.Error(), 0)
	}
}

// earliestKill is how long after SIGTERM a platform kills a node at the earliest.
func (p *Plan) earliestKill() time.Duration {
	longest := time.Duration(0)
	for _, c := range p.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, killCap) + killSlack
}
