// Package wire translates between the simulator's JSON lines and the decision
// module's types. It decides nothing.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"indigotack/decide"
)

// The codes by which the wire names outcomes.
const (
	codeOK            = 0
	codeCancelled     = 1
	codeTimeout       = 4
	codeFull          = 8
	codeSuperseded    = 9
	codeReset         = 10
	codeError         = 13
	codeConnectFailed = 14
)

// The bits of a submit's flags.
const (
	flagHint   = 1
	flagRepeat = 2
	flagWrite  = 4
)

var outcomes = map[int]decide.OutcomeCode{
	codeOK: decide.OK, codeCancelled: decide.Cancelled, codeTimeout: decide.TimedOut, codeFull: decide.Full,
	codeSuperseded: decide.Superseded, codeReset: decide.Reset, codeError: decide.ServerError,
	codeConnectFailed: decide.ConnectFailed,
}

// Start is an `up`: an instance begins.
type Start struct {
	Settings decide.Settings
	Seed     int64
}

// Happening is one event for an instance: a start, an end, or one for the module.
type Happening struct {
	Start  *Start
	Retire bool
	Event  decide.Event
}

// Group holds the events of one instance.
type Group struct {
	Node   int
	Events []Happening
}

// Batch is one line from the simulator.
type Batch struct {
	Now    decide.Time
	Groups []Group
}

// DecodeBatch reads one line.
func DecodeBatch(line []byte) (Batch, error) {
	var in struct {
		Now    *int64 `json:"sim_time_ns"`
		Groups []struct {
			Node     *int                         `json:"node_id"`
			Happened []map[string]json.RawMessage `json:"happened"`
		} `json:"groups"`
	}
	if err := json.Unmarshal(line, &in); err != nil {
		return Batch{}, fmt.Errorf("batch: %w", err)
	}
	if in.Now == nil {
		return Batch{}, errors.New("batch: sim_time_ns is missing")
	}
	b := Batch{Now: time.Duration(*in.Now)}
	for i, g := range in.Groups {
		if g.Node == nil {
			return Batch{}, fmt.Errorf("group %d: node_id is missing", i)
		}
		out := Group{Node: *g.Node}
		for j, ev := range g.Happened {
			where := fmt.Sprintf("node %d, event %d", *g.Node, j)
			if len(ev) != 1 {
				return Batch{}, fmt.Errorf("%s: want one key, have %d", where, len(ev))
			}
			for name, raw := range ev {
				h, err := decodeEvent(name, raw)
				if err != nil {
					return Batch{}, fmt.Errorf("%s, %s: %w", where, name, err)
				}
				out.Events = append(out.Events, h)
			}
		}
		b.Groups = append(b.Groups, out)
	}
	return b, nil
}

type missing string

func (m missing) Error() string { return string(m) + " is missing" }

type entry struct {
	Backend *uint32 `json:"backend"`
	Zone    string  `json:"zone"`
	Model   string  `json:"model"`
	Pod     int     `json:"pod"`
	State   string  `json:"state"`
	Nominal float64 `json:"nominal"`
	ReadyAt int64   `json:"ready_at_ns"`
}

func decodeEvent(name string, raw json.RawMessage) (Happening, error) {
	switch name {
	case "submit":
		var e struct {
			Req      *string `json:"req"`
			Band     string  `json:"band"`
			Group    any     `json:"user_group"`
			Key      string  `json:"partition_key"`
			Patience *int64  `json:"patience_left_ns"`
			Cost     int64   `json:"cost_guess_ns"`
			Flags    int     `json:"flags"`
		}
		if err := json.Unmarshal(raw, &e); err != nil {
			return Happening{}, err
		}
		if e.Req == nil {
			return Happening{}, missing("req")
		}
		if e.Patience == nil {
			return Happening{}, missing("patience_left_ns")
		}
		tenant, _ := e.Group.(string)
		return Happening{Event: decide.RequestArrived{ID: decide.RequestID(*e.Req), Class: e.Band, Tenant: tenant,
			Key: e.Key, Patience: time.Duration(*e.Patience), WorkHint: time.Duration(e.Cost),
			HasHint: e.Flags&flagHint != 0, Repeat: e.Flags&flagRepeat != 0, Write: e.Flags&flagWrite != 0}}, nil
	case "attempt_end", "probe_result", "streaming":
		return decodeOutcome(name, raw)
	case "due":
		var e struct {
			Label *int64 `json:"label"`
		}
		if err := json.Unmarshal(raw, &e); err != nil {
			return Happening{}, err
		}
		if e.Label == nil {
			return Happening{}, missing("label")
		}
		return Happening{Event: decide.TimerFired{Token: *e.Label}}, nil
	case "abandoned":
		var e struct {
			Req *string `json:"req"`
		}
		if err := json.Unmarshal(raw, &e); err != nil {
			return Happening{}, err
		}
		if e.Req == nil {
			return Happening{}, missing("req")
		}
		return Happening{Event: decide.RequestAbandoned{ID: decide.RequestID(*e.Req)}}, nil
	case "note_from":
		var e struct {
			From  *int   `json:"from"`
			Bytes []byte `json:"bytes"`
		}
		if err := json.Unmarshal(raw, &e); err != nil {
			return Happening{}, err
		}
		if e.From == nil {
			return Happening{}, missing("from")
		}
		return Happening{Event: decide.MessageReceived{From: *e.From, Data: e.Bytes}}, nil
	case "roster_change":
		return decodeList(raw)
	case "up":
		return decodeStart(raw)
	case "retire":
		return Happening{Retire: true}, nil
	}
	return Happening{}, errors.New("unknown event")
}

func decodeOutcome(name string, raw json.RawMessage) (Happening, error) {
	var e struct {
		Req         *string                    `json:"req"`
		Leg         *int                       `json:"leg"`
		Backend     *uint32                    `json:"backend"`
		Over        bool                       `json:"over"`
		Delay       int64                      `json:"delay_seen_ns"`
		Disposition *int                       `json:"disposition"`
		Feedback    map[string]json.RawMessage `json:"feedback"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return Happening{}, err
	}
	if e.Backend == nil {
		return Happening{}, missing("backend")
	}
	server, took := decide.ServerID(*e.Backend), time.Duration(e.Delay)
	var id decide.RequestID
	if name != "probe_result" {
		if e.Req == nil {
			return Happening{}, missing("req")
		}
		if e.Leg == nil {
			return Happening{}, missing("leg")
		}
		id = decide.RequestID(*e.Req)
	}
	if name == "streaming" {
		return Happening{Event: decide.StreamStarted{ID: id, Attempt: *e.Leg, Server: server, Elapsed: took}}, nil
	}
	if e.Disposition == nil {
		return Happening{}, missing("disposition")
	}
	code, ok := outcomes[*e.Disposition]
	if !ok {
		return Happening{}, fmt.Errorf("unknown disposition %d", *e.Disposition)
	}
	report := decodeReport(e.Feedback)
	if name == "probe_result" {
		return Happening{Event: decide.ProbeEnded{Server: server, Code: code, Elapsed: took, Report: report}}, nil
	}
	return Happening{Event: decide.AttemptEnded{ID: id, Attempt: *e.Leg, Server: server, Over: e.Over,
		Elapsed: took, Code: code, Report: report}}, nil
}

// decodeReport skips the keys it does not know; a report with no known key is none.
func decodeReport(values map[string]json.RawMessage) *decide.Report {
	var r decide.Report
	known := false
	for name, raw := range values {
		v, err := strconv.ParseFloat(string(raw), 64)
		known = err == nil && SetReportField(&r, name, v) || known
	}
	if !known {
		return nil
	}
	return &r
}

// SetReportField sets the value of a load report that the simulator, or a
// server on a socket, calls so. It tells whether the name is known.
func SetReportField(r *decide.Report, name string, v float64) bool {
	switch name {
	case "active", "inflight":
		r.InFlight, r.HasInFlight = v, true
	case "waiting", "queue":
		r.Queue, r.HasQueue = v, true
	case "cpu", "util":
		r.Utilisation = v
	case "avg_ms", "latency_ms":
		r.ServiceTime = time.Duration(v * float64(time.Millisecond))
	case "rps", "qps":
		r.Rate = v
	case "err_rps", "eps":
		r.ErrorRate = v
	default:
		return false
	}
	return true
}

var listKinds = map[string]decide.ListKind{
	"D": decide.ListChanges, "F": decide.ListFull, "C": decide.ListCached, "X": decide.ListFailed,
}

var states = map[string]decide.ServerState{
	"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone,
}

func decodeList(raw json.RawMessage) (Happening, error) {
	var e struct {
		How     string  `json:"how"`
		Version uint64  `json:"version"`
		Items   []entry `json:"items"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return Happening{}, err
	}
	kind, ok := listKinds[e.How]
	if !ok {
		return Happening{}, fmt.Errorf("unknown how %q", e.How)
	}
	l := decide.ListUpdate{Kind: kind, Version: e.Version}
	for i, it := range e.Items {
		if it.Backend == nil {
			return Happening{}, fmt.Errorf("entry %d: %w", i, missing("backend"))
		}
		state, ok := states[it.State]
		if !ok {
			return Happening{}, fmt.Errorf("entry %d: unknown state %q", i, it.State)
		}
		l.Entries = append(l.Entries, decide.Server{ID: decide.ServerID(*it.Backend), Zone: it.Zone, Kind: it.Model,
			Cell: it.Pod, State: state, Size: it.Nominal, StartedAt: time.Duration(it.ReadyAt)})
	}
	return Happening{Event: l}, nil
}

var effects = map[string]decide.Effect{"retryable": decide.Safe, "dedup": decide.Keyed, "fragile": decide.Unsafe}

var scopes = map[string]decide.Scope{"cell": decide.ScopeCell, "zone": decide.ScopeZone, "all": decide.ScopeAll}

var reportVias = map[string]decide.ReportVia{
	"none": decide.ReportNone, "probe": decide.ReportProbe, "answers": decide.ReportAnswers,
}

// The values of weight_kind; a site that states none has no sizes.
const (
	sizeNone = iota
	sizeExact
	sizeRough
	sizeLive
)

var sizes = map[string]int{"none": sizeNone, "nominal": sizeExact, "rough": sizeRough, "live": sizeLive}

func has[V any](m map[string]V, key string) bool {
	_, ok := m[key]
	return ok
}

func decodeStart(raw json.RawMessage) (Happening, error) {
	var e struct {
		Seed    *json.Number    `json:"seed"`
		Profile json.RawMessage `json:"profile_data"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return Happening{}, err
	}
	if e.Seed == nil {
		return Happening{}, missing("seed")
	}
	if e.Profile == nil {
		return Happening{}, missing("profile_data")
	}
	seed, err := strconv.ParseUint(e.Seed.String(), 10, 64)
	if err != nil {
		f, ferr := e.Seed.Float64()
		if ferr != nil {
			return Happening{}, fmt.Errorf("seed: %w", err)
		}
		seed = math.Float64bits(f)
	}
	s, err := DecodeSettings(e.Profile)
	if err != nil {
		return Happening{}, err
	}
	return Happening{Start: &Start{Settings: s, Seed: int64(seed)}}, nil
}

// profile is the settings as the wire has them.
type profile struct {
	Accounts  []profileAccount `json:"accounts"`
	Balancers int              `json:"balancers"`
	Caps      struct {
		Cancel         bool    `json:"cancel"`
		ConnIdle       int64   `json:"conn_idle_ns"`
		ConnectTimeout int64   `json:"connect_timeout_ns"`
		CPUPerRequest  float64 `json:"cpu_us_per_request"`
		CPUPerSecond   float64 `json:"cpu_us_per_s"`
		MaxAttempts    int     `json:"max_attempts"`
		MaxRetryAfter  int64   `json:"max_retry_after_ns"`
		MayDuplicate   bool    `json:"may_duplicate"`
		MostHeld       int     `json:"most_held"`
		Multiplex      int     `json:"multiplex"`
		Peers          bool    `json:"peers"`
		Probes         bool    `json:"probes"`
		RetryAfter     bool    `json:"retry_after"`
	} `json:"caps"`
	Charges struct {
		Connection float64 `json:"connection"`
		CrossZone  float64 `json:"cross_zone"`
		Fleet      float64 `json:"fleet"`
		Handshake  float64 `json:"handshake"`
		LateFail   float64 `json:"late_fail"`
		Lines      float64 `json:"membership_mode"`
		Moves      float64 `json:"moves"`
		Origin     float64 `json:"origin"`
		Peer       float64 `json:"peer"`
		Probe      float64 `json:"probe"`
		Waste      float64 `json:"waste"`
	} `json:"charges"`
	Classes []profileClass `json:"classes"`
	Habits  struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"client_habits"`
	Domains []string `json:"failure_domains"`
	Family  string   `json:"family"`
	Goal    struct {
		Whole       float64 `json:"whole"`
		WorstClass  float64 `json:"worst_class"`
		WorstTenant float64 `json:"worst_tenant"`
		WorstWindow float64 `json:"worst_window"`
	} `json:"goal"`
	Kinds      []string `json:"kinds"`
	Membership string   `json:"membership_mode"`
	OverShare  float64  `json:"over_share_worth"`
	Report     struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
	Slot      int `json:"slot_no"`
	Specifics struct {
		PassesDeadline bool `json:"passes_deadline"`
		WarmKeys       bool `json:"warm_keys"`
	} `json:"specifics"`
	Invariants struct {
		AnswerSlack    int64   `json:"answer_slack_ns"`
		AskWithin      int64   `json:"ask_within_ns"`
		ColdFrom       float64 `json:"cold_from"`
		Cold           int64   `json:"cold_ns"`
		DrainClose     int64   `json:"drain_close_ns"`
		DrainGrace     int64   `json:"drain_grace_ns"`
		OverloadFactor float64 `json:"overload_factor"`
		TipAfter       int64   `json:"tip_after_ns"`
	} `json:"invariants"`
	Tick       int64    `json:"tick_ns"`
	Tier       int      `json:"tier"`
	Tiers      []string `json:"tiers"`
	WeightKind string   `json:"weight_kind"`
	WorthBy    string   `json:"worth_by"`
	Zone       string   `json:"zone"`
}

type profileClass struct {
	AimStretch float64  `json:"aim_stretch"`
	Aim        int64    `json:"aim_ns"`
	AllowedOn  []string `json:"allowed_on"`
	Dedup      int64    `json:"dedup_window_ns"`
	Domains    []string `json:"failure_domains_open"`
	Effect     string   `json:"effect"`
	GiveUp     int64    `json:"give_up_ns"`
	Importance float64  `json:"importance"`
	KeyScope   string   `json:"key_scope"`
	LateWorth  float64  `json:"late_worth"`
	Name       string   `json:"name"`
	Streamed   bool     `json:"streamed"`
}

type profileAccount struct {
	Name     string  `json:"name"`
	Quota    float64 `json:"quota_per_s"`
	Fraction float64 `json:"fraction"`
}

// DecodeSettings reads the settings of an instance, which the simulator and a
// real node's configuration give in the same form.
func DecodeSettings(raw json.RawMessage) (decide.Settings, error) {
	var p *profile
	if err := json.Unmarshal(raw, &p); err != nil {
		return decide.Settings{}, err
	}
	if p == nil {
		return decide.Settings{}, missing("settings")
	}
	for _, c := range []struct {
		key, value string
		known      bool
	}{
		{"membership_mode", p.Membership, p.Membership == "pushed" || p.Membership == "on_request"},
		{"report.how", p.Report.How, has(reportVias, p.Report.How)},
		{"weight_kind", p.WeightKind, has(sizes, p.WeightKind)},
		{"worth_by", p.WorthBy, p.WorthBy == "request" || p.WorthBy == "work"},
	} {
		if c.value != "" && !c.known {
			return decide.Settings{}, fmt.Errorf("unknown %s %q", c.key, c.value)
		}
	}
	s := decide.Settings{Nodes: p.Balancers, Self: p.Slot, Zone: p.Zone, Zones: p.Domains, Kinds: p.Kinds,
		MaxAttempts: p.Caps.MaxAttempts, MayOverlap: p.Caps.MayDuplicate, MayCancel: p.Caps.Cancel,
		MayProbe: p.Caps.Probes, MayMessage: p.Caps.Peers, HoldOffs: p.Caps.RetryAfter,
		MaxHoldOff: time.Duration(p.Caps.MaxRetryAfter), MarksRepeats: p.Habits.MarksRetry,
		ConnectTimeout: time.Duration(p.Caps.ConnectTimeout), MinTick: time.Duration(p.Tick),
		AskForList: p.Membership == "on_request", SizeKnown: sizes[p.WeightKind] != sizeNone,
		SizeRough: sizes[p.WeightKind] == sizeRough, SizeLive: sizes[p.WeightKind] == sizeLive,
		OverShareWorth: p.OverShare, WorthByWork: p.WorthBy == "work", ReportVia: reportVias[p.Report.How], ReportFields: p.Report.Fields,
		AnswerSlack: time.Duration(p.Invariants.AnswerSlack), AskWithin: time.Duration(p.Invariants.AskWithin),
		DrainGrace: time.Duration(p.Invariants.DrainGrace),
		DrainClose: time.Duration(p.Invariants.DrainClose), ColdFrom: p.Invariants.ColdFrom,
		ColdTime: time.Duration(p.Invariants.Cold), OverloadFactor: p.Invariants.OverloadFactor,
		OverloadTime: time.Duration(p.Invariants.TipAfter), Family: p.Family, Tier: p.Tier, Tiers: p.Tiers,
		WarmKeys: p.Specifics.WarmKeys, PassesDeadline: p.Specifics.PassesDeadline,
		StreamsPerConn: p.Caps.Multiplex, ConnIdle: time.Duration(p.Caps.ConnIdle), MaxOpen: p.Caps.MostHeld,
		CPUPerSecond:  time.Duration(p.Caps.CPUPerSecond * float64(time.Microsecond)),
		CPUPerRequest: time.Duration(p.Caps.CPUPerRequest * float64(time.Microsecond)),
		Goal: decide.Goal{Whole: p.Goal.Whole, WorstWindow: p.Goal.WorstWindow, WorstClass: p.Goal.WorstClass,
			WorstTenant: p.Goal.WorstTenant},
		Prices: decide.Prices{Connection: p.Charges.Connection, Handshake: p.Charges.Handshake,
			CrossZone: p.Charges.CrossZone, Waste: p.Charges.Waste, LateFail: p.Charges.LateFail,
			Probe: p.Charges.Probe, Message: p.Charges.Peer, Moves: p.Charges.Moves, Origin: p.Charges.Origin,
			ListLines: p.Charges.Lines, Fleet: p.Charges.Fleet}}
	for _, c := range p.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return decide.Settings{}, fmt.Errorf("class %s: unknown effect %q", c.Name, c.Effect)
		}
		scope, ok := scopes[c.KeyScope]
		if !ok && (c.KeyScope != "" || effect == decide.Keyed) {
			return decide.Settings{}, fmt.Errorf("class %s: unknown key_scope %q", c.Name, c.KeyScope)
		}
		s.Classes = append(s.Classes, decide.Class{Name: c.Name, Worth: c.Importance, Aim: time.Duration(c.Aim),
			AimStretch: c.AimStretch, Deadline: time.Duration(c.GiveUp), LateWorth: c.LateWorth, Effect: effect,
			KeyScope: scope, DedupWindow: time.Duration(c.Dedup), Streamed: c.Streamed,
			OnlyZones: c.Domains, OnlyKinds: c.AllowedOn})
	}
	for _, t := range p.Accounts {
		s.Tenants = append(s.Tenants, decide.Tenant{Name: t.Name, Quota: t.Quota, Share: t.Fraction})
	}
	return s, nil
}
