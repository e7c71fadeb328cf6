package node

import (
	"net/http"
	"strings"
	"testing"
)

// operatorsOf loads a configuration with more keys, in an environment with more
// variables ("NAME=value"). The clients' address is 127.0.0.1:5000.
func operatorsOf(t *testing.T, keys, settings string, variables ...string) Config {
	t.Helper()
	for _, v := range variables {
		name, value, _ := strings.Cut(v, "=")
		t.Setenv(name, value)
	}
	text := "{" + keys + strings.TrimPrefix(goodConfig, "{")
	return loaded(t, strings.Replace(text, `"settings":{`, `"settings":{`+settings, 1))
}

// TestOperatorsAddressByName: heard are the addresses, each with the name that
// told it, in order; unheard and unknown are names.
func TestOperatorsAddressByName(t *testing.T) {
	const at, own = "127.0.0.1:9000", `"127.0.0.1:9000"`
	for _, c := range []struct {
		name, keys, settings string
		variables            []string
		heard                string // "address name", joined by commas
		unheard, unknown     string // names, joined by commas
	}{
		{name: "none"},
		{name: "all documented ones", keys: `"admin_listen":"127.0.0.1:1","admin":"127.0.0.1:2",`, variables: []string{"GW_ADMIN_LISTEN=127.0.0.1:3", "GW_ADMIN=127.0.0.1:4"},
			heard: "127.0.0.1:1 admin_listen,127.0.0.1:2 admin,127.0.0.1:3 GW_ADMIN_LISTEN,127.0.0.1:4 GW_ADMIN"},
		{name: "one address by two names", keys: `"admin_listen":` + own + `,"ops":` + own + `,`, heard: at + " admin_listen", unknown: "ops"},
		{name: "a documented one on another host", keys: `"admin_listen":"10.9.9.9:1",`, heard: "10.9.9.9:1 admin_listen"},
		{name: "of all hosts", keys: `"admin":":9900",`, heard: ":9900 admin"},
		{name: "an object", keys: `"admin":{"listen":` + own + `},`, heard: at + " admin.listen"},
		{name: "an object with a port", keys: `"admin":{"host":"127.0.0.1","port":9000},`, heard: at + " admin.port", unknown: "admin.host"},
		{name: "a list", keys: `"admin":["127.0.0.1:9000","127.0.0.1:9001"],`, heard: at + " admin,127.0.0.1:9001 admin"},
		{name: "no address", keys: `"admin":{"at":1},`, unheard: "admin", unknown: "admin.at"},
		{name: "true", keys: `"admin":true,`, unheard: "admin"},
		{name: "no port", keys: `"admin":"127.0.0.1",`, unheard: "admin"},
		{name: "an empty port", keys: `"admin":"127.0.0.1:",`, unheard: "admin"},
		{name: "a port that is none", keys: `"admin":"127.0.0.1:70000",`, unheard: "admin"},
		{name: "null and a variable", keys: `"admin":null,`, variables: []string{"GW_ADMIN=127.0.0.1:9000"}, heard: at + " GW_ADMIN"},
		{name: "in settings", settings: `"admin":` + own + `,`, heard: at + " settings.admin"},
		{name: "an object in settings", settings: `"admin":{"listen":` + own + `},`, heard: at + " settings.admin.listen"},
		{name: "in another object", keys: `"network":{"ops":{"bind_addr":"localhost:9000"}},`, heard: "localhost:9000 network.ops.bind_addr"},
		{name: "a port", keys: `"admin_port":9000,`, heard: at + " admin_port"},
		{name: "a port as text", keys: `"controlAddr":":9000",`, heard: at + " controlAddr"},
		{name: "a URL", keys: `"management":"http://127.0.0.1:9000/",`, heard: at + " management"},
		{name: "on another host", keys: `"management":"10.9.9.9:9000",`, unheard: "management", unknown: "management"},
		{name: "of all hosts, by another name", keys: `"ops_listen":"0.0.0.0:9000",`, heard: "0.0.0.0:9000 ops_listen"},
		{name: "a setting that is no address", settings: `"admission_control":7,"control":"strict",`, unknown: "settings.admission_control,settings.control"},
		{name: "variables", variables: []string{"GW_OPS=127.0.0.1:9000", "GW_CONTROL_ADDR=:9001", "GW_ADMIN_PORT=9002", "NODE_MANAGEMENT_BIND=127.0.0.1:9003", "GW_OPERATORS_LISTEN=127.0.0.1:9004"},
			heard: "127.0.0.1:9002 GW_ADMIN_PORT,127.0.0.1:9001 GW_CONTROL_ADDR,127.0.0.1:9004 GW_OPERATORS_LISTEN,127.0.0.1:9000 GW_OPS", unheard: "NODE_MANAGEMENT_BIND"},
		{name: "variables of others", variables: []string{"SOME_CONTROL=7", "OPS_ROOM=127.0.0.1:9000", "ADMIN=root"}},
		{name: "unknown ones", keys: `"odd":{"a":1},`, settings: `"odd":1,"goal":{"odd":2},`, variables: []string{"GW_ODD=1", "ODD=1"}, unknown: "odd,settings.goal.odd,settings.odd,GW_ODD"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := operatorsOf(t, c.keys, c.settings, c.variables...)
			var heard, unheard []string
			for _, o := range got.Operators {
				heard = append(heard, o.Address+" "+o.Name)
			}
			for _, u := range got.unheard {
				unheard = append(unheard, u.name)
			}
			for what, is := range map[string][2]string{"heard": {strings.Join(heard, ","), c.heard}, "unheard": {strings.Join(unheard, ","), c.unheard},
				"unknown": {strings.Join(got.unknownNames(), ","), c.unknown}} {
				if is[0] != is[1] {
					t.Errorf("%s are %q, want %q", what, is[0], is[1])
				}
			}
		})
	}
}

func TestOperatorsAddressThatTheClientsListenerHolds(t *testing.T) {
	for address, same := range map[string]bool{"127.0.0.1:5000": true, ":5000": true, "0.0.0.0:5000": true, "127.0.0.1:5001": false, "127.0.0.2:5000": false} {
		c := operatorsOf(t, `"admin":"`+address+`",`, "")
		if is := c.operatorsOnListen == "admin"; is != same || is == (len(c.Operators) > 0) {
			t.Errorf("%s: on the clients' listener %v, want %v; others %v", address, is, same, c.Operators)
		}
	}
	for _, c := range []struct{ address, listen string }{{"127.0.0.1:5000", "[::]:5000"}, {"localhost:5000", "localhost:5000"}} {
		if !sameListener(c.address, c.listen) {
			t.Errorf("%v are two listeners", c)
		}
	}
}

// TestCountersOnTheClientsListener: there only where it is operators' address
// too, and never for a client's request.
func TestCountersOnTheClientsListener(t *testing.T) {
	for _, shared := range []bool{false, true} {
		n := startNodeWith(t, func(c *Config) {
			if shared {
				c.operatorsOnListen = "admin"
			}
		})
		want := http.StatusBadRequest
		if shared {
			want = http.StatusOK
		}
		for _, c := range []struct {
			class string
			want  int
		}{{"", want}, {"saldo", http.StatusBadRequest}} {
			req, err := http.NewRequest(http.MethodGet, "http://"+n.address+metricsPath, nil)
			if err != nil {
				t.Fatal(err)
			}
			if c.class != "" {
				req.Header.Set("X-Class", c.class)
			}
			if got := do(t, req); got.status != c.want {
				t.Errorf("shared %v, class %q: answer %d, want %d", shared, c.class, got.status, c.want)
			}
		}
	}
}
