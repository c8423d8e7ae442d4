package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"petrelhook/internal/common/yamlfile"
)

// Assumption is a field of the file: a target of the operators, or a value that is assumed because nobody measured it.
type Assumption struct {
	Name   string  `json:"name"` // full name, with the section: shape.fan_out
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"` // "s", "bytes", ...; "": a plain number
	Reason string  `json:"why"`  // the comment beside it
}

// Assumptions holds all fields of a file. It is not modified after Parse.
type Assumptions struct {
	File     string
	Warnings []string // deprecated names in the file, each with its position and the current name; petrelhookctl prints them
	all      map[string]Assumption
}

// Parse reads the text of a file of assumptions. Every field is required, with a comment on its line that gives the reason for
// its value. An error names the file, line, column and field, and says what to write.
func Parse(file string, text []byte) (*Assumptions, error) {
	top, err := yamlfile.Mapping(file, text, "sections such as target: {servers: 12000}")
	if err != nil {
		return nil, err
	}
	p := &parser{result: &Assumptions{File: file, all: map[string]Assumption{}}, sections: map[string]*yaml.Node{}, values: map[string]*yaml.Node{}}
	if err := p.readSections(top); err != nil {
		return nil, err
	}
	for _, section := range sectionSpecs {
		if err := p.readSection(top, section); err != nil {
			return nil, err
		}
	}
	if p.result.Warnings, err = p.deprecated.Warnings(file); err != nil {
		return nil, err
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

	deprecated yamlfile.DeprecatedNames
}

// readSections finds the sections of a file, and rejects unknown ones. readSection reads their fields.
func (p *parser) readSections(top *yaml.Node) error {
	readers := map[string]yamlfile.Reader{}
	for _, section := range sectionSpecs {
		readers[section.name] = func(n *yaml.Node) error {
			if p.sections[section.name] = n; n.Kind != yaml.MappingNode {
				return fmt.Errorf("%q; write fields, each on a line of its own", n.Value)
			}
			return nil
		}
	}
	return p.deprecated.Fields(p.result.File, "", top, readers, renamedSections)
}

// readSection reads all fields of a section. A section or field that is missing is an error.
func (p *parser) readSection(top *yaml.Node, section sectionSpec) error {
	n := p.sections[section.name]
	if n == nil {
		return yamlfile.NewError(p.result.File, top, section.name, "missing; write this section")
	}
	prefix := section.name + "."
	readers := map[string]yamlfile.Reader{}
	for _, f := range section.fields {
		readers[f.name] = func(n *yaml.Node) error { return p.readField(prefix+f.name, f, n) }
	}
	if err := p.deprecated.Fields(p.result.File, prefix, n, readers, renamedFields[section.name]); err != nil {
		return err
	}
	for _, f := range section.fields {
		if p.values[prefix+f.name] == nil {
			return yamlfile.NewError(p.result.File, n, prefix+f.name, "missing; write "+f.expected()+", as "+f.name+": ... # why")
		}
	}
	return nil
}

// readField reads the value of a field and its reason. name is the full name.
func (p *parser) readField(name string, f fieldSpec, n *yaml.Node) error {
	value, err := f.read(n)
	if err == nil && n.LineComment == "" {
		err = fmt.Errorf("%s without a reason; write a comment behind it, as # measured by a scale run", n.Value)
	}
	p.values[name] = n
	p.result.all[name] = Assumption{name, value, f.unit, strings.TrimSpace(strings.TrimLeft(n.LineComment, "#"))}
	return err
}

// checkConsistency checks the conditions between fields. nodes gives their positions, by full name.
func (a *Assumptions) checkConsistency(file string, nodes map[string]*yaml.Node) error {
	problem := func(name, what string) error { return yamlfile.NewError(file, nodes[name], name, what) }
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
	case a.Get("topology.zone_share") > a.Get("topology.region_share"):
		return problem("topology.zone_share", "more than the region's; write as much or less")
	case a.Get("machines.replicas") >= a.Get("target.control_machines"):
		return problem("machines.replicas", "as many as there are machines set aside, and lists need some; write fewer")
	}
	return nil
}

// Get returns the value of a field by its full name. It panics if there is no such field: that is a programming error in the
// model, which any test of the model finds.
func (a *Assumptions) Get(name string) float64 {
	assumption, ok := a.all[name]
	if !ok {
		panic("capacity: no assumption " + name)
	}
	return assumption.Value
}

// All returns all fields, in the order of the page.
func (a *Assumptions) All() (all []Assumption) {
	for _, f := range fieldSpecs {
		all = append(all, a.all[f.name])
	}
	return all
}

// Scaled returns a copy of the assumptions in which one field is multiplied by a factor, and the factor that was applied: the
// product is clamped to the field's bounds and to the conditions between fields.
func (a *Assumptions) Scaled(name string, factor float64) (*Assumptions, float64) {
	minimum, maximum := a.bounds(name)
	scaled := &Assumptions{File: a.File, all: maps.Clone(a.all)}
	field := a.all[name]
	before := field.Value
	field.Value = min(max(before*factor, minimum), maximum)
	scaled.all[name] = field
	if before == 0 {
		return scaled, factor
	}
	return scaled, field.Value / before
}

// bounds returns the range that a field may have, given the values of the other fields. Its conditions are those of
// checkConsistency, and have to change together with them.
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
	case "topology.zone_share":
		maximum = a.Get("topology.region_share")
	case "topology.region_share":
		minimum = a.Get("topology.zone_share")
	case "machines.replicas":
		maximum = a.Get("target.control_machines") - 1
	case "target.control_machines":
		minimum = a.Get("machines.replicas") + 1
	}
	return minimum, maximum
}
