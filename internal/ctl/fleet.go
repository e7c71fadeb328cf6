package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"indigotack/internal/cli"
	"indigotack/internal/peers"
)

type fleetCommand struct {
	Admin []string      `help:"Admin address of a node; may be given more than once, to see where views differ." required:"" sep:"none"`
	Watch bool          `help:"Go on, until interrupted."`
	Every time.Duration `help:"Time between two looks, with --watch." default:"1s"`
	JSON  bool          `name:"json" help:"Print the views as they are, a line each."`
}

// maxView bounds what is read of a node's answer.
const maxView = 16 << 20

func (c *fleetCommand) Run(o *cli.Output) error {
	if c.Every < 100*time.Millisecond || c.Every > time.Hour {
		return cli.Usage("--every %v, want 100ms to 1h", c.Every)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	for {
		err := c.look(ctx, o.Out)
		if !c.Watch {
			return err
		}
		if err != nil {
			fmt.Fprintln(o.Out, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Every):
			fmt.Fprintln(o.Out)
		}
	}
}

func (c *fleetCommand) look(ctx context.Context, w io.Writer) error {
	var all []peers.Snapshot
	failed := 0
	for _, address := range c.Admin {
		s, err := askView(ctx, address)
		if err != nil {
			failed++
			fmt.Fprintf(w, "%s: %v\n", address, err)
			continue
		}
		all = append(all, s)
	}
	if c.JSON {
		enc := json.NewEncoder(w)
		for _, s := range all {
			if err := enc.Encode(s); err != nil {
				return err
			}
		}
	} else {
		for _, s := range all {
			writeView(w, s)
		}
		writeDifferences(w, all)
	}
	if failed > 0 {
		return errMistaken
	}
	return nil
}

func askView(ctx context.Context, address string) (s peers.Snapshot, err error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/view", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxView))
	if err != nil {
		return s, err
	}
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(body)))
	}
	return s, json.Unmarshal(body, &s)
}

func writeView(w io.Writer, s peers.Snapshot) {
	state := "NOT settled"
	if s.Settled {
		state = "settled"
	}
	fmt.Fprintf(w, "%s (start %d): %s, %d members count, epoch %d, digest %s", s.Self, s.Start, state, s.Counted, s.Epoch, s.Digest)
	if s.LastSettledSize > 0 {
		fmt.Fprintf(w, "; whole at %s with %d", s.LastSettled.Format(time.TimeOnly), s.LastSettledSize)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "  member\tstart\tstate\tsince\taddress\tzone\tprogram")
	for _, m := range s.Members {
		state := m.State.String()
		if m.Twin {
			state += ", TWIN"
		}
		if m.Drained && m.State.Counts() {
			state += ", drained"
		}
		fmt.Fprintf(t, "  %s\t%d\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Start, state, m.Since.Format(time.TimeOnly), m.Address, m.Zone, m.Program)
	}
	t.Flush()
}

// writeDifferences tells where views of several nodes differ.
func writeDifferences(w io.Writer, all []peers.Snapshot) {
	if len(all) < 2 {
		return
	}
	digests, names := map[string][]string{}, map[string]bool{}
	for _, s := range all {
		digests[s.Digest] = append(digests[s.Digest], s.Self)
		for _, m := range s.Members {
			names[m.Name] = true
		}
	}
	if len(digests) == 1 {
		fmt.Fprintf(w, "all %d hold the same view\n", len(all))
		return
	}
	fmt.Fprintf(w, "%d views among %d nodes:\n", len(digests), len(all))
	for _, d := range slices.Sorted(maps.Keys(digests)) {
		fmt.Fprintf(w, "  %s: %s\n", d, strings.Join(digests[d], " "))
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		by := map[string][]string{}
		for _, s := range all {
			how := "unknown"
			if i := slices.IndexFunc(s.Members, func(m peers.Member) bool { return m.Name == name }); i >= 0 {
				m := s.Members[i]
				if how = m.State.String(); m.State.Counts() {
					how = fmt.Sprintf("counted, start %d", m.Start)
				}
			}
			by[how] = append(by[how], s.Self)
		}
		if len(by) > 1 {
			fmt.Fprintf(w, "  %s:", name)
			for _, how := range slices.Sorted(maps.Keys(by)) {
				fmt.Fprintf(w, " %s at %s;", how, strings.Join(by[how], " "))
			}
			fmt.Fprintln(w)
		}
	}
}
