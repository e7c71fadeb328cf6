package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"indigotack/internal/standin"
)

// TestOperatorsAreHeardAtTheAddressTheyAreTold guards against calls to an address of which the program was told by a name that it does not know.
func TestOperatorsAreHeardAtTheAddressTheyAreTold(t *testing.T) {
	for _, form := range standin.AddressForms {
		t.Run(form.Name, func(t *testing.T) { heardAt(t, form) })
	}
}

// heardAt checks that a node hears operators at an address of which it is told.
func heardAt(t *testing.T, form standin.AddressForm) {
	const port = "5001"
	n := newDrainNode(t)
	own := strings.Replace(n.address, ":5000", ":"+port, 1)
	for place, keys := range map[string]string{"{": form.Keys(own, port), `"settings":{`: form.Settings(own, port)} {
		if keys != "" {
			n.config = strings.Replace(n.config, place, place+keys+",", 1)
		}
	}
	n.variable = form.Variable(own, port)
	n.start(t)
	awaitReady(t, n.address)
	for _, c := range []struct{ path, state string }{{"/admin/status", "ready"}, {"/admin/quiesce", "drained"}, {"//admin/resume/", "ready"}} {
		if status, s := orderNode(t, own, c.path); status != http.StatusOK || s.State != c.state {
			t.Errorf("%s: %d %+v, want 200 and %s", c.path, status, s, c.state)
		}
	}
	n.awaitLine(t, "told_by=", time.Second)
}
