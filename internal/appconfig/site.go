package appconfig

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"indigotack/internal/conf"
	"indigotack/internal/wire"
)

// Site is an installation's inventory: a short file from which all
// applications' files are written.
type Site struct {
	Zones        []string
	Address      netip.Addr // on which the nodes listen
	Ports        Ports
	Discovery    string
	ServerFile   string
	Machine      Machine
	Applications []SiteApp
}

// SiteApp is one application of a site. Each of its zones gets a node.
type SiteApp struct {
	Name, Kind            string
	Hosts, Zones          []string
	Names                 string // pattern of its servers' names
	MemoryMB, Descriptors int
	Cores                 float64
}

// PortsFile keeps the ports that were given out, in the folder of the files
// that are written, so that an application added later moves none.
const PortsFile = "ports.toml"

// LoadSite reads a site's inventory.
func LoadSite(file string) (*Site, error) {
	return readSite(conf.ReadFile(file))
}

// ParseSite is LoadSite for a text.
func ParseSite(file string, data []byte) (*Site, error) { return readSite(conf.Parse(file, data)) }

func readSite(d *conf.Doc) (*Site, error) {
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	s := d.Root()
	if v := s.Int("version", 0, Version, Version); v == 0 && !s.Has("version") {
		s.Bad("version", "version = %d", Version)
	}
	site := &Site{Zones: s.Strings("zones"), Address: netip.MustParseAddr("127.0.0.1")}
	if text := s.String("address", ""); text != "" {
		var err error
		if site.Address, err = netip.ParseAddr(text); err != nil {
			s.Bad("address", "an address such as \"127.0.0.1\"")
		}
	}
	var ok bool
	if site.Ports, ok = ParsePorts(s.String("ports", "")); !ok {
		s.Bad("ports", "a range of ports for the nodes, such as \"18000-18999\"")
	}
	if len(site.Zones) == 0 {
		s.Bad("zones", "at least one zone")
	}
	t := s.Table("servers")
	site.Discovery, site.ServerFile = t.String("discovery", ""), t.String("file", "")
	if (site.Discovery == "") == (site.ServerFile == "") {
		t.Bad("discovery", "either discovery or file")
	} else if site.Discovery != "" && !hostPort(site.Discovery) {
		t.Bad("discovery", "an address such as \"127.0.0.1:8500\"")
	}
	t.End()
	t = s.Table("machine")
	site.Machine = Machine{MemoryMB: t.Int("memory_mb", 0, 1, 1<<30), Descriptors: t.Int("descriptors", 0, 1, 1<<30), Cores: t.Float("cores", 0, 0.1, 1<<20)}
	t.End()
	seen := map[string]bool{}
	for _, t := range bounded(s, "application", 10_000) {
		site.application(t, seen)
	}
	if len(site.Applications) == 0 && !s.Has("application") {
		s.Bad("application", "at least one [[application]]")
	}
	s.End()
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	return site, nil
}

func (site *Site) application(t *conf.Section, seen map[string]bool) {
	defer t.End()
	a := SiteApp{Name: t.String("name", ""), Kind: t.OneOf("kind", "plain", Kinds...), Hosts: t.Strings("hosts"),
		Zones: t.Strings("zones"), Names: t.String("servers", ""), MemoryMB: t.Int("memory_mb", 0, leastMemoryMB, 1<<20),
		Descriptors: t.Int("descriptors", 0, leastDescriptors, 1<<20), Cores: t.Float("cores", 0, 0.1, 1024)}
	if !nameForm.MatchString(a.Name) || len(a.Name) > 32 {
		t.Bad("name", "lower-case letters, digits, - and _, at most 32")
	} else if t.SetName("application " + a.Name); seen[a.Name] {
		t.Bad("name", "a name that no other application has")
	}
	seen[a.Name] = true
	for _, h := range a.Hosts {
		if !hostForm(strings.ToLower(h)) {
			t.Bad("hosts", "hosts' names without ports, not %q", h)
		}
	}
	if a.Zones == nil {
		a.Zones = site.Zones
	}
	for _, z := range a.Zones {
		if !slices.Contains(site.Zones, z) {
			t.Bad("zones", "some of the site's, not %q", z)
		} else if !nameForm.MatchString(a.Name + "-" + z) {
			t.Bad("zones", "names of %s", nameWant)
		}
	}
	site.Applications = append(site.Applications, a)
}

// Generate writes a site's files: one for each node, and its JSON for a
// platform where servers come from discovery. The result has names and texts;
// the same site and the same ports given before give the same bytes.
func (site *Site) Generate(given map[string]uint16) (map[string][]byte, error) {
	var nodes []string
	for _, a := range site.Applications {
		for _, z := range a.Zones {
			nodes = append(nodes, a.Name+"-"+z)
		}
	}
	ports, err := site.assign(nodes, given)
	if err != nil {
		return nil, err
	}
	out := map[string][]byte{PortsFile: portsText(ports)}
	for _, a := range site.Applications {
		for i, z := range a.Zones {
			name := a.Name + "-" + z
			text := Template(Params{Name: name, Kind: a.Kind, Hosts: a.Hosts, Names: a.Names, Zone: z, Nodes: len(a.Zones), Number: i,
				Listen:    netip.AddrPortFrom(site.Address, ports[name]).String(),
				Discovery: site.Discovery, ServerFile: site.ServerFile, MemoryMB: a.MemoryMB, Descriptors: a.Descriptors, Cores: a.Cores})
			out[name+".toml"] = []byte(text)
			if site.Discovery == "" {
				continue
			}
			app, err := Parse(name+".toml", []byte(text))
			if err != nil {
				return nil, fmt.Errorf("what was written for %s does not pass: %w", name, err)
			}
			if out[name+".json"], err = app.NodeJSON(); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

// assign keeps the ports given before, and finds the others by a hash of the
// node's name, so that they too move little whatever else is added.
func (site *Site) assign(nodes []string, given map[string]uint16) (map[string]uint16, error) {
	size := int(site.Ports.Last) - int(site.Ports.First) + 1
	if len(nodes) > size {
		return nil, fmt.Errorf("%d nodes and only %d ports in %v", len(nodes), size, site.Ports)
	}
	out, taken := map[string]uint16{}, map[uint16]bool{}
	for _, n := range nodes {
		if p := given[n]; p >= site.Ports.First && p <= site.Ports.Last && !taken[p] {
			out[n], taken[p] = p, true
		}
	}
	for _, n := range nodes {
		if out[n] != 0 {
			continue
		}
		h := fnv.New32a()
		h.Write([]byte(n)) // never fails
		for at := int(h.Sum32()) % size; ; at = (at + 1) % size {
			if p := site.Ports.First + uint16(at); !taken[p] {
				out[n], taken[p] = p, true
				break
			}
		}
	}
	return out, nil
}

func portsText(ports map[string]uint16) []byte {
	var b strings.Builder
	b.WriteString("# Ports given out by indigoctl generate. Kept, so that they stay as they are.\n")
	for _, name := range slices.Sorted(maps.Keys(ports)) {
		fmt.Fprintf(&b, "%s = %d\n", name, ports[name])
	}
	return []byte(b.String())
}

// LoadPorts reads the ports given before in a folder; none if there is no such file.
func LoadPorts(folder string) (map[string]uint16, error) {
	file := filepath.Join(folder, PortsFile)
	if _, err := os.Stat(file); os.IsNotExist(err) {
		return nil, nil
	}
	d := conf.ReadFile(file)
	out, s := map[string]uint16{}, d.Root()
	for _, name := range s.Keys() {
		out[name] = uint16(s.Int(name, 0, 1, 65535))
	}
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	return out, nil
}

// NodeJSON is the application's file in the form that a platform starts a node
// from: one pool, the first, and clients that name their class themselves.
func (a *App) NodeJSON() ([]byte, error) {
	settings, err := wire.EncodeSettings(a.Settings(a.Pools[0].Name))
	if err != nil {
		return nil, err
	}
	h := fnv.New64a()
	h.Write([]byte(a.Name)) // never fails
	out := struct {
		Name        string          `json:"name"`
		Listen      string          `json:"listen"`
		AdminListen string          `json:"admin_listen,omitempty"`
		Discovery   string          `json:"discovery"`
		Seed        string          `json:"seed"`
		Limits      map[string]any  `json:"limits"`
		Settings    json.RawMessage `json:"settings"`
	}{a.Name, a.Address.String(), a.Admin.text(), a.Discovery, fmt.Sprintf("%016x", h.Sum64()),
		map[string]any{"cores": a.Cores, "memory_mb": a.MemoryMB, "sockets": a.Descriptors}, settings}
	text, err := json.MarshalIndent(out, "", "  ")
	return append(text, '\n'), err
}

// IsSite tells whether a file looks like a site's inventory rather than an application's.
func IsSite(file string) bool {
	d := conf.ReadFile(file)
	return len(d.Mistakes) == 0 && d.Root().Has("application")
}
