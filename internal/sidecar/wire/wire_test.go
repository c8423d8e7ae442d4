package wire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"testing"

	"petrelhook/balance"
)

// unhex decodes hex text, in which it ignores spaces and line breaks.
func unhex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// readAll reads all frames, and returns their records and the clock of the last one.
func readAll(r *Reader) ([]Record, float64, error) {
	var recs []Record
	var at float64
	for {
		err := r.Read(func(clock float64, rec Record) error {
			recs, at = append(recs, rec), clock
			return nil
		})
		if err == io.EOF { //nolint:errorlint // a frame that is cut short wraps io.EOF
			return recs, at, nil
		}
		if err != nil {
			return recs, at, err
		}
	}
}

const (
	emptyFrame  = "00000000 00000010 40c06e2000000000"
	eventsFrame = `00000003 00000052 40c06e2000000000
		03f2 0003 0002978f5d3a91c4 0000 4028000000000000 0001 91f03b7c55d20a64 406e000000000000 0000
		03fc 0003 000000000000004d
		044c 0005 000b677a0e6f2b19`
	listFrame = `00000002 00000051 40c06e2000000000
		03e8 0000 00000002
		0000000000000000 00 0a124a07 232b 3f800000 0000 00 00
		40b7d40000000000 00 0a9011f2 2354 3fc00000 0000 01 00
		0410 0003 01 00000029 0000`
	outcomeFrame = `00000001 0000002f 40c06e2000000000
		0442 0003 0002978f5d3a91c4 00 0a124a07 232b 0000 4032800000000000 01 00`
)

func TestDecodesTheProtocolsExamples(t *testing.T) {
	in := unhex(t, emptyFrame+eventsFrame+listFrame+outcomeFrame)
	recs, clock, err := readAll(NewReader(bytes.NewReader(in)))
	if err != nil {
		t.Fatal(err)
	}
	if clock != 8412.25 || len(recs) != 5 {
		t.Fatalf("clock %v, %d records", clock, len(recs))
	}
	request, ok := recs[0].Event.(balance.Request)
	want := balance.Request{ID: 0x2978f5d3a91c4, WorkHint: 12, Key: 0x91f03b7c55d20a64, Remaining: 240}
	if !ok || request != want || recs[0].Instance != 3 {
		t.Errorf("request: %+v", recs[0])
	}
	if ev := recs[1].Event; ev != any(balance.Timer{Token: 77}) {
		t.Errorf("timer: %+v", ev)
	}
	if ev := recs[2].Event; ev != any(balance.ClientGone{Request: 0xb677a0e6f2b19}) || recs[2].Instance != 5 {
		t.Errorf("client gone: %+v", recs[2])
	}
	list := recs[3].Event.(balance.ServerList)
	if list.Kind != balance.ListCached || len(list.Servers) != 2 {
		t.Fatalf("list: %+v", list)
	}
	second := balance.Server{ID: 0x0a9011f22354, StartedAt: 6100, Capacity: 1.5, Zone: 1}
	if list.Servers[0].ID != 0x0a124a07232b || list.Servers[1] != second {
		t.Errorf("entries: %+v", list.Servers)
	}
	outcome := recs[4].Event.(balance.Outcome)
	if outcome.Request != 0x2978f5d3a91c4 || outcome.Server != 0x0a124a07232b || outcome.Latency != 18.5 ||
		!outcome.Finished || outcome.Result != balance.OK {
		t.Errorf("outcome: %+v", outcome)
	}
}

func TestEncodesTheProtocolsExamples(t *testing.T) {
	var r Reply
	r.Reset()
	r.Add(3, []balance.Action{
		{Kind: balance.Send, Request: 0x2978f5d3a91c4, After: 8492, Server: 0x0a124a07232b},
		{Kind: balance.SetTimer, Token: 77, After: 500},
	})
	r.Add(5, []balance.Action{{Kind: balance.Log, Text: "two servers known"}})
	r.Add(3, []balance.Action{{Kind: balance.SendToPeer, Peer: -1, Data: []byte("hi 7")}})
	var out bytes.Buffer
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := unhex(t, `00000057
		03e8 0003 0002978f5d3a91c4 40c0960000000000 0a124a07232b
		0410 0003 000000000000004d 407f400000000000
		0438 0005 0011 74776f2073657276657273206b6e6f776e
		042e 0003 ffffffff 0004 68692037`)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
}

func TestMalformedFramesAreErrors(t *testing.T) {
	for name, frame := range map[string]string{
		"truncated header":     "00000000 0000",
		"length below header":  "00000000 0000000f 40c06e2000000000",
		"length past the end":  "00000001 00000050 40c06e2000000000 03fc",
		"huge length":          "00000001 ffffffff 40c06e2000000000",
		"clock not a number":   "00000000 00000010 7ff8000000000000",
		"unknown code":         "00000001 00000014 40c06e2000000000 ffff 0003",
		"truncated record":     "00000001 00000016 40c06e2000000000 03fc 0003 0000",
		"bytes left over":      "00000000 00000012 40c06e2000000000 0000",
		"count past the end":   "00000001 00000018 40c06e2000000000 03e8 0000 ffffffff",
		"settings past end":    "00000001 00000020 40c06e2000000000 042e 0000 0000000000000001 7fffffff",
		"table never sent":     "00000001 0000001b 40c06e2000000000 0410 0003 00 00000001 0003",
		"table out of range":   "00000001 00000018 40c06e2000000000 03e8 0010 00000000",
		"unknown list kind":    "00000001 0000001b 40c06e2000000000 0410 0003 07 00000001 0000",
		"unknown result":       strings.Replace(outcomeFrame, "232b 0000", "232b 0055", 1),
		"more records claimed": strings.Replace(outcomeFrame, "00000001", "00000002", 1),
	} {
		recs, _, err := readAll(NewReader(bytes.NewReader(unhex(t, frame))))
		if err == nil {
			t.Errorf("%s: no error, records %+v", name, recs)
		}
	}
}

func TestSettings(t *testing.T) {
	cfg, err := ParseSettings(9, []byte(`{"classes": [
		{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500, "worth": 2, "late_worth": 0.3},
		{"effect": "idempotency_key", "group": "cell", "hard_limit_ms": 600, "window_ms": 700}],
		"a_new_key": {"x": [1]}, "family_info": {"warm_keys": true, "passes_deadline": true}, "discovery": "subscribe", "my_number": 2, "peers_total": 5,
		"limits": {"parallel_tries": true, "probes": true, "max_attempts": 4},
		"report": {"via": "pull", "fields": ["q", "new", "rif"]},
		"rules": {"cold_from": 0.2, "cold_ms": 9000}, "result_mix": {"whole": 0.4, "worst_window": 0.3, "worst_class": 0.2, "worst_tenant": 0.1},
		"penalties": {"cross_zone": 1, "waste": 2, "handshake": 3, "probe": 4, "peer": 5, "late_fail": 6, "moves": 7},
		"tenants": [{"share": 0.4, "allowance_per_s": 10}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Seed != 9 || !cfg.Subscribe || cfg.SidecarNumber != 2 || cfg.SidecarCount != 5 || !cfg.Parallel || !cfg.Probes ||
		cfg.Cancel || !cfg.KeyAffinity || cfg.MaxAttempts != 4 || cfg.SlowStartFraction != 0.2 || cfg.Tenants[0].Share != 0.4 {
		t.Errorf("%+v", cfg)
	}
	if want := (balance.Goal{Overall: 0.4, WorstWindow: 0.3, WorstClass: 0.2, WorstTenant: 0.1}); cfg.Goal != want {
		t.Errorf("goal %+v", cfg.Goal)
	}
	want := balance.Penalties{CrossZone: 1, Waste: 2, Handshake: 3, Probe: 4, PeerMessage: 5, LateFailure: 6}
	if cfg.Penalties != want {
		t.Errorf("penalties %+v", cfg.Penalties)
	}
	second := cfg.Classes[1]
	if second.Effect != balance.Keyed || second.Group != balance.GroupCell || second.LatencyTarget != 600 || second.Value != 1 {
		t.Errorf("a class with missing keys: %+v", second)
	}
	if cfg.Reports != balance.ReportProbe || len(cfg.Fields) != 3 || cfg.Fields[1] != balance.FieldUnknown {
		t.Errorf("reports %v %v", cfg.Reports, cfg.Fields)
	}
	for _, bad := range []string{
		``, `[]`, `{}`, `{"classes": []}`, `{"classes": [{"effect": "odd", "hard_limit_ms": 1}]}`,
		`{"classes": [{"effect": "read_like"}]}`, `{"classes": [{"effect": "read_like", "hard_limit_ms": -1}]}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "discovery": "guess"}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "report": {"via": "pigeon"}}`,
	} {
		if _, err := ParseSettings(1, []byte(bad)); err == nil {
			t.Errorf("no error for %s", bad)
		}
	}
}

// The seed corpus runs in CI as an ordinary test.
func FuzzReader(f *testing.F) {
	for _, frame := range []string{emptyFrame, eventsFrame, listFrame, outcomeFrame, eventsFrame + listFrame} {
		f.Add(unhex(f, frame))
	}
	f.Add(unhex(f, "00000001 00000018 40c06e2000000000 03e8 0000 ffffffff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		recs, _, err := readAll(NewReader(bytes.NewReader(in)))
		if err == nil && len(in) > 0 && len(in) < headerSize {
			t.Fatalf("%d bytes read as %d records", len(in), len(recs))
		}
	})
}

// Any profile is either an error or gives settings with which a balancer can start.
func FuzzSettings(f *testing.F) {
	for _, profile := range []string{
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1500}]}`,
		`{"classes": [{"effect": "idempotency_key", "group": "cell", "hard_limit_ms": 600, "window_ms": -7}], "my_number": -3,
			"peers_total": -1, "limits": {"max_attempts": -2}, "rules": {"cold_from": 1e300, "fall_ms": -1}}`,
		`{"classes": [{"effect": "non_idempotent", "hard_limit_ms": 1e308, "on_time_ms": 1e-308}], "tenants": [{"share": -1}],
			"report": {"via": "pull", "fields": ["rif", "new"]}, "penalties": {"probe": -1, "cross_zone": 1e308}}`,
		`{"classes": []}`, `[]`, `{`, ``,
	} {
		f.Add([]byte(profile))
	}
	f.Fuzz(func(t *testing.T, profile []byte) {
		cfg, err := ParseSettings(1, profile)
		if err != nil {
			return
		}
		if len(cfg.Classes) == 0 {
			t.Fatal("settings without a class and without an error")
		}
		b := balance.New(cfg)
		b.Start(10)
		if _, err := b.Handle(10, balance.ServerList{Servers: []balance.Server{{ID: 1, Capacity: 1}}}); err != nil {
			t.Fatal(err)
		}
		acts, err := b.Handle(20, balance.Request{ID: 1, Remaining: 100})
		if err != nil || len(acts) == 0 {
			t.Fatalf("a first request: %v, %+v", err, acts)
		}
		for _, a := range acts {
			if !(a.After >= 0) {
				t.Fatalf("%+v", a)
			}
		}
	})
}

// A profile has the names of classes, tenants, zones, kinds and fields, and the time for which servers keep idle connections, as
// a sidecar must not keep them longer.
func TestProfileKeepsTheNames(t *testing.T) {
	p, err := ParseProfile(9, []byte(`{"classes": [{"name": "look", "effect": "read_like", "hard_limit_ms": 300}],
		"tenants": [{"name": "acme"}], "zones": ["a", "b"], "kinds": ["m1"], "report": {"via": "piggyback", "fields": ["busy", "new"]},
		"limits": {"conn_idle_ms": 700}}`))
	if err != nil {
		t.Fatal(err)
	}
	names := [][]string{p.Classes, p.Tenants, p.Zones, p.Kinds, p.Fields}
	if got := fmt.Sprint(names); got != "[[look] [acme] [a b] [m1] [busy new]]" || p.ConnectionIdleTime != 700 || p.Config.Seed != 9 {
		t.Errorf("%s, idle %v, seed %d", got, p.ConnectionIdleTime, p.Config.Seed)
	}
}
