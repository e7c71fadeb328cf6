package node

import (
	"hash/fnv"
	"io"

	"indigotack/decide"
)

// ids gives servers their numbers: a hash of the name, so that every node and
// every restart agrees on them.
type ids struct {
	byName map[string]decide.ServerID
	byID   map[decide.ServerID]string
	hash   func(string) uint32
}

func newIDs() *ids {
	return &ids{byName: map[string]decide.ServerID{}, byID: map[decide.ServerID]string{}, hash: func(s string) uint32 {
		h := fnv.New32a()
		io.WriteString(h, s) // never fails
		return h.Sum32()
	}}
}

// of finds the number of a name. Of two names with one hash the later listed
// is hashed again: two servers under one number would share their load and
// their drains.
func (d *ids) of(name string) decide.ServerID {
	if id, ok := d.byName[name]; ok {
		return id
	}
	id := decide.ServerID(d.hash(name))
	for salted := name; ; id = decide.ServerID(d.hash(salted)) {
		if _, taken := d.byID[id]; !taken {
			break
		}
		salted += "\x00"
	}
	d.byName[name], d.byID[id] = id, name
	return id
}

func (d *ids) forget(name string) {
	delete(d.byID, d.byName[name])
	delete(d.byName, name)
}
