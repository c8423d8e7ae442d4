package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"petrelhook/internal/common/yamlfile"
)

// Assumption is a field of the file: a target, or what is assumed without a measurement.
type Assumption struct {
	Name   string  `json:"name"` // with its section, as shape.fan_out
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"` // "s", "bytes", ...; "": a plain number
	Reason string  `json:"why"`  // the comment beside it
}

// Assumptions has all fields of a file.
type Assumptions struct {
	File string
	all  map[string]Assumption
}

// fieldSpec is a field that the file must have, with the bounds of its value.
type fieldSpec struct {
	name     string
	unit     string
	min, max float64
}

// fieldSpecs has all fields, in the order of the page.
var fieldSpecs = []fieldSpec{
	{"target.servers", "", 1, 1e6},
	{"target.services", "", 1, 1e5},
	{"target.calls", "1/s", 1, 1e10},
	{"target.depth", "", 1, 100},
	{"target.added", "s", 1e-6, 10},
	{"target.regions", "", 1, 1000},
	{"target.zones", "", 1, 10000},
	{"target.changes_a_day", "", 1, 1e8},
	{"target.in_force", "s", 0.1, secondsPerDay},
	{"target.control_core", "cores", 1e-5, 64},
	{"target.control_memory", "bytes", 1 << 20, 1 << 40},
	{"target.control_bytes", "bytes/s", 1, 1e10},
	{"target.control_machines", "", 1, 1000},
	{"target.failed_a_day", "", 0, 1e6},
	{"target.restarted_a_day", "", 0, 1e6},
	{"target.cut_off", "s", 1, 30 * secondsPerDay},

	{"shape.largest", "", 1, 1e6},
	{"shape.fan_out", "", 0.1, 1e4},
	{"shape.busiest_sidecar", "", 1, 1000},
	{"shape.attempts_at_leaf", "", 1, 1000},
	{"shape.decision_share", "", 1e-4, 1},

	{"places.sidecars_a_machine", "", 0.1, 1000},
	{"places.sessions_a_machine", "", 0.01, 1000},
	{"places.rack", "", 1, 1e4},
	{"places.zone_share", "", 1e-4, 0.99},
	{"places.region_share", "", 1e-4, 0.99},

	{"lists.entry_bytes", "bytes", 1, 1e5},
	{"lists.line_bytes", "bytes", 1, 1e5},
	{"lists.empty_line_every", "s", 0.01, 600},
	{"lists.changes_a_restart", "", 1, 100},
	{"lists.changes_a_failure", "", 1, 100},

	{"changes.busiest_minute", "", 1, 1440},
	{"changes.bytes", "bytes", 1, 1e8},
	{"changes.head_bytes", "bytes", 1, 1e5},
	{"changes.most_changed_share", "", 1e-5, 1},
	{"changes.events_a_sidecar", "", 0.01, 100},

	{"machines.cores", "cores", 0.1, 1024},
	{"machines.memory", "bytes", 1 << 20, 1 << 44},
	{"machines.network", "bytes/s", 1e3, 1e12},
	{"machines.descriptors", "", 16, 1e9},
	{"machines.used_share", "", 0.01, 1},
	{"machines.replicas", "", 1, 9},

	{"periods.lease_ttl", "s", 0.1, secondsPerDay},
	{"periods.renewals_a_ttl", "", 1, 100},
	{"periods.ask_pause", "s", 0.001, 60},
	{"periods.look_every", "s", 0.05, 60},
	{"periods.look_rest", "", 1, 100},
	{"periods.watch_hold", "s", 0.01, 3600},
	{"periods.back_within", "s", 0.01, secondsPerDay},
	{"periods.heard_within", "s", 0.1, secondsPerDay},
	{"periods.settled_within", "s", 1, secondsPerDay},

	{"limits.max_ask", "bytes", 1, 1e12},
	{"limits.max_message", "bytes", 1, 1e12},
	{"limits.max_content", "bytes", 1, 1e12},
	{"limits.max_total", "bytes", 1, 1e12},
	{"limits.max_services", "", 1, 1e9},
	{"limits.max_reports", "", 1, 1e9},
	{"limits.max_waiting", "", 1, 1e9},
	{"limits.max_list", "bytes", 1, 1e12},
	{"limits.changes_an_application", "", 1, 1000},
	{"limits.repeat_share", "", 0, 10},

	{"earlier.renewals_a_second", "1/s", 1, 1e9},
	{"earlier.renewals_a_second_12000", "1/s", 1, 1e9},
	{"earlier.grants_a_second", "1/s", 1, 1e9},
	{"earlier.read", "s", 1e-7, 60},
	{"earlier.start_bytes_12000", "bytes", 1, 1e12},
	{"earlier.staged_20", "s", 0.01, secondsPerDay},
	{"earlier.staged_200", "s", 0.01, secondsPerDay},
	{"earlier.staged_2000", "s", 0.01, secondsPerDay},
	{"earlier.staged_look", "s", 0.01, 60},
	{"earlier.looks_2000", "s", 0.001, 3600},
	{"earlier.lease_snapshot_bytes", "bytes", 1, 1e6},
}

// Parse reads the text of a file of assumptions. Every error names file, line, column and field, and says what to write. Each field has to
// be there, with a comment at its line that gives the reason of its value.
func Parse(file string, text []byte) (*Assumptions, error) {
	top, err := yamlfile.Mapping(file, text, "sections such as target: {servers: 12000}")
	if err != nil {
		return nil, err
	}
	p := &parser{result: &Assumptions{File: file, all: map[string]Assumption{}}, sections: map[string]*yaml.Node{}, values: map[string]*yaml.Node{}}
	if err := p.readSections(top); err != nil {
		return nil, err
	}
	for _, name := range sectionNames() {
		if err := p.readSection(top, name); err != nil {
			return nil, err
		}
	}
	if err := p.result.checkConsistency(file, p.values); err != nil {
		return nil, err
	}
	return p.result, nil
}

// parser reads one file of assumptions.
type parser struct {
	result   *Assumptions
	sections map[string]*yaml.Node // by name
	values   map[string]*yaml.Node // by the full name of the field
}

// sectionNames returns the names of the sections, in the order of the page.
func sectionNames() (names []string) {
	for _, f := range fieldSpecs {
		if section, _, _ := strings.Cut(f.name, "."); !slices.Contains(names, section) {
			names = append(names, section)
		}
	}
	return names
}

// readSections finds the sections of a file. Their fields are read by readSection.
func (p *parser) readSections(top *yaml.Node) error {
	readers := map[string]func(*yaml.Node) error{}
	for _, name := range sectionNames() {
		readers[name] = func(n *yaml.Node) error {
			if p.sections[name] = n; n.Kind != yaml.MappingNode {
				return fmt.Errorf("%q; write fields, each on a line of its own", n.Value)
			}
			return nil
		}
	}
	return yamlfile.Fields(p.result.File, "", top, readers)
}

// readSection reads all fields of a section.
func (p *parser) readSection(top *yaml.Node, section string) error {
	n := p.sections[section]
	if n == nil {
		return yamlfile.Problem(p.result.File, top, section, "missing; write this section")
	}
	readers := map[string]func(*yaml.Node) error{}
	for _, f := range fieldSpecs {
		if name, ok := strings.CutPrefix(f.name, section+"."); ok {
			readers[name] = func(n *yaml.Node) error { return p.readField(&f, n) }
		}
	}
	if err := yamlfile.Fields(p.result.File, section+".", n, readers); err != nil {
		return err
	}
	for _, f := range fieldSpecs {
		if name, ok := strings.CutPrefix(f.name, section+"."); ok && p.values[f.name] == nil {
			return yamlfile.Problem(p.result.File, n, f.name, "missing; write "+f.expected()+", as "+name+": ... # why")
		}
	}
	return nil
}

func (p *parser) readField(f *fieldSpec, n *yaml.Node) error {
	value, err := f.read(n)
	if err == nil && n.LineComment == "" {
		err = fmt.Errorf("%s without a reason; write a comment behind it, as # from the operators' letter", n.Value)
	}
	p.values[f.name] = n
	p.result.all[f.name] = Assumption{f.name, value, f.unit, strings.TrimSpace(strings.TrimLeft(n.LineComment, "#"))}
	return err
}

// checkConsistency checks the conditions between fields.
func (a *Assumptions) checkConsistency(file string, nodes map[string]*yaml.Node) error {
	problem := func(name, what string) error { return yamlfile.Problem(file, nodes[name], name, what) }
	servers, services, largest := a.Get("target.servers"), a.Get("target.services"), a.Get("shape.largest")
	switch {
	case services > servers:
		return problem("target.services", fmt.Sprintf("%v, more than the %v servers; write fewer", services, servers))
	case largest < math.Ceil(servers/services):
		return problem("shape.largest", fmt.Sprintf("%v, below the mean; write %v or more", largest,
			math.Ceil(servers/services)))
	case largest > servers-services+1:
		return problem("shape.largest", fmt.Sprintf("%v, which leaves some services no server; write %v or less",
			largest, servers-services+1))
	case a.Get("target.regions") > a.Get("target.zones"):
		return problem("target.regions", "more than zones; write as many or fewer")
	case a.Get("places.zone_share") > a.Get("places.region_share"):
		return problem("places.zone_share", "more than the region's; write as much or less")
	case a.Get("machines.replicas") >= a.Get("target.control_machines"):
		return problem("machines.replicas", "as many as there are machines set aside, and lists need some; write fewer")
	}
	return nil
}

// read reads a value in the field's unit.
func (f *fieldSpec) read(n *yaml.Node) (float64, error) {
	v, err := strconv.ParseFloat(n.Value, 64)
	if f.unit == "s" {
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
func (f *fieldSpec) expected() string {
	if f.unit == "s" {
		return fmt.Sprintf("a time from %v to %v, such as 30s", seconds(f.min), seconds(f.max))
	}
	unit := f.unit
	if unit != "" {
		unit = " of " + unit
	}
	return fmt.Sprintf("a number%s from %v to %v", unit, f.min, f.max)
}

func seconds(v float64) time.Duration { return time.Duration(math.Round(v * 1e9)) }

// Get returns the value of a field. It panics if there is no such field, which is an error of the model and found by any of its tests.
func (a *Assumptions) Get(name string) float64 {
	one, ok := a.all[name]
	if !ok {
		panic("capacity: no assumption " + name)
	}
	return one.Value
}

// All returns the fields, in the order of the page.
func (a *Assumptions) All() (all []Assumption) {
	for _, f := range fieldSpecs {
		all = append(all, a.all[f.name])
	}
	return all
}

// Scaled returns the assumptions with one field multiplied, but kept within its bounds and its conditions with other fields, and the factor
// by which it was multiplied in the end.
func (a *Assumptions) Scaled(name string, factor float64) (*Assumptions, float64) {
	minimum, maximum := a.bounds(name)
	scaled := &Assumptions{a.File, maps.Clone(a.all)}
	field := a.all[name]
	before := field.Value
	field.Value = min(max(before*factor, minimum), maximum)
	scaled.all[name] = field
	if before == 0 {
		return scaled, factor
	}
	return scaled, field.Value / before
}

// bounds returns the values that a field may have as the other fields are. It is the reverse of checkConsistency.
func (a *Assumptions) bounds(name string) (minimum, maximum float64) {
	f := fieldSpecs[slices.IndexFunc(fieldSpecs, func(f fieldSpec) bool { return f.name == name })]
	minimum, maximum = f.min, f.max
	servers, services, largest := a.Get("target.servers"), a.Get("target.services"), a.Get("shape.largest")
	switch name {
	case "target.servers":
		minimum, maximum = max(services, largest+services-1), min(maximum, largest*services)
	case "target.services":
		minimum, maximum = servers/largest, servers-largest+1
	case "shape.largest":
		minimum, maximum = math.Ceil(servers/services), servers-services+1
	case "target.regions":
		maximum = a.Get("target.zones")
	case "target.zones":
		minimum = a.Get("target.regions")
	case "places.zone_share":
		maximum = a.Get("places.region_share")
	case "places.region_share":
		minimum = a.Get("places.zone_share")
	case "machines.replicas":
		maximum = a.Get("target.control_machines") - 1
	case "target.control_machines":
		minimum = a.Get("machines.replicas") + 1
	}
	return minimum, maximum
}
