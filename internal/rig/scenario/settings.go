package scenario

import (
	"encoding/json"
	"time"
)

// milliseconds is a duration in the unit of settings.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// effectNames are the names of effects in settings.
var effectNames = map[Effect]string{Safe: "read_like", Keyed: "idempotency_key", Unsafe: "non_idempotent"}

// Settings are the settings of the sidecar with a number, in the platform's form.
func (s *Scenario) Settings(number int) json.RawMessage {
	type object = map[string]any
	classes, tenants, zones, kinds := []object{}, []object{}, []string{}, []string{}
	for _, c := range s.Classes {
		class := object{
			"name": c.Name, "effect": effectNames[c.Effect], "on_time_ms": milliseconds(c.LatencyTarget), "hard_limit_ms": milliseconds(c.Deadline),
			"worth": c.Value, "late_worth": c.LateValue, "stream": false,
		}
		if c.Effect == Keyed {
			class["group"], class["window_ms"] = c.Group, milliseconds(c.Window)
		}
		classes = append(classes, class)
	}
	all, capacity := 0.0, s.Capacity()
	for _, t := range s.Tenants {
		all += t.Share
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, object{"name": t.Name, "share": t.Share / max(all, 1e-9), "allowance_per_s": capacity * t.Share / max(all, 1e-9)})
	}
	for _, server := range s.Servers {
		zones, kinds = appendUnique(zones, server.Zone), appendUnique(kinds, server.Kind)
	}
	report := object{"via": "silent"}
	if s.Limits.Reports {
		report = object{"via": "piggyback", "fields": ReportFields}
	}
	discovery := "subscribe"
	if s.Discovery.Pushed {
		discovery = "automatic"
	}
	text, err := json.Marshal(object{
		"classes": classes, "tenants": tenants, "zones": zones, "kinds": kinds, "zone": 0,
		"discovery": discovery, "my_number": number, "peers_total": max(s.Sidecars.Count, 1), "quantum_ms": 2,
		"over_share_worth": 0.2, "report": report,
		"limits": object{
			"cancel": true, "conn_idle_ms": milliseconds(s.Limits.IdleTimeout), "connect_timeout_ms": milliseconds(s.Limits.ConnectTimeout),
			"max_attempts": s.Limits.MaxAttempts, "parallel_tries": s.Limits.ParallelAttempts, "probes": s.Limits.Probes,
			"retry_after": s.Limits.RetryAfter > 0, "max_retry_after_ms": milliseconds(s.Limits.RetryAfter), "streams_per_conn": 1,
		},
		"rules": object{
			"answer_slack_ms": 8, "ask_within_ms": milliseconds(s.Rules.MaxPollInterval), "cold_from": s.Rules.SlowStartFraction,
			"cold_ms": milliseconds(s.Rules.SlowStartTime), "drain_grace_ms": milliseconds(s.Rules.DrainGrace),
			"fall_ms": milliseconds(s.Rules.OverloadTime), "fall_multiple": s.Rules.OverloadMultiple,
		},
		"result_mix": object{"whole": 0.55, "worst_window": 0.15, "worst_class": 0.05, "worst_tenant": 0.25},
		"penalties":  object{"handshake": 0.03, "late_fail": 0.08, "probe": 0.01, "waste": 0.02},
	})
	if err != nil {
		panic(err) // all numbers that a file can have are finite
	}
	return text
}

// ReportFields are the fields of a load report, as settings and answers name them: the fraction of cores in use, and requests served a
// second.
var ReportFields = []string{"busy", "rate"}

// Capacity is the number of requests a second that the fleet can serve after all slow starts, by the mean work of the mix.
func (s *Scenario) Capacity() float64 {
	cores, work, shares := 0.0, 0.0, 0.0
	for _, server := range s.Servers {
		cores += float64(server.Cores) * server.Speed
	}
	for _, c := range s.Classes {
		work += c.Share * (c.Work.From + c.Work.To).Seconds() / 2
		shares += c.Share
	}
	return cores * shares / max(work, 1e-9)
}

// appendUnique appends a name unless the list has it.
func appendUnique(list []string, name string) []string {
	for _, n := range list {
		if n == name {
			return list
		}
	}
	return append(list, name)
}
