package main

import (
	"fmt"
	"time"
)

// nodeConfig is a platform's configuration of a node.
type nodeConfig struct {
	listen, discovery string
	keys              string // further ones, as JSON that ends with a comma
	settings          string // as JSON, without the braces
	server            string // the one of the list that the node knows; "": it knows none
}

// String is the configuration as the program reads it.
func (c nodeConfig) String() string {
	known := ""
	if c.server != "" {
		known = fmt.Sprintf(`,"known":{"index":1,"endpoints":[{"name":"s","address":%q,"status":"ready"}]}`, c.server)
	}
	return fmt.Sprintf(`{%s"name":"n0","listen":%q,"discovery":%q,"seed":"1f","settings":{%s}%s}`, c.keys, c.listen, c.discovery, c.settings, known)
}

// classSettings are settings with one class, whose aim is half of its deadline, 1 s at most.
func classSettings(name, effect string, deadline time.Duration) string {
	return fmt.Sprintf(`"classes":[{"name":%q,"effect":%q,"aim_ns":%d,"give_up_ns":%d,"importance":1}]`,
		name, effect, min(deadline/2, time.Second).Nanoseconds(), deadline.Nanoseconds())
}

// pushedSettings are those of lists that are pushed, with the grace for draining servers.
func pushedSettings(grace time.Duration) string {
	return fmt.Sprintf(`"membership_mode":"pushed","invariants":{"drain_grace_ns":%d},`, grace.Nanoseconds())
}
