package appconfig

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Kinds are the kinds of application that Template knows.
var Kinds = []string{"plain", "portal", "app", "office"}

// Params are what Template fills in.
type Params struct {
	Name, Kind, Listen    string
	Discovery, ServerFile string   // one of them
	Hosts                 []string // none: any
	Names                 string   // pattern of the servers' names; "": all
	Zone                  string
	Nodes, Number         int
	MemoryMB, Descriptors int     // 0: the default
	Cores                 float64 // 0: the default
}

type templateClass struct{ name, about, body string }

type templateRoute struct{ path, methods, class string }

var templates = map[string]struct {
	classes []templateClass
	routes  []templateRoute
}{
	"plain": {},
	"portal": {
		[]templateClass{
			{"saldo", "rent balances: wanted at once, worth most, may be asked again", "worth = 12\naim = \"250ms\"\ndeadline = \"500ms\"\neffect = \"safe\""},
			{"documentos", "lease papers and repair histories", "aim = \"1.5s\"\ndeadline = \"4s\"\neffect = \"safe\""},
			{"pedido", "repair reports: a data centre drops repeats by key", "aim = \"1.2s\"\ndeadline = \"4s\"\neffect = \"keyed\"\nkey = \"header:Idempotency-Key\"\nkey_scope = \"zone\"\ndedup_window = \"2.5s\""},
			{"pagamento", "payments: never sent twice", "worth = 5\naim = \"2s\"\ndeadline = \"8s\"\neffect = \"unsafe\""},
		},
		[]templateRoute{{"/saldo", `["GET"]`, "saldo"}, {"/documentos", `["GET", "HEAD"]`, "documentos"},
			{"/pedido", `["POST"]`, "pedido"}, {"/pagamento", `["POST"]`, "pagamento"}},
	},
	"app": {
		[]templateClass{
			{"saldo", "rent balances on the first screen", "worth = 12\naim = \"250ms\"\ndeadline = \"500ms\"\neffect = \"safe\""},
			{"leitura", "everything else that is read", "aim = \"1s\"\ndeadline = \"3s\"\neffect = \"safe\""},
			{"pedido", "repair reports: the app repeats them by itself, with the same key", "aim = \"1.2s\"\ndeadline = \"4s\"\neffect = \"keyed\"\nkey = \"header:Idempotency-Key\"\nkey_scope = \"zone\"\ndedup_window = \"2.5s\"\nwithout_key = \"refuse\""},
		},
		[]templateRoute{{"/v1/saldo", `["GET"]`, "saldo"}, {"/v1/pedido", `["POST"]`, "pedido"}, {"/v1", `["GET", "HEAD"]`, "leitura"}},
	},
	"office": {
		[]templateClass{
			{"consulta", "look-ups by office staff, who wait longer than tenants", "worth = 0.5\naim = \"3s\"\ndeadline = \"10s\"\neffect = \"safe\""},
			{"registo", "entries: never sent twice", "aim = \"3s\"\ndeadline = \"15s\"\neffect = \"unsafe\""},
		},
		[]templateRoute{{"/consulta", `["GET", "HEAD"]`, "consulta"}, {"/registo", `["POST", "PUT", "DELETE"]`, "registo"}},
	},
}

// Template writes a commented file for an application. The same Params give
// the same bytes. What it writes passes Parse where the Params are sound.
func Template(p Params) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("# %s: a sidecar's file. Check it with: indigoctl check FILE", p.Name)
	line("# Every key, its unit and its default: docs/sidecar.md")
	line("version = 1")
	line("name = %q", p.Name)
	line("\n[listen]\naddress = %q   # clients connect here", p.Listen)
	line("# health = %q        # the node itself answers %s/ready and %s/live", DefaultHealth, DefaultHealth, DefaultHealth)
	line("\n[limits]")
	optional(&b, "memory_mb", p.MemoryMB, DefaultMemoryMB, "bodies are held whole: half of this bounds the requests in hand")
	optional(&b, "descriptors", p.Descriptors, DefaultDescriptors, "half for clients, half for servers")
	if p.Cores > 0 {
		line("cores = %v", p.Cores)
	} else {
		line("# cores = 1")
	}
	line("\n[servers]")
	if p.ServerFile != "" {
		line("file = %q   # read again on SIGHUP", p.ServerFile)
	} else {
		line("discovery = %q   # or file = \"servers.toml\", read again on SIGHUP", p.Discovery)
	}
	line("\n[fleet]   # the nodes that send to the same servers")
	line("nodes = %d\nnumber = %d   # of this one, from 0", max(1, p.Nodes), p.Number)
	if p.Zone != "" {
		line("zone = %q", p.Zone)
	}
	line("\n# [admin]   # for operators, on this machine alone: drain, resume, status, /view, /metrics")
	line("# address = \"127.0.0.1:9900\"")
	line("# on_listen = false   # drain, resume and status are taken where clients connect, too")
	t := templates[p.Kind]
	for _, c := range t.classes {
		line("\n[[class]]   # %s\nname = %q\n%s", c.about, c.name, c.body)
	}
	line("\n[[pool]]   # which of the listed servers; zones = [...] and kinds = [...] select too\nname = \"web\"")
	if p.Names != "" {
		line("names = %q", p.Names)
	}
	hosts := p.Hosts
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	for _, h := range hosts {
		for _, r := range append(slices.Clone(t.routes), templateRoute{path: "/"}) {
			if r.class == "" {
				line("\n[[route]]   # the rest: class default, which is unsafe and so never sent twice")
			} else {
				line("\n[[route]]")
			}
			if h != "" {
				line("host = %q", h)
			}
			line("prefix = %q", r.path)
			if r.methods != "" {
				line("methods = %s\nclass = %q", r.methods, r.class)
			}
			line("pool = \"web\"")
		}
	}
	return b.String()
}

func optional(b *strings.Builder, key string, value, fallback int, about string) {
	mark := ""
	if value == 0 {
		value, mark = fallback, "# "
	}
	fmt.Fprintf(b, "%s%s = %s   # %s\n", mark, key, strconv.Itoa(value), about)
}
