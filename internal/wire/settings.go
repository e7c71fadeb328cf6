package wire

import (
	"encoding/json"
	"time"

	"indigotack/decide"
	"indigotack/internal/jsonkeys"
)

// UnknownSettings gives the values of settings that DecodeSettings passes over, by
// their keys with dots between them.
func UnknownSettings(raw json.RawMessage) map[string]json.RawMessage {
	return jsonkeys.UnknownValues(raw, profile{})
}

// EncodeSettings writes settings in the form that DecodeSettings reads.
func EncodeSettings(s decide.Settings) ([]byte, error) {
	var p profile
	p.Balancers, p.Slot, p.Zone, p.Domains, p.Kinds = s.Nodes, s.Self, s.Zone, s.Zones, s.Kinds
	p.Caps.MaxAttempts, p.Caps.MayDuplicate, p.Caps.Cancel = s.MaxAttempts, s.MayOverlap, s.MayCancel
	p.Caps.Probes, p.Caps.Peers, p.Caps.RetryAfter = s.MayProbe, s.MayMessage, s.HoldOffs
	p.Caps.MaxRetryAfter, p.Caps.ConnectTimeout = int64(s.MaxHoldOff), int64(s.ConnectTimeout)
	p.Caps.Multiplex, p.Caps.ConnIdle, p.Caps.MostHeld = s.StreamsPerConn, int64(s.ConnIdle), s.MaxOpen
	p.Caps.CPUPerSecond = float64(s.CPUPerSecond) / float64(time.Microsecond)
	p.Caps.CPUPerRequest = float64(s.CPUPerRequest) / float64(time.Microsecond)
	p.Habits.MarksRetry, p.Tick, p.OverShare = s.MarksRepeats, int64(s.MinTick), s.OverShareWorth
	p.Membership = "pushed"
	if s.AskForList {
		p.Membership = "on_request"
	}
	p.WeightKind = "none"
	switch {
	case s.SizeLive:
		p.WeightKind = "live"
	case s.SizeRough:
		p.WeightKind = "rough"
	case s.SizeKnown:
		p.WeightKind = "nominal"
	}
	p.WorthBy = "request"
	if s.WorthByWork {
		p.WorthBy = "work"
	}
	p.Report.How, p.Report.Fields = nameOf(reportVias, s.ReportVia), s.ReportFields
	p.Invariants.AnswerSlack, p.Invariants.AskWithin = int64(s.AnswerSlack), int64(s.AskWithin)
	p.Invariants.DrainGrace, p.Invariants.DrainClose = int64(s.DrainGrace), int64(s.DrainClose)
	p.Invariants.ColdFrom, p.Invariants.Cold = s.ColdFrom, int64(s.ColdTime)
	p.Invariants.OverloadFactor, p.Invariants.TipAfter = s.OverloadFactor, int64(s.OverloadTime)
	p.Family, p.Tier, p.Tiers = s.Family, s.Tier, s.Tiers
	p.Specifics.WarmKeys, p.Specifics.PassesDeadline = s.WarmKeys, s.PassesDeadline
	p.Goal.Whole, p.Goal.WorstWindow, p.Goal.WorstClass, p.Goal.WorstTenant =
		s.Goal.Whole, s.Goal.WorstWindow, s.Goal.WorstClass, s.Goal.WorstTenant
	c := &p.Charges
	c.Connection, c.Handshake, c.CrossZone, c.Waste = s.Prices.Connection, s.Prices.Handshake, s.Prices.CrossZone, s.Prices.Waste
	c.LateFail, c.Probe, c.Peer, c.Moves = s.Prices.LateFail, s.Prices.Probe, s.Prices.Message, s.Prices.Moves
	c.Origin, c.Lines, c.Fleet = s.Prices.Origin, s.Prices.ListLines, s.Prices.Fleet
	for _, k := range s.Classes {
		p.Classes = append(p.Classes, profileClass{Name: k.Name, Importance: k.Worth, Aim: int64(k.Aim), AimStretch: k.AimStretch,
			GiveUp: int64(k.Deadline), LateWorth: k.LateWorth, Effect: nameOf(effects, k.Effect), KeyScope: nameOf(scopes, k.KeyScope),
			Dedup: int64(k.DedupWindow), Streamed: k.Streamed, Domains: k.OnlyZones, AllowedOn: k.OnlyKinds})
	}
	for _, t := range s.Tenants {
		p.Accounts = append(p.Accounts, profileAccount{Name: t.Name, Quota: t.Quota, Fraction: t.Share})
	}
	return json.Marshal(p)
}

func nameOf[V comparable](names map[string]V, v V) string {
	for name, one := range names {
		if one == v {
			return name
		}
	}
	return ""
}
