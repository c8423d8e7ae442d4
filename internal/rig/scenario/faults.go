package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"petrelhook/internal/rig/statement"
)

// serverFaults and discoveryFaults are the kinds by their targets.
var (
	serverFaults    = []Kind{Slow, Stall, ErrorAnswer, MalformedAnswer, ResetRequest, ResetResponse, Isolated, RejectAll, Drain, Terminate, Restart, Replace, RollingReplace}
	discoveryFaults = []Kind{DiscoveryDown, DiscoveryStall, DiscoveryDelay}
)

// fault reads "at TIME TARGETS KIND [AMOUNT] [for TIME] [options]".
func (p *parser) fault(l *statement.Line) error {
	f := Fault{Line: l.LineNumber}
	f.At = l.ParseDuration("at", l.NextWord("a time"))
	target := l.NextWord("a target, such as s1, s2..s4, cell:0, all, discovery or crowd")
	switch {
	case l.Err != nil:
		return l.Err
	case target == "crowd":
		return p.crowd(l, f.At)
	}
	kind := l.NextWord("what happens")
	var targets []string
	if target == DiscoveryTarget {
		targets = []string{target}
		f.Kind = statement.OneOf(l, "fault", kind, discoveryFaults...)
	} else {
		targets = p.matchTargets(l, target)
		f.Kind = statement.OneOf(l, "fault", kind, serverFaults...)
	}
	options := p.faultOptions(l, &f, kind)
	if l.AcceptWord("for") {
		f.Duration = l.ParseDuration("for", l.NextWord("a duration"))
		if !options.lasts {
			l.Fail("for", "%s does not end", kind)
		}
	} else if options.lasts {
		l.Fail(kind, "for how long is missing, such as for 2s")
	}
	if err := l.Finish(options.known...); err != nil {
		return err
	}
	for i, name := range targets {
		f.Target = name
		if f.Kind == RollingReplace {
			f := f
			f.Kind, f.At = Replace, f.At+time.Duration(i/options.batch)*options.every
			p.scenario.Faults = append(p.scenario.Faults, f)
			continue
		}
		p.scenario.Faults = append(p.scenario.Faults, f)
	}
	return nil
}

// faultOptions is what a kind of fault takes besides its target and time.
type faultOptions struct {
	known []string // names of the options
	lasts bool     // the fault needs a duration
	batch int      // of RollingReplace: servers at a time
	every time.Duration
}

// faultOptions reads the amount and the options of a fault, as its kind has them.
func (p *parser) faultOptions(l *statement.Line, f *Fault, kind string) faultOptions {
	o := faultOptions{lasts: true, batch: 1, every: time.Second}
	switch f.Kind {
	case Slow:
		factor, ok := strings.CutPrefix(l.NextWord("a factor, such as x4"), "x")
		if !ok {
			l.Fail("slow", "needs a factor, such as x4")
		}
		f.Factor = l.ParseNumber("slow", factor, 1, 1e4)
	case ErrorAnswer, MalformedAnswer, ResetRequest, ResetResponse:
		f.Fraction = 1
		if len(l.Remaining) > 0 && l.Remaining[0] != "for" {
			f.Fraction = l.ParseNumber(kind, l.NextWord(""), 0, 1)
		}
	case DiscoveryDelay:
		o.known = append(o.known, "by")
		if l.Duration("by", &f.Delay); f.Delay == 0 {
			l.Fail("by", "missing: how late, such as by=3s")
		}
	case Drain:
		o.lasts = false
	case Terminate, Restart, Replace, RollingReplace:
		o.lasts = false
		o.known = append(o.known, p.endingOptions(l, f)...)
	}
	if f.Kind == RollingReplace {
		l.Integer("batch", &o.batch, 1, 1000)
		l.Duration("every", &o.every)
		o.known = append(o.known, "batch", "every")
	}
	return o
}

// checkOverlaps rejects faults of one kind at one target that overlap in time, and faults that end a process that has ended for good.
// Faults are in order of time.
func (p *parser) checkOverlaps() error {
	type what struct {
		target string
		kind   Kind
	}
	last := map[what]Fault{}
	for _, f := range p.scenario.Faults {
		k := what{f.Target, f.Kind}
		if f.endsProcess() {
			k.kind = Terminate
		}
		before, ok := last[k]
		if ok && (before.Kind == Terminate || before.End() >= f.At) {
			until := "for good"
			if before.Kind != Terminate {
				until = "until " + before.End().String()
			}
			return &statement.Error{File: p.file, Line: f.Line, Field: string(f.Kind), Message: fmt.Sprintf(
				"at %v %s is under %s from line %d on, %s; two of a kind may not overlap", f.At, f.Target, before.Kind, before.Line, until)}
		}
		last[k] = f
	}
	return nil
}

// endsProcess reports whether a fault ends a process.
func (f Fault) endsProcess() bool {
	return f.Kind == Terminate || f.Kind == Restart || f.Kind == Replace
}

// endingOptions reads how a process ends and restarts, and returns the names of the options.
func (p *parser) endingOptions(l *statement.Line, f *Fault) (known []string) {
	if f.Kind != Restart {
		l.Duration("drain", &f.DrainTime)
		known = append(known, "drain")
	}
	if f.Kind == Terminate {
		return known
	}
	f.Downtime = 200 * time.Millisecond
	f.SlowStart = SlowStart{Fraction: p.scenario.Rules.SlowStartFraction, Duration: p.scenario.Rules.SlowStartTime}
	l.Duration("down", &f.Downtime)
	l.Number("cold", &f.SlowStart.Fraction, 0.01, 1)
	l.Duration("warm", &f.SlowStart.Duration)
	if f.SlowStart.Fraction < p.scenario.Rules.SlowStartFraction || f.SlowStart.Duration > p.scenario.Rules.SlowStartTime {
		l.Fail("cold", "a server that is colder than the rules say (cold-from %v, cold-time %v) is no fair test",
			p.scenario.Rules.SlowStartFraction, p.scenario.Rules.SlowStartTime)
	}
	return append(known, "down", "cold", "warm")
}

// matchTargets returns the servers named by s1, s2..s4, cell:0, zone:a, all, or a list of these with commas.
func (p *parser) matchTargets(l *statement.Line, text string) (names []string) {
	add := func(match func(Server) bool) {
		for _, s := range p.scenario.Servers {
			if match(s) && !slices.Contains(names, s.Name) {
				names = append(names, s.Name)
			}
		}
	}
	for _, part := range strings.Split(text, ",") {
		before := len(names)
		from, to, isRange := strings.Cut(part, "..")
		switch what, which, _ := strings.Cut(part, ":"); {
		case part == "all":
			add(func(Server) bool { return true })
		case what == "cell":
			add(func(s Server) bool { return strconv.Itoa(s.Cell) == which })
		case what == "zone":
			add(func(s Server) bool { return s.Zone == which })
		case isRange:
			a, b := p.serverIndex(from), p.serverIndex(to)
			for i := a; a >= 0 && i <= b; i++ {
				names = append(names, p.scenario.Servers[i].Name)
			}
		default:
			add(func(s Server) bool { return s.Name == part })
		}
		if len(names) == before {
			l.Fail(part, "no such server; there are s1 to s%d", len(p.scenario.Servers))
		}
	}
	return names
}

// serverIndex is the index of a server, -1 if there is none of that name.
func (p *parser) serverIndex(name string) int {
	return slices.IndexFunc(p.scenario.Servers, func(s Server) bool { return s.Name == name })
}
