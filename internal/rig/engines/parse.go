package engines

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Parse parses an experiment's file. An error names file, line and field, and says what to write.
func Parse(file string, text []byte) (*Spec, error) {
	s := defaults()
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(s); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("%s:1: the file is empty; write fields such as servers and classes", file)
		}
		return nil, fmt.Errorf("%s: %s", file, firstProblem(err))
	}
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if failed := s.firstFailed(); failed != nil {
		return nil, fmt.Errorf("%s:%d: %s: %s", file, fieldLine(&document, failed.field), failed.field, failed.want)
	}
	return s, nil
}

// Check checks a spec that was changed after Parse. The error names the field.
func (s *Spec) Check() error {
	if failed := s.firstFailed(); failed != nil {
		return fmt.Errorf("%s: %s", failed.field, failed.want)
	}
	return nil
}

// firstFailed is the first condition that does not hold, or nil.
func (s *Spec) firstFailed() *check {
	for _, c := range s.checks() {
		if !c.ok {
			return &c
		}
	}
	return nil
}

// firstProblem is the first error of the decoder.
func firstProblem(err error) string {
	var types *yaml.TypeError
	if errors.As(err, &types) && len(types.Errors) > 0 {
		return types.Errors[0]
	}
	return strings.TrimPrefix(err.Error(), "yaml: ")
}

// defaults has the fields that a file need not name.
func defaults() *Spec {
	return &Spec{Distributors: 2, Seeds: 4, Policies: PolicyNames()}
}

// check is one condition on a field, and what to write if it does not hold.
type check struct {
	field string
	ok    bool
	want  string
}

// checks are the conditions on all fields.
func (s *Spec) checks() []check {
	all := []check{
		{"length", s.Duration > 0 && s.Duration <= maxLength, "write a time up to 10m, such as 34s"},
		{"warm", s.WarmUp >= 0 && s.WarmUp < s.Duration, "write a time below length"},
		{"zones", s.Zones >= 1, "write 1 or more"},
		{"routers", s.Routers >= s.Zones && s.Routers <= maxRouters, "write one for each zone at least, 2000 at most"},
		{"servers", s.Servers >= s.Zones && s.Servers <= maxServers, "write one for each zone at least, 10000 at most"},
		{"homes", s.Distributors >= 1, "write 1 or more"},
		{"seeds", s.Seeds >= 1 && s.Seeds <= 1000, "write a number from 1 to 1000"},
		{"swing", s.RateSwing >= 0 && s.RateSwing < 1 && (s.RateSwing == 0 || s.SwingPeriod > 0), "write a part of the rate below 1, with a period"},
		{"classes", len(s.Classes) > 0, "write a list"},
		{"network.link_mbps", s.Network.LinkMbps > 0, "write a rate above 0"},
		{"network.tell_uses", s.Network.UsesInterval > 0, "write a time, such as 100ms"},
		{"network.tell_loads", s.Network.LoadsInterval > 0, "write a time, such as 100ms"},
		{"engine.slots", s.Engine.Slots > 0, "write 1 or more"},
		{"engine.step", s.Engine.StepTime > 0, "write a time, such as 600us"},
		{"engine.read_per_ms", s.Engine.PrefillTokensPerMs > 0, "write tokens a millisecond"},
		{"engine.stride", s.Engine.TokensPerEvent > 0, "write 1 or more"},
		{"engine.chunk", s.Engine.ChunkTokens > 0, "write 1 or more"},
		{"engine.memory", s.Engine.CacheTokens > 0, "write tokens"},
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("classes.%d.", i)
		all = append(all,
			check{at + "name", c.Name != "", "write a name"},
			check{at + "rate", c.Rate > 0, "write requests a second, above 0"},
			check{at + "deadline", c.Deadline > 0, "write a time"},
			check{at + "events", c.Events.Mean >= 1, "write a mean of 1 or more"},
			check{at + "attempts", c.Attempts >= 1, "write 1 or more"})
	}
	for i, f := range s.Faults {
		at := fmt.Sprintf("faults.%d.", i)
		known := slices.Contains([]string{FaultSlow, FaultCrash, FaultBurst, FaultHot}, f.Kind)
		ofClass := f.Kind == FaultBurst || f.Kind == FaultHot
		all = append(all,
			check{at + "kind", known, "write slow, crash, burst or hot_key"},
			check{at + "class", !ofClass || s.classIndex(f.Class) >= 0, "write the name of a class"},
			check{at + "share", f.Kind == FaultBurst || f.Fraction > 0 && f.Fraction <= 1, "write a part, above 0 and up to 1"},
			check{at + "factor", f.Kind != FaultSlow && f.Kind != FaultBurst || f.Factor > 0, "write a factor above 0"})
	}
	for i, name := range s.Policies {
		all = append(all, check{fmt.Sprintf("policies.%d", i), slices.Contains(PolicyNames(), name), "known are " + strings.Join(PolicyNames(), ", ")})
	}
	return all
}

const (
	maxLength  = 10 * 60 * 1e9
	maxRouters = 2000
	maxServers = 10000
)

// classIndex is the index of the class of a name; -1: there is none.
func (s *Spec) classIndex(name string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
}

// fieldLine is the line of a field, or of the nearest one that contains it.
func fieldLine(n *yaml.Node, field string) int {
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	at := n.Line
	for name := range strings.SplitSeq(field, ".") {
		n = childNode(n, name)
		if n == nil {
			return at
		}
		at = n.Line
	}
	return at
}

// childNode is the node of a field or of an index; nil: there is none.
func childNode(n *yaml.Node, name string) *yaml.Node {
	switch n.Kind {
	case yaml.SequenceNode:
		if i, err := strconv.Atoi(name); err == nil && i < len(n.Content) {
			return n.Content[i]
		}
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == name {
				return n.Content[i+1]
			}
		}
	}
	return nil
}
