// Package ctl is the operator's tool, apart from the process around it.
package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/alecthomas/kong"

	"indigotack/internal/appconfig"
	"indigotack/internal/cli"
	"indigotack/internal/conf"
	"indigotack/internal/fleetsim"
	"indigotack/internal/route"
)

// errMistaken says that mistakes were found and have been printed.
var errMistaken = cli.Status(cli.Failed)

type commands struct {
	Init     initCommand     `cmd:"" help:"Print a commented file for one application."`
	Generate generateCommand `cmd:"" help:"Write all files of a site from its inventory."`
	Check    checkCommand    `cmd:"" help:"Check applications' files, each by itself and all as one machine's."`
	Diff     diffCommand     `cmd:"" help:"Tell how requests fare under a new file, and what needs a restart."`
	Explain  explainCommand  `cmd:"" help:"Tell which route, class, pool and deadline a request gets, and why."`
	Simulate simulateCommand `cmd:"" help:"Play a fleet on a virtual clock: what if ten servers went, or the load doubled?"`
	Grid     gridCommand     `cmd:"" help:"Play a plan at many sizes and loads, and place the module between random choice and the bound."`
	Demo     demoCommand     `cmd:"" help:"Show a sidecar at work with stand-in servers and clients, all on loopback."`
	Fleet    fleetCommand    `cmd:"" help:"Print nodes' views of their fleet, and where they differ."`
	Drain    drainCommand    `cmd:"" help:"Have nodes take no more requests and finish those that they have."`
	Resume   resumeCommand   `cmd:"" help:"Have drained nodes serve again."`
	Status   statusCommand   `cmd:"" help:"Print nodes' states, open requests and connections."`
	Rehearse rehearseCommand `cmd:"" help:"Play a failure with a fleet of real processes before it happens, and judge what became of the rules."`
	Race     raceCommand     `cmd:"" help:"Race a sidecar against the standard library's proxy, with closed-loop clients, all on loopback."`
}

// Main carries out one call and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	var c commands
	return cli.Run(&c, args, stdout, stderr, "indigoctl", kong.UsageOnError(), kong.Vars{"kinds": strings.Join(appconfig.Kinds, ","), "policies": fleetsim.PolicyNames()},
		kong.Description("Writes, checks, compares and explains the files of indigotack sidecars, and tells nodes to drain and to resume.\nExit status: 0 sound, 1 mistakes, 2 usage."))
}

type initCommand struct {
	Name      string   `help:"The application's name." default:"app"`
	Kind      string   `help:"What the file is made for: ${kinds}." enum:"${kinds}" default:"plain"`
	Listen    string   `help:"Address on which clients connect." default:"127.0.0.1:8080"`
	Discovery string   `help:"Address of the discovery service." xor:"source"`
	Servers   string   `help:"File of servers, for installations without discovery." xor:"source"`
	Host      []string `help:"A host's name; may be given more than once."`
}

func (c *initCommand) Run(o *cli.Output) error {
	p := appconfig.Params{Name: c.Name, Kind: c.Kind, Listen: c.Listen, Discovery: c.Discovery, ServerFile: c.Servers, Hosts: c.Host}
	if p.Discovery == "" && p.ServerFile == "" {
		p.Discovery = "127.0.0.1:8500"
	}
	text := appconfig.Template(p)
	check := p
	check.ServerFile = "" // it may be written later
	if check.Discovery == "" {
		check.Discovery = "127.0.0.1:8500"
	}
	if _, err := appconfig.Parse("init", []byte(appconfig.Template(check))); err != nil {
		return cli.Usage("these values do not make a sound file:\n%w", err)
	}
	_, err := io.WriteString(o.Out, text)
	return err
}

type generateCommand struct {
	Site string `arg:"" help:"The site's inventory."`
	Out  string `help:"Folder for the files." default:"."`
}

func (c *generateCommand) Run(o *cli.Output) error {
	site, err := appconfig.LoadSite(c.Site)
	if err != nil {
		return err
	}
	given, err := appconfig.LoadPorts(c.Out)
	if err != nil {
		return err
	}
	files, err := site.Generate(given)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	changed := 0
	for _, name := range names {
		path := filepath.Join(c.Out, name)
		if was, err := os.ReadFile(path); err == nil && string(was) == string(files[name]) {
			continue
		}
		if err := writeWhole(path, files[name]); err != nil {
			return err
		}
		changed++
		fmt.Fprintln(o.Out, "wrote", path)
	}
	fmt.Fprintf(o.Out, "%d files, %d changed\n", len(names), changed)
	return nil
}

// writeWhole replaces a file so that nobody reads half of it.
func writeWhole(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // fails once it has been renamed
	if _, err := f.Write(data); err != nil {
		f.Close()
		return err
	}
	if err := errors.Join(f.Chmod(0o644), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

type checkCommand struct {
	Files       []string `arg:"" name:"file" help:"Applications' files, and at most one site's inventory with the machine's limits."`
	JSON        bool     `name:"json" help:"Print the mistakes as a JSON array."`
	Servers     string   `help:"A list of servers, to check the pools against where servers come from discovery."`
	MemoryMB    int      `name:"memory-mb" help:"The machine's memory for all applications, in MB."`
	Descriptors int      `help:"The machine's file descriptors for all applications."`
	Cores       float64  `help:"The machine's cores for all applications."`
}

func (c *checkCommand) Run(o *cli.Output) error {
	var all conf.Mistakes
	var apps []*appconfig.App
	machine := appconfig.Machine{MemoryMB: c.MemoryMB, Descriptors: c.Descriptors, Cores: c.Cores}
	var servers []appconfig.Server
	if c.Servers != "" {
		var mistakes conf.Mistakes
		servers, mistakes = appconfig.LoadServers(c.Servers)
		all = append(all, mistakes...)
	}
	for _, file := range c.Files {
		if appconfig.IsSite(file) {
			site, err := appconfig.LoadSite(file)
			if !collect(&all, err) {
				return err
			}
			if site != nil {
				machine = site.Machine
			}
			continue
		}
		app, err := appconfig.Load(file)
		if !collect(&all, err) {
			return err
		}
		if app == nil {
			continue
		}
		if servers != nil && app.ServerFile == "" {
			all = append(all, app.CheckServers(servers)...)
		}
		apps = append(apps, app)
	}
	all = append(all, appconfig.CheckTogether(apps, machine)...)
	if c.JSON {
		if all == nil {
			all = conf.Mistakes{}
		}
		enc := json.NewEncoder(o.Out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(all); err != nil {
			return err
		}
	} else {
		for _, m := range all {
			fmt.Fprintln(o.Out, m)
		}
		if len(all) == 0 {
			fmt.Fprintf(o.Out, "%d files, no mistakes\n", len(c.Files))
		}
	}
	if len(all) > 0 {
		return errMistaken
	}
	return nil
}

// collect keeps the mistakes of a file; it tells whether the error was nothing else.
func collect(all *conf.Mistakes, err error) bool {
	var list conf.Mistakes
	if errors.As(err, &list) {
		*all = append(*all, list...)
		return true
	}
	return err == nil
}

type diffCommand struct {
	Old  string `arg:"" help:"The file in force."`
	New  string `arg:"" help:"The file to come."`
	JSON bool   `name:"json" help:"Print the changes as a JSON array."`
}

func (c *diffCommand) Run(o *cli.Output) error {
	old, err := appconfig.Load(c.Old)
	if err != nil {
		return err
	}
	now, err := appconfig.Load(c.New)
	if err != nil {
		return err
	}
	changes := appconfig.Diff(old, now)
	if c.JSON {
		if changes == nil {
			changes = []appconfig.Change{}
		}
		enc := json.NewEncoder(o.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(changes)
	}
	for _, ch := range changes {
		mark := "reload  "
		if ch.Restart {
			mark = "RESTART "
		}
		fmt.Fprintln(o.Out, mark, ch.What)
	}
	if len(changes) == 0 {
		fmt.Fprintln(o.Out, "no request fares differently")
	}
	return nil
}

type explainCommand struct {
	File   string   `arg:"" help:"The application's file."`
	Method string   `help:"The request's method." default:"GET"`
	Host   string   `help:"The request's host." default:"localhost"`
	Path   string   `help:"The request's path, as on the request line." default:"/"`
	Header []string `help:"A header, as 'Name: value'; may be given more than once." sep:"none"`
	Client string   `help:"The client's address, for weights without a key." default:"127.0.0.1"`
}

func (c *explainCommand) Run(o *cli.Output) error {
	app, err := appconfig.Load(c.File)
	if err != nil {
		return err
	}
	h := http.Header{}
	for _, line := range c.Header {
		name, value, ok := strings.Cut(line, ":")
		if !ok || strings.TrimSpace(name) == "" {
			return cli.Usage("--header %q, want 'Name: value'", line)
		}
		h.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	path, _, _ := strings.Cut(c.Path, "?")
	chooser, err := app.Chooser()
	if err != nil {
		return err
	}
	for _, line := range chooser.Explain(&route.Request{Method: c.Method, Host: c.Host, Path: path, Header: h, Client: c.Client}) {
		fmt.Fprintln(o.Out, line)
	}
	return nil
}
