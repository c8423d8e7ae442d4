package capacity

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"
)

// The units of fields, as the page writes them.
const (
	unitNone           = ""
	unitSeconds        = "s"
	unitBytes          = "bytes"
	unitBytesPerSecond = "bytes/s"
	unitPerSecond      = "1/s"
	unitCores          = "cores"
)

// fieldSpec is a field that the file must have, with the bounds of its value.
type fieldSpec struct {
	name     string // in fieldSpecs the full name, with the section: shape.fan_out
	unit     string
	min, max float64
}

// sectionSpec is a section that the file must have. The names of its fields are without the section.
type sectionSpec struct {
	name   string
	fields []fieldSpec
}

// sectionSpecs has all sections and fields, in the order of the page.
var sectionSpecs = []sectionSpec{
	{"target", []fieldSpec{
		{"servers", unitNone, 1, 1e6},
		{"services", unitNone, 1, 1e5},
		{"calls", unitPerSecond, 1, 1e10},
		{"depth", unitNone, 1, 100},
		{"added_latency", unitSeconds, 1e-6, 10},
		{"regions", unitNone, 1, 1000},
		{"zones", unitNone, 1, 10000},
		{"changes_a_day", unitNone, 1, 1e8},
		{"in_force", unitSeconds, 0.1, secondsPerDay},
		{"control_core", unitCores, 1e-5, 64},
		{"control_memory", unitBytes, 1 << 20, 1 << 40},
		{"control_bytes", unitBytesPerSecond, 1, 1e10},
		{"control_machines", unitNone, 1, 1000},
		{"failed_a_day", unitNone, 0, 1e6},
		{"restarted_a_day", unitNone, 0, 1e6},
		{"region_isolation", unitSeconds, 1, 30 * secondsPerDay},
	}},
	{"shape", []fieldSpec{
		{"largest", unitNone, 1, 1e6},
		{"fan_out", unitNone, 0.1, 1e4},
		{"busiest_sidecar", unitNone, 1, 1000},
		{"attempts_at_leaf", unitNone, 1, 1000},
		{"decision_share", unitNone, 1e-4, 1},
	}},
	{"topology", []fieldSpec{
		{"sidecars_a_machine", unitNone, 0.1, 1000},
		{"sessions_a_machine", unitNone, 0.01, 1000},
		{"rack", unitNone, 1, 1e4},
		{"zone_share", unitNone, 1e-4, 0.99},
		{"region_share", unitNone, 1e-4, 0.99},
	}},
	{"lists", []fieldSpec{
		{"entry_bytes", unitBytes, 1, 1e5},
		{"line_bytes", unitBytes, 1, 1e5},
		{"empty_line_every", unitSeconds, 0.01, 600},
		{"changes_a_restart", unitNone, 1, 100},
		{"changes_a_failure", unitNone, 1, 100},
	}},
	{"changes", []fieldSpec{
		{"busiest_minute", unitNone, 1, 1440},
		{"bytes", unitBytes, 1, 1e8},
		{"overhead_bytes", unitBytes, 1, 1e5},
		{"most_changed_share", unitNone, 1e-5, 1},
		{"events_a_sidecar", unitNone, 0.01, 100},
	}},
	{"machines", []fieldSpec{
		{"cores", unitCores, 0.1, 1024},
		{"memory", unitBytes, 1 << 20, 1 << 44},
		{"network", unitBytesPerSecond, 1e3, 1e12},
		{"descriptors", unitNone, 16, 1e9},
		{"used_share", unitNone, 0.01, 1},
		{"replicas", unitNone, 1, 9},
	}},
	{"periods", []fieldSpec{
		{"lease_ttl", unitSeconds, 0.1, secondsPerDay},
		{"renewals_a_ttl", unitNone, 1, 100},
		{"retry_interval", unitSeconds, 0.001, 60},
		{"poll_interval", unitSeconds, 0.05, 60},
		{"idle_poll_divisor", unitNone, 1, 100},
		{"watch_timeout", unitSeconds, 0.01, 3600},
		{"reconnect_window", unitSeconds, 0.01, secondsPerDay},
		{"list_update_deadline", unitSeconds, 0.1, secondsPerDay},
		{"release_deadline", unitSeconds, 1, secondsPerDay},
	}},
	{"limits", []fieldSpec{
		{"max_request", unitBytes, 1, 1e12},
		{"max_message", unitBytes, 1, 1e12},
		{"max_content", unitBytes, 1, 1e12},
		{"max_total", unitBytes, 1, 1e12},
		{"max_services", unitNone, 1, 1e9},
		{"max_reports", unitNone, 1, 1e9},
		{"max_waiting", unitNone, 1, 1e9},
		{"max_list", unitBytes, 1, 1e12},
		{"changes_an_application", unitNone, 1, 1000},
		{"retry_ratio", unitNone, 0, 10},
	}},
	{"earlier", []fieldSpec{
		{"renewals_a_second", unitPerSecond, 1, 1e9},
		{"renewals_a_second_12000", unitPerSecond, 1, 1e9},
		{"grants_a_second", unitPerSecond, 1, 1e9},
		{"read", unitSeconds, 1e-7, 60},
		{"start_bytes_12000", unitBytes, 1, 1e12},
		{"staged_20", unitSeconds, 0.01, secondsPerDay},
		{"staged_200", unitSeconds, 0.01, secondsPerDay},
		{"staged_2000", unitSeconds, 0.01, secondsPerDay},
		{"staged_poll_interval", unitSeconds, 0.01, 60},
		{"poll_2000", unitSeconds, 0.001, 3600},
		{"lease_snapshot_bytes", unitBytes, 1, 1e6},
	}},
}

// fieldSpecs has all fields with their full names, in the order of the page.
var fieldSpecs = allFields(sectionSpecs)

// allFields returns the fields of all sections, with their full names.
func allFields(sections []sectionSpec) (all []fieldSpec) {
	for _, s := range sections {
		for _, f := range s.fields {
			f.name = s.name + "." + f.name
			all = append(all, f)
		}
	}
	return all
}

// renamedSections maps the names that earlier versions had for sections to the current ones. The old names are still read; see
// yamlfile.DeprecatedNames.
var renamedSections = map[string]string{"places": "topology"}

// renamedFields maps the earlier names of fields to the current ones, by section.
var renamedFields = map[string]map[string]string{
	"target": {
		"added":   "added_latency",
		"cut_off": "region_isolation",
	},
	"changes": {
		"head_bytes": "overhead_bytes",
	},
	"periods": {
		"ask_pause":      "retry_interval",
		"look_every":     "poll_interval",
		"look_rest":      "idle_poll_divisor",
		"watch_hold":     "watch_timeout",
		"back_within":    "reconnect_window",
		"heard_within":   "list_update_deadline",
		"settled_within": "release_deadline",
	},
	"limits": {
		"max_ask":      "max_request",
		"repeat_share": "retry_ratio",
	},
	"earlier": {
		"staged_look": "staged_poll_interval",
		"looks_2000":  "poll_2000",
	},
}

// read returns the value of a field in the field's unit. Times are written as durations.
func (f fieldSpec) read(n *yaml.Node) (float64, error) {
	v, err := strconv.ParseFloat(n.Value, 64)
	if f.unit == unitSeconds {
		var d time.Duration
		d, err = time.ParseDuration(n.Value)
		v = d.Seconds()
	}
	if n.Kind != yaml.ScalarNode || err != nil || !(v >= f.min && v <= f.max) {
		return 0, fmt.Errorf("%q; write %s", n.Value, f.expected())
	}
	return v, nil
}

// expected describes the values that a field may have.
func (f fieldSpec) expected() string {
	if f.unit == unitSeconds {
		return fmt.Sprintf("a time from %v to %v, such as 30s", duration(f.min), duration(f.max))
	}
	unit := f.unit
	if unit != "" {
		unit = " of " + unit
	}
	return fmt.Sprintf("a number%s from %v to %v", unit, f.min, f.max)
}

// duration converts seconds to a time.Duration.
func duration(v float64) time.Duration { return time.Duration(math.Round(v * 1e9)) }
