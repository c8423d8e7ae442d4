package wire

import (
	"encoding/json"
	"fmt"
	"math"

	"petrelhook/balance"
)

// settings mirrors the profile; keys that are not here are skipped.
type settings struct {
	Classes []struct {
		Name       string   `json:"name"`
		Effect     string   `json:"effect"`
		Group      string   `json:"group"`
		Window     *float64 `json:"window_ms"`
		Aim        float64  `json:"on_time_ms"`
		AimStretch float64  `json:"aim_stretch"`
		Deadline   float64  `json:"hard_limit_ms"`
		Worth      *float64 `json:"worth"`
		LateWorth  float64  `json:"late_worth"`
		Stream     bool     `json:"stream"`
	} `json:"classes"`
	Tenants []struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance_per_s"`
		Share     float64 `json:"share"`
	} `json:"tenants"`
	Zones     []string `json:"zones"`
	Kinds     []string `json:"kinds"`
	Discovery string   `json:"discovery"`
	Me        int      `json:"my_number"`
	Peers     int      `json:"peers_total"`
	Zone      int      `json:"zone"`
	OverShare *float64 `json:"over_share_worth"`
	Quantum   float64  `json:"quantum_ms"`
	Report    struct {
		Via    string   `json:"via"`
		Fields []string `json:"fields"`
	} `json:"report"`
	Limits struct {
		Cancel         bool    `json:"cancel"`
		ConnIdle       float64 `json:"conn_idle_ms"`
		ConnectTimeout float64 `json:"connect_timeout_ms"`
		MaxAttempts    *int    `json:"max_attempts"`
		MaxRetryAfter  float64 `json:"max_retry_after_ms"`
		MayTell        bool    `json:"may_tell"`
		Parallel       bool    `json:"parallel_tries"`
		Probes         bool    `json:"probes"`
		RetryAfter     bool    `json:"retry_after"`
	} `json:"limits"`
	Family struct {
		WarmKeys bool `json:"warm_keys"`
	} `json:"family_info"`
	Rules struct {
		AnswerSlack  float64  `json:"answer_slack_ms"`
		AskWithin    float64  `json:"ask_within_ms"`
		ColdFrom     *float64 `json:"cold_from"`
		ColdTime     float64  `json:"cold_ms"`
		DrainGrace   float64  `json:"drain_grace_ms"`
		FallTime     float64  `json:"fall_ms"`
		FallMultiple float64  `json:"fall_multiple"`
	} `json:"rules"`
	Goal struct { // in the order of balance.Goal, to which it converts; so do the penalties
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

var effects = map[string]balance.Effect{
	"read_like": balance.Safe, "idempotency_key": balance.Keyed, "non_idempotent": balance.Unsafe,
}

var groups = map[string]balance.Group{
	"": balance.GroupAll, "all": balance.GroupAll, "zone": balance.GroupZone, "cell": balance.GroupCell,
}

var reportWays = map[string]balance.ReportVia{
	"": balance.ReportNone, "silent": balance.ReportNone,
	"piggyback": balance.ReportPiggyback, "pull": balance.ReportProbe,
}

var reportFields = map[string]balance.ReportField{
	"rif": balance.FieldInFlight, "q": balance.FieldQueue, "busy": balance.FieldUtil,
	"lat_ms": balance.FieldLatency, "rate": balance.FieldRate, "fail_rate": balance.FieldErrorRate,
}

// FieldError is a setting that makes no sense.
type FieldError struct {
	Field   string // as classes[2].effect
	Problem string
	Remedy  string // what to write instead
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("settings: %s: %s; %s", e.Field, e.Problem, e.Remedy)
}

// oneOf looks a word up among those that a field may hold.
func oneOf[T any](field, what, word string, all map[string]T, listed string) (T, error) {
	v, ok := all[word]
	if !ok {
		return v, &FieldError{field, fmt.Sprintf("unknown %s %q", what, word), "write " + listed}
	}
	return v, nil
}

// Profile is the settings in full: what the module is told, and what only sockets need: the names that
// stand for positions there, and how long servers keep an idle connection (0: not told).
type Profile struct {
	Config                                 balance.Config
	Classes, Tenants, Zones, Kinds, Fields []string
	ConnIdle                               float64
}

// ParseProfile reads the settings for a sidecar on sockets.
func ParseProfile(seed uint64, profile []byte) (Profile, error) {
	var s settings
	if err := json.Unmarshal(profile, &s); err != nil {
		return Profile{}, fmt.Errorf("settings: %w", err)
	}
	cfg, err := s.config(seed)
	p := Profile{Config: cfg, Zones: s.Zones, Kinds: s.Kinds, Fields: s.Report.Fields, ConnIdle: s.Limits.ConnIdle}
	for i := range s.Classes {
		p.Classes = append(p.Classes, s.Classes[i].Name)
	}
	for i := range s.Tenants {
		p.Tenants = append(p.Tenants, s.Tenants[i].Name)
	}
	return p, err
}

// ParseSettings turns the profile of a Begin into a Config.
func ParseSettings(seed uint64, profile []byte) (balance.Config, error) {
	p, err := ParseProfile(seed, profile)
	return p.Config, err
}

func (s *settings) config(seed uint64) (balance.Config, error) {
	cfg := balance.Config{
		Seed: seed, SidecarNumber: s.Me, SidecarCount: max(s.Peers, 1), Zone: s.Zone,
		OverShareValue: or(s.OverShare, 1), BatchInterval: s.Quantum,
		Parallel: s.Limits.Parallel, Cancel: s.Limits.Cancel, Probes: s.Limits.Probes,
		Messages: s.Limits.MayTell, RetryAfter: s.Limits.RetryAfter,
		MaxRetryAfter: s.Limits.MaxRetryAfter, ConnectTimeout: s.Limits.ConnectTimeout,
		MaxAttempts: or(s.Limits.MaxAttempts, 1),
		DrainGrace:  s.Rules.DrainGrace, SlowStartFraction: or(s.Rules.ColdFrom, 1), SlowStartTime: s.Rules.ColdTime,
		OverloadMultiple: s.Rules.FallMultiple, OverloadTime: s.Rules.FallTime,
		MaxPollInterval: s.Rules.AskWithin, AnswerSlack: s.Rules.AnswerSlack,
		KeyAffinity: s.Family.WarmKeys,
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
	if cfg.Reports, err = oneOf("report.via", "way", s.Report.Via, reportWays, "silent, piggyback or pull"); err != nil {
		return cfg, err
	}
	for _, name := range s.Report.Fields {
		cfg.Fields = append(cfg.Fields, reportFields[name])
	}
	for _, t := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{Allowance: t.Allowance, Share: t.Share})
	}
	return cfg, s.addClasses(&cfg)
}

func (s *settings) addClasses(cfg *balance.Config) error {
	if len(s.Classes) == 0 {
		return &FieldError{"classes", "missing", "list one class at least"}
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		effect, err := oneOf(at+"effect", "effect", c.Effect, effects, "read_like, idempotency_key or non_idempotent")
		if err != nil {
			return err
		}
		group, err := oneOf(at+"group", "group", c.Group, groups, "all, zone or cell")
		if err != nil {
			return err
		}
		if !(c.Deadline > 0) {
			return &FieldError{at + "hard_limit_ms", fmt.Sprintf("%v ms", c.Deadline), "write how long clients wait, above 0"}
		}
		if c.Aim < 0 {
			return &FieldError{at + "on_time_ms", fmt.Sprintf("%v ms", c.Aim), "write the time wanted for an answer, or leave it out"}
		}
		aim := c.Aim
		if aim == 0 {
			aim = c.Deadline
		}
		cfg.Classes = append(cfg.Classes, balance.Class{
			Effect: effect, Group: group, Window: or(c.Window, math.Inf(1)), LatencyTarget: aim, LatencyTargetStretch: c.AimStretch,
			Deadline: c.Deadline, Value: or(c.Worth, 1), LateValue: c.LateWorth, Stream: c.Stream,
		})
	}
	return nil
}

func or[T any](v *T, otherwise T) T {
	if v == nil {
		return otherwise
	}
	return *v
}
