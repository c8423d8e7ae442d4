package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"petrelhook/internal/rig/statement"
)

// serverFaults and discoveryFaults are the kinds by what they befall.
var (
	serverFaults    = []Kind{Slow, Stall, Fail, Garble, ResetIn, ResetOut, Silent, Full, Drain, Gone, Restart, Replace, Roll}
	discoveryFaults = []Kind{DiscoveryDown, DiscoverySilent, DiscoveryLate}
)

// fault reads "at TIME TARGETS KIND [AMOUNT] [for TIME] [options]".
func (p *parser) fault(l *statement.Line) error {
	f := Fault{Line: l.No}
	f.At = l.ParseDuration("at", l.Word("a time"))
	target := l.Word("a target, such as s1, s2..s4, cell:0, all, discovery or crowd")
	switch {
	case l.Err != nil:
		return l.Err
	case target == "crowd":
		return p.crowd(l, f.At)
	}
	kind := l.Word("what happens")
	var targets []string
	if target == DiscoveryTarget {
		targets = []string{target}
		f.Kind = statement.OneOf(l, "fault", kind, discoveryFaults...)
	} else {
		targets = p.targets(l, target)
		f.Kind = statement.OneOf(l, "fault", kind, serverFaults...)
	}
	options := p.faultOptions(l, &f, kind)
	if l.Literal("for") {
		f.For = l.ParseDuration("for", l.Word("a duration"))
		if !options.lasts {
			l.Fail("for", "%s does not end", kind)
		}
	} else if options.lasts {
		l.Fail(kind, "for how long is missing, such as for 2s")
	}
	if err := l.End(options.known...); err != nil {
		return err
	}
	for i, name := range targets {
		f.Target = name
		if f.Kind == Roll {
			f := f
			f.Kind, f.At = Replace, f.At+time.Duration(i/options.batch)*options.every
			p.s.Faults = append(p.s.Faults, f)
			continue
		}
		p.s.Faults = append(p.s.Faults, f)
	}
	return nil
}

// faultOptions is what a kind of fault takes besides its target and time.
type faultOptions struct {
	known []string // names of its options
	lasts bool     // it needs a duration
	batch int      // of Roll: servers at a time
	every time.Duration
}

// faultOptions reads the amount and the options of a fault, as its kind has them.
func (p *parser) faultOptions(l *statement.Line, f *Fault, kind string) faultOptions {
	o := faultOptions{lasts: true, batch: 1, every: time.Second}
	switch f.Kind {
	case Slow:
		factor, ok := strings.CutPrefix(l.Word("a factor, such as x4"), "x")
		if !ok {
			l.Fail("slow", "needs a factor, such as x4")
		}
		f.Factor = l.ParseNumber("slow", factor, 1, 1e4)
	case Fail, Garble, ResetIn, ResetOut:
		f.Part = 1
		if len(l.Words) > 0 && l.Words[0] != "for" {
			f.Part = l.ParseNumber(kind, l.Word(""), 0, 1)
		}
	case DiscoveryLate:
		o.known = append(o.known, "by")
		if l.Duration("by", &f.By); f.By == 0 {
			l.Fail("by", "missing: how late, such as by=3s")
		}
	case Drain:
		o.lasts = false
	case Gone, Restart, Replace, Roll:
		o.lasts = false
		o.known = append(o.known, p.ending(l, f)...)
	}
	if f.Kind == Roll {
		l.Integer("batch", &o.batch, 1, 1000)
		l.Duration("every", &o.every)
		o.known = append(o.known, "batch", "every")
	}
	return o
}

// overlaps refuses two faults of one kind that befall a target at once, and whatever ends a process that has ended.
func (p *parser) overlaps() error {
	type what struct {
		target string
		kind   Kind
	}
	last := map[what]Fault{}
	for _, f := range p.s.Faults {
		k := what{f.Target, f.Kind}
		if f.ends() {
			k.kind = Gone
		}
		before, ok := last[k]
		if ok && (before.Kind == Gone || before.End() >= f.At) {
			until := "for good"
			if before.Kind != Gone {
				until = "until " + before.End().String()
			}
			return &statement.Error{File: p.file, Line: f.Line, Field: string(f.Kind), Msg: fmt.Sprintf(
				"at %v %s is under %s from line %d on, %s; two of a kind may not overlap", f.At, f.Target, before.Kind, before.Line, until)}
		}
		last[k] = f
	}
	return nil
}

// ends reports whether a fault ends a process.
func (f Fault) ends() bool { return f.Kind == Gone || f.Kind == Restart || f.Kind == Replace }

// ending reads how a process ends and comes back.
func (p *parser) ending(l *statement.Line, f *Fault) (known []string) {
	if f.Kind != Restart {
		l.Duration("drain", &f.Drain)
		known = append(known, "drain")
	}
	if f.Kind == Gone {
		return known
	}
	f.Down = 200 * time.Millisecond
	f.Cold = Cold{From: p.s.Rules.ColdFrom, Warm: p.s.Rules.ColdTime}
	l.Duration("down", &f.Down)
	l.Number("cold", &f.Cold.From, 0.01, 1)
	l.Duration("warm", &f.Cold.Warm)
	if f.Cold.From < p.s.Rules.ColdFrom || f.Cold.Warm > p.s.Rules.ColdTime {
		l.Fail("cold", "a server that is colder than the rules say (cold-from %v, cold-time %v) is no fair test",
			p.s.Rules.ColdFrom, p.s.Rules.ColdTime)
	}
	return append(known, "down", "cold", "warm")
}

// targets reads s1, s2..s4, cell:0, zone:a, all, and lists of these with commas.
func (p *parser) targets(l *statement.Line, text string) (names []string) {
	add := func(match func(Server) bool) {
		for _, s := range p.s.Servers {
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
			a, b := p.index(from), p.index(to)
			for i := a; a >= 0 && i <= b; i++ {
				names = append(names, p.s.Servers[i].Name)
			}
		default:
			add(func(s Server) bool { return s.Name == part })
		}
		if len(names) == before {
			l.Fail(part, "no such server; there are s1 to s%d", len(p.s.Servers))
		}
	}
	return names
}

func (p *parser) index(name string) int {
	return slices.IndexFunc(p.s.Servers, func(s Server) bool { return s.Name == name })
}
