package wire

import (
	"reflect"
	"testing"
	"time"

	"indigotack/decide"
)

// TestSettingsRoundTrip: every field that the wire carries comes back.
func TestSettingsRoundTrip(t *testing.T) {
	in := decide.Settings{Nodes: 5, Self: 2, Zone: "a", Zones: []string{"a", "b"}, Kinds: []string{"m"}, MaxAttempts: 4, MayOverlap: true,
		MayCancel: true, MayProbe: true, MayMessage: true, HoldOffs: true, MaxHoldOff: 2 * time.Second, MarksRepeats: true,
		ConnectTimeout: 120 * time.Millisecond, MinTick: 5 * time.Millisecond, AskForList: true, SizeKnown: true, SizeLive: true,
		OverShareWorth: 0.1, WorthByWork: true, ReportVia: decide.ReportAnswers, ReportFields: []string{"queue"}, Family: "proxy", Tier: 1,
		Tiers: []string{"x", "y"}, WarmKeys: true, PassesDeadline: true, StreamsPerConn: 1, ConnIdle: time.Minute, MaxOpen: 100,
		CPUPerSecond: 8 * time.Millisecond, CPUPerRequest: 20 * time.Microsecond, Goal: decide.Goal{Whole: 0.6, WorstWindow: 0.2, WorstClass: 0.1, WorstTenant: 0.1},
		Prices:      decide.Prices{Connection: 1, Handshake: 2, CrossZone: 3, Waste: 4, LateFail: 5, Probe: 6, Message: 7, Moves: 8, Origin: 9, ListLines: 10, Fleet: 11},
		AnswerSlack: 50 * time.Millisecond, AskWithin: time.Second, DrainGrace: 2 * time.Second, DrainClose: 3 * time.Second, ColdFrom: 0.3,
		ColdTime: 8 * time.Second, OverloadFactor: 3, OverloadTime: time.Second,
		Classes: []decide.Class{{Name: "k", Worth: 12, Aim: time.Second, AimStretch: 2, Deadline: 2 * time.Second, LateWorth: 0.5, Effect: decide.Keyed,
			KeyScope: decide.ScopeZone, DedupWindow: 2 * time.Second, Streamed: true, OnlyZones: []string{"a"}, OnlyKinds: []string{}}},
		Tenants: []decide.Tenant{{Name: "t", Quota: 3, Share: 0.5}}}
	text, err := EncodeSettings(in)
	if err != nil {
		t.Fatal(err)
	}
	out, err := DecodeSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(in, out) {
		t.Errorf("there and back:\n%+v\n%+v", in, out)
	}
}
