package appconfig

import (
	"slices"
	"time"

	"indigotack/decide"
	"indigotack/internal/route"
)

// Chooser is the routes as requests are matched with them. A checked App has one.
func (a *App) Chooser() (*route.Chooser, error) {
	rules := make([]route.Rule, len(a.Routes))
	for i, r := range a.Routes {
		rules[i] = route.Rule{Route: r.Route, Deadline: r.Deadline, SplitKey: r.SplitKey}
	}
	classes := make([]route.Class, len(a.Classes))
	for i, c := range a.Classes {
		classes[i] = route.Class{Name: c.Name, Effect: c.Effect, Deadline: c.Deadline, Key: c.Key, RefuseUnkeyed: c.Unkeyed == "refuse"}
	}
	return route.NewChooser(rules, classes, route.ClientRules{
		Deadline:    map[string]route.DeadlineRule{"route": route.RouteDeadline, "shorten": route.Shorten, "extend": route.Extend}[a.Clients.Deadline],
		MaxDeadline: a.MaxDeadline, ClassHeader: a.ClassHeader, TenantHeader: a.TenantHeader, DefaultTenant: a.Clients.DefaultTenant,
		KeepSlash: a.KeepSlash})
}

// Longest is the longest deadline that a request can have.
func (a *App) Longest() (d time.Duration) {
	for _, c := range a.Classes {
		d = max(d, c.Deadline)
	}
	for _, r := range a.Routes {
		d = max(d, r.Deadline)
	}
	return max(d, a.MaxDeadline)
}

// Settings is what the module of one pool is told: of the classes those that
// the pool can get, as the worth of others would skew its shedding.
func (a *App) Settings(pool string) decide.Settings {
	s := decide.Settings{Nodes: a.Nodes, Self: a.Number, Zone: a.Zone, Kinds: a.Fleet.Kinds,
		MaxAttempts: a.Attempts, MayCancel: true, HoldOffs: a.MaxWait > 0, MaxHoldOff: a.MaxWait, MarksRepeats: true,
		ConnectTimeout: a.Connect, MinTick: minTick, ReportVia: decide.ReportAnswers, StreamsPerConn: 1, ConnIdle: a.Idle,
		MaxOpen: a.Open, DrainGrace: a.DrainGrace, ColdFrom: a.ColdFrom, ColdTime: a.ColdTime,
		OverloadFactor: a.OverloadFactor, OverloadTime: a.OverloadTime, OverShareWorth: 0.1,
		Goal: decide.Goal{Whole: 1}}
	for _, c := range a.Classes {
		if !a.leads(c.Name, pool) {
			continue
		}
		one := decide.Class{Name: c.Name, Worth: c.Worth, Aim: c.Aim, Deadline: c.Deadline, LateWorth: c.LateWorth,
			Effect: c.Effect, KeyScope: c.Scope, DedupWindow: c.DedupWindow}
		s.Classes = append(s.Classes, one)
		if c.Effect == decide.Keyed && c.Unkeyed != "refuse" {
			one.Name, one.Effect = c.Name+route.UnkeyedSuffix, decide.Unsafe
			s.Classes = append(s.Classes, one)
		}
	}
	for _, t := range a.Tenants {
		s.Tenants = append(s.Tenants, decide.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return s
}

// minTick is the margin that repeats keep from the end of a key's window: a
// request takes a moment to reach its server.
const minTick = 5 * time.Millisecond

func (a *App) leads(class, pool string) bool {
	if slices.Contains(a.ClassHeader, class) {
		return true
	}
	return slices.ContainsFunc(a.Routes, func(r Route) bool {
		return r.Class == class && slices.ContainsFunc(r.Splits, func(s route.Split) bool { return s.Pool == pool && s.Weight > 0 })
	})
}
