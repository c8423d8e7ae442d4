package wire

import (
	"encoding/json"
	"fmt"
	"math"

	"petrelhook/balance"
)

// settings is the JSON form of the profile. Unknown keys are ignored, as the platform adds some from time to time. The type's
// name appears in error messages of encoding/json.
type settings struct {
	Classes []struct {
		Name                 string   `json:"name"`
		Effect               string   `json:"effect"`
		Group                string   `json:"group"`
		Window               *float64 `json:"window_ms"`
		LatencyTarget        float64  `json:"on_time_ms"`
		LatencyTargetStretch float64  `json:"aim_stretch"`
		Deadline             float64  `json:"hard_limit_ms"`
		Value                *float64 `json:"worth"`
		LateValue            float64  `json:"late_worth"`
		Stream               bool     `json:"stream"`
	} `json:"classes"`
	Tenants []struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance_per_s"`
		Share     float64 `json:"share"`
	} `json:"tenants"`
	Zones          []string `json:"zones"`
	Kinds          []string `json:"kinds"`
	Discovery      string   `json:"discovery"`
	SidecarNumber  int      `json:"my_number"`
	SidecarCount   int      `json:"peers_total"`
	Zone           int      `json:"zone"`
	OverShareValue *float64 `json:"over_share_worth"`
	BatchInterval  float64  `json:"quantum_ms"`
	Report         struct {
		Via    string   `json:"via"`
		Fields []string `json:"fields"`
	} `json:"report"`
	Limits struct {
		Cancel             bool    `json:"cancel"`
		ConnectionIdleTime float64 `json:"conn_idle_ms"`
		ConnectTimeout     float64 `json:"connect_timeout_ms"`
		MaxAttempts        *int    `json:"max_attempts"`
		MaxRetryAfter      float64 `json:"max_retry_after_ms"`
		Messages           bool    `json:"may_tell"`
		Parallel           bool    `json:"parallel_tries"`
		Probes             bool    `json:"probes"`
		RetryAfter         bool    `json:"retry_after"`
	} `json:"limits"`
	Family struct {
		KeyAffinity bool `json:"warm_keys"`
	} `json:"family_info"`
	Rules struct {
		AnswerSlack       float64  `json:"answer_slack_ms"`
		MaxPollInterval   float64  `json:"ask_within_ms"`
		SlowStartFraction *float64 `json:"cold_from"`
		SlowStartTime     float64  `json:"cold_ms"`
		DrainGrace        float64  `json:"drain_grace_ms"`
		OverloadTime      float64  `json:"fall_ms"`
		OverloadMultiple  float64  `json:"fall_multiple"`
	} `json:"rules"`
	Goal struct { // the fields match balance.Goal, so that the type converts to it; likewise Penalties
		Overall     float64 `json:"whole"`
		WorstWindow float64 `json:"worst_window"`
		WorstClass  float64 `json:"worst_class"`
		WorstTenant float64 `json:"worst_tenant"`
	} `json:"result_mix"`
	Penalties struct {
		CrossZone   float64 `json:"cross_zone"`
		Waste       float64 `json:"waste"`
		Handshake   float64 `json:"handshake"`
		Probe       float64 `json:"probe"`
		PeerMessage float64 `json:"peer"`
		LateFailure float64 `json:"late_fail"`
	} `json:"penalties"`
}

var effectsByName = map[string]balance.Effect{
	"read_like": balance.Safe, "idempotency_key": balance.Keyed, "non_idempotent": balance.Unsafe,
}

var groupsByName = map[string]balance.Group{
	"": balance.GroupAll, "all": balance.GroupAll, "zone": balance.GroupZone, "cell": balance.GroupCell,
}

var reportsVia = map[string]balance.ReportVia{
	"": balance.ReportNone, "silent": balance.ReportNone,
	"piggyback": balance.ReportPiggyback, "pull": balance.ReportProbe,
}

var reportFieldsByName = map[string]balance.ReportField{
	"rif": balance.FieldInFlight, "q": balance.FieldQueue, "busy": balance.FieldUtil,
	"lat_ms": balance.FieldLatency, "rate": balance.FieldRate, "fail_rate": balance.FieldErrorRate,
}

// FieldError is the error for a setting with an invalid value.
type FieldError struct {
	Field   string // path of the setting, such as classes[2].effect
	Problem string
	Remedy  string // what to write instead
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("settings: %s: %s; %s", e.Field, e.Problem, e.Remedy)
}

// oneOf returns the value of a name in valuesByName. An unknown name is a FieldError for the field, in which kind says what is
// named and remedy lists the valid names.
func oneOf[T any](field, kind, name string, valuesByName map[string]T, remedy string) (T, error) {
	v, ok := valuesByName[name]
	if !ok {
		return v, &FieldError{field, fmt.Sprintf("unknown %s %q", kind, name), "write " + remedy}
	}
	return v, nil
}

// Profile holds all settings: those of the balancer, and those that only a sidecar with real connections needs.
type Profile struct {
	Config                                 balance.Config
	Classes, Tenants, Zones, Kinds, Fields []string // names, by the numbers that balance uses for them
	ConnectionIdleTime                     float64  // how long servers keep an idle connection, in ms; 0: not given
}

// ParseProfile parses the settings of a sidecar with real connections. An invalid value is a *FieldError; malformed JSON and
// values of a wrong type are errors of encoding/json, wrapped.
func ParseProfile(seed uint64, profile []byte) (Profile, error) {
	var s settings
	if err := json.Unmarshal(profile, &s); err != nil {
		return Profile{}, fmt.Errorf("settings: %w", err)
	}
	cfg, err := s.config(seed)
	p := Profile{
		Config: cfg, Zones: s.Zones, Kinds: s.Kinds, Fields: s.Report.Fields, ConnectionIdleTime: s.Limits.ConnectionIdleTime,
	}
	for i := range s.Classes {
		p.Classes = append(p.Classes, s.Classes[i].Name)
	}
	for i := range s.Tenants {
		p.Tenants = append(p.Tenants, s.Tenants[i].Name)
	}
	return p, err
}

// ParseSettings parses the profile of an InstanceStarted. Its errors are those of ParseProfile.
func ParseSettings(seed uint64, profile []byte) (balance.Config, error) {
	p, err := ParseProfile(seed, profile)
	return p.Config, err
}

// config converts the settings to those of the balancer. Unknown names of load report fields become balance.FieldUnknown.
func (s *settings) config(seed uint64) (balance.Config, error) {
	cfg := balance.Config{
		Seed: seed, SidecarNumber: s.SidecarNumber, SidecarCount: max(s.SidecarCount, 1), Zone: s.Zone,
		OverShareValue: valueOr(s.OverShareValue, 1), BatchInterval: s.BatchInterval,
		Parallel: s.Limits.Parallel, Cancel: s.Limits.Cancel, Probes: s.Limits.Probes,
		Messages: s.Limits.Messages, RetryAfter: s.Limits.RetryAfter,
		MaxRetryAfter: s.Limits.MaxRetryAfter, ConnectTimeout: s.Limits.ConnectTimeout,
		MaxAttempts: valueOr(s.Limits.MaxAttempts, 1), DrainGrace: s.Rules.DrainGrace,
		SlowStartFraction: valueOr(s.Rules.SlowStartFraction, 1), SlowStartTime: s.Rules.SlowStartTime,
		OverloadMultiple: s.Rules.OverloadMultiple, OverloadTime: s.Rules.OverloadTime,
		MaxPollInterval: s.Rules.MaxPollInterval, AnswerSlack: s.Rules.AnswerSlack,
		KeyAffinity: s.Family.KeyAffinity,
		Goal:        balance.Goal(s.Goal),
		Penalties:   balance.Penalties(s.Penalties),
	}
	switch s.Discovery {
	case "", "automatic":
	case "subscribe":
		cfg.Subscribe = true
	default:
		return cfg, &FieldError{"discovery", fmt.Sprintf("unknown discovery %q", s.Discovery), "write automatic or subscribe"}
	}
	var err error
	if cfg.Reports, err = oneOf("report.via", "way", s.Report.Via, reportsVia, "silent, piggyback or pull"); err != nil {
		return cfg, err
	}
	for _, name := range s.Report.Fields {
		cfg.Fields = append(cfg.Fields, reportFieldsByName[name])
	}
	for _, t := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{Allowance: t.Allowance, Share: t.Share})
	}
	return cfg, s.addClasses(&cfg)
}

// addClasses checks the classes and appends them to the settings of the balancer.
func (s *settings) addClasses(cfg *balance.Config) error {
	if len(s.Classes) == 0 {
		return &FieldError{"classes", "missing", "list one class at least"}
	}
	for i, c := range s.Classes {
		field := fmt.Sprintf("classes[%d].", i)
		effect, err := oneOf(field+"effect", "effect", c.Effect, effectsByName, "read_like, idempotency_key or non_idempotent")
		if err != nil {
			return err
		}
		group, err := oneOf(field+"group", "group", c.Group, groupsByName, "all, zone or cell")
		if err != nil {
			return err
		}
		if !(c.Deadline > 0) {
			return &FieldError{field + "hard_limit_ms", fmt.Sprintf("%v ms", c.Deadline), "write how long clients wait, above 0"}
		}
		if c.LatencyTarget < 0 {
			return &FieldError{
				field + "on_time_ms", fmt.Sprintf("%v ms", c.LatencyTarget), "write the time wanted for an answer, or leave it out",
			}
		}
		target := c.LatencyTarget
		if target == 0 {
			target = c.Deadline
		}
		cfg.Classes = append(cfg.Classes, balance.Class{
			Effect: effect, Group: group, Window: valueOr(c.Window, math.Inf(1)),
			LatencyTarget: target, LatencyTargetStretch: c.LatencyTargetStretch, Deadline: c.Deadline,
			Value: valueOr(c.Value, 1), LateValue: c.LateValue, Stream: c.Stream,
		})
	}
	return nil
}

// valueOr returns the value of a setting, or the default if the setting is missing.
func valueOr[T any](setting *T, byDefault T) T {
	if setting == nil {
		return byDefault
	}
	return *setting
}
