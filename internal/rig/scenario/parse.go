package scenario

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"petrelhook/internal/rig/statement"
)

// Read reads the file at path.
func Read(path string) (*Scenario, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return Parse(path, f)
}

// Parse reads a scenario; file is its name in errors, and paths in it count from its folder.
func Parse(file string, r io.Reader) (*Scenario, error) {
	return parse(file, r, func(name string) (io.ReadCloser, error) {
		if !filepath.IsAbs(name) {
			name = filepath.Join(filepath.Dir(file), name)
		}
		return os.Open(name)
	})
}

// deepest is how deep files may include one another.
const deepest = 4

func parse(file string, r io.Reader, open func(name string) (io.ReadCloser, error)) (*Scenario, error) {
	p := &parser{file: file, open: open, s: &Scenario{
		Seed: 1, Length: 10 * time.Second,
		Sidecars: Sidecars{Count: 1, Cores: 1},
		Clients:  Clients{Patience: [2]float64{1, 1}, Wait: 100 * time.Millisecond, Obey: 2 * time.Second, Keys: 1000},
		Rules: Rules{
			DrainGrace: 250 * time.Millisecond, ColdFrom: 1, FallMultiple: 2.5, FallTime: 3 * time.Second,
			AskWithin: 10 * time.Second, Slack: 50 * time.Millisecond,
		},
		Limits: Limits{
			Attempts: 6, Connect: 100 * time.Millisecond, Idle: 10 * time.Second, RetryAfter: 2 * time.Second,
			Probes: true, Parallel: true, Reports: true,
		},
	}}
	if err := p.lines(file, r); err != nil {
		return nil, err
	}
	return p.finish()
}

type parser struct {
	file   string
	open   func(name string) (io.ReadCloser, error)
	depth  int
	s      *Scenario
	faults []*statement.Line // read last: they name servers
}

func (p *parser) lines(file string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	no := 0
	for lines.Scan() {
		no++
		if l := statement.New(file, no, lines.Text()); l != nil {
			if l.Err != nil {
				return l.Err
			}
			if err := p.statement(l, lines.Text()); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return &statement.Error{File: file, Line: no + 1, Field: "line", Msg: err.Error()}
	}
	return nil
}

// include reads another file's statements in place of this one.
func (p *parser) include(l *statement.Line) error {
	name := l.Word("a file")
	if err := l.End(); err != nil {
		return err
	}
	if p.depth++; p.depth > deepest {
		l.Fail(name, "files include one another more than %d deep", deepest)
		return l.Err
	}
	defer func() { p.depth-- }()
	f, err := p.open(name)
	if err != nil {
		l.Fail(name, "%v", err)
		return l.Err
	}
	defer f.Close()
	return p.lines(name, f)
}

// statement reads one statement by its verb.
func (p *parser) statement(l *statement.Line, text string) error {
	s := p.s
	switch l.Verb {
	case "include":
		return p.include(l)
	case "name":
		s.Name = l.Word("a name")
		return l.End()
	case "about":
		_, text, _ = strings.Cut(strings.TrimSpace(text), "about")
		s.About = strings.TrimSpace(text)
		return nil
	case "seed":
		return p.seed(l)
	case "length":
		if s.Length = l.ParseDuration("length", l.Word("a duration")); s.Length == 0 {
			l.Fail("length", "must be over 0")
		}
		return l.End()
	case "sidecars":
		return p.sidecars(l)
	case "fleet":
		return p.fleet(l)
	case "class":
		return p.class(l)
	case "tenant":
		t := Tenant{Name: l.Word("a name"), Share: 1}
		l.Number("share", &t.Share, 0, 1e6)
		s.Tenants = append(s.Tenants, t)
		return l.End("share")
	case "clients":
		return p.clients(l)
	case "discovery":
		l.Duration("late", &s.Discovery.Late)
		l.Yes("pushed", &s.Discovery.Pushed)
		return l.End("late", "pushed")
	case "rules":
		return p.rules(l)
	case "limits":
		return p.limits(l)
	case "arrive":
		return p.arrive(l)
	case "at":
		p.faults = append(p.faults, l)
		return nil
	}
	l.Fail(l.Verb, "unknown statement; those are include, name, about, seed, length, sidecars, fleet, class, tenant, clients, "+
		"discovery, rules, limits, arrive, at")
	return l.Err
}

func (p *parser) seed(l *statement.Line) error {
	v := l.Word("a number")
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		l.Fail(v, "a seed is a whole number of at least 0")
	}
	p.s.Seed = n
	return l.End()
}

func (p *parser) sidecars(l *statement.Line) error {
	s := &p.s.Sidecars
	s.Count = l.ParseInteger("sidecars", l.Word("a number"), 0, 1000)
	l.Number("cores", &s.Cores, 0.01, 64)
	l.Integer("memory", &s.MemoryMB, 8, 1<<20)
	l.Integer("sockets", &s.Sockets, 64, 1<<20)
	return l.End("cores", "memory (MB)", "sockets")
}

func (p *parser) rules(l *statement.Line) error {
	r := &p.s.Rules
	l.Duration("drain-grace", &r.DrainGrace)
	l.Number("cold-from", &r.ColdFrom, 0, 1)
	l.Duration("cold-time", &r.ColdTime)
	l.Number("fall-multiple", &r.FallMultiple, 0, 1000)
	l.Duration("fall-time", &r.FallTime)
	l.Duration("ask-within", &r.AskWithin)
	l.Duration("slack", &r.Slack)
	return l.End("drain-grace", "cold-from", "cold-time", "fall-multiple", "fall-time", "ask-within", "slack")
}

func (p *parser) limits(l *statement.Line) error {
	m := &p.s.Limits
	l.Integer("attempts", &m.Attempts, 1, 100)
	l.Duration("connect", &m.Connect)
	l.Duration("idle", &m.Idle)
	l.Duration("retry-after", &m.RetryAfter)
	l.Yes("probes", &m.Probes)
	l.Yes("parallel", &m.Parallel)
	l.Yes("reports", &m.Reports)
	return l.End("attempts", "connect", "idle", "retry-after", "probes", "parallel", "reports")
}

func (p *parser) fleet(l *statement.Line) error {
	n := l.ParseInteger("fleet", l.Word("a number of servers"), 1, 10000)
	server := Server{Zone: "a", Kind: "std", Cores: 2, Speed: 1, Queue: 64, Line: l.No}
	cells := 1
	if v, ok := l.Opt("zone"); ok {
		server.Zone = v
	}
	if v, ok := l.Opt("kind"); ok {
		server.Kind = v
	}
	l.Integer("cells", &cells, 1, 1000)
	l.Integer("cores", &server.Cores, 1, 100000)
	l.Number("speed", &server.Speed, 1e-3, 1e3)
	l.Integer("queue", &server.Queue, 0, 1<<20)
	for i := range n {
		server.Name = fmt.Sprint("s", len(p.s.Servers)+1)
		server.Cell = i % cells
		p.s.Servers = append(p.s.Servers, server)
	}
	return l.End("zone", "kind", "cells", "cores", "speed", "queue")
}

func (p *parser) class(l *statement.Line) error {
	c := Class{Name: l.Word("a name"), Share: 1, Effect: Safe, Group: GroupAll, Worth: 1, Line: l.No}
	if p.s.Class(c.Name) >= 0 {
		l.Fail(c.Name, "there is a class of that name already")
	}
	if strings.ContainsAny(c.Name, "/?%: ") {
		l.Fail(c.Name, "a class's name is the first part of a path: letters, digits and dashes")
	}
	if v, ok := l.Opt("effect"); ok {
		c.Effect = statement.OneOf(l, "effect", v, Safe, Keyed, Unsafe)
	}
	if v, ok := l.Opt("group"); ok {
		c.Group = statement.OneOf(l, "group", v, GroupAll, GroupZone, GroupCell)
	}
	l.Number("share", &c.Share, 0, 1e6)
	l.Duration("window", &c.Window)
	l.Span("work", &c.Work.From, &c.Work.To)
	l.Span("io", &c.IO.From, &c.IO.To)
	l.Duration("aim", &c.Aim)
	l.Duration("deadline", &c.Deadline)
	l.Number("worth", &c.Worth, 0, 1e6)
	l.Number("late", &c.Late, 0, 1)
	if err := l.End("share", "effect", "group", "window", "work", "io", "aim", "deadline", "worth", "late"); err != nil {
		return err
	}
	switch {
	case c.Deadline == 0:
		l.Fail("deadline", "missing: how long a client waits, such as deadline=1s")
	case c.Aim > c.Deadline:
		l.Fail("aim", "%v is after the deadline, %v", c.Aim, c.Deadline)
	case c.Effect == Keyed && c.Window == 0:
		l.Fail("window", "missing: how long repeats of a key are dropped, such as window=2s")
	case c.Effect != Keyed && (c.Window != 0 || c.Group != GroupAll):
		l.Fail("effect", "only a keyed class has a group and a window")
	}
	if c.Aim == 0 {
		c.Aim = c.Deadline
	}
	p.s.Classes = append(p.s.Classes, c)
	return l.Err
}

func (p *parser) clients(l *statement.Line) error {
	c := &p.s.Clients
	if v, ok := l.Opt("patience"); ok {
		from, to, isRange := strings.Cut(v, "..")
		c.Patience[0] = l.ParseNumber("patience", from, 0.01, 1)
		if c.Patience[1] = c.Patience[0]; isRange {
			c.Patience[1] = l.ParseNumber("patience", to, c.Patience[0], 1)
		}
	}
	l.Integer("retries", &c.Retries, 0, 100)
	l.Duration("wait", &c.Wait)
	l.Duration("obey", &c.Obey)
	l.Yes("marks", &c.Marks)
	l.Integer("keys", &c.Keys, 1, 1<<30)
	l.Number("skew", &c.Skew, 1.0001, 100)
	return l.End("patience", "retries", "wait", "obey", "marks", "keys", "skew")
}

func (p *parser) arrive(l *statement.Line) error {
	a := Arrival{Line: l.No}
	shape := l.Word("a shape")
	if a.Poisson = shape == "poisson"; a.Poisson {
		a.Shape = Constant
	} else {
		a.Shape = statement.OneOf(l, "shape", shape, Constant, Ramp, Step, Wave, Bursts, Trace, "poisson")
	}
	switch a.Shape {
	case Trace:
		if a.File = l.Word("a file"); !filepath.IsAbs(a.File) {
			a.File = filepath.Join(filepath.Dir(p.file), a.File)
		}
	case Bursts:
		a.Size = l.ParseInteger("bursts", l.Word("a number at once"), 1, 1e6)
	default:
		rate := l.Word("a rate")
		from, to, isRange := strings.Cut(rate, "..")
		if isRange {
			from, _ = strings.CutSuffix(from, "/s")
			from += "/s"
			a.To = l.PerSecond(to)
		}
		a.From = l.PerSecond(from)
		if isRange == (a.Shape == Constant) {
			l.Fail(rate, "%s takes %s", shape, map[bool]string{true: "one rate, such as 200/s", false: "two, such as 100/s..400/s"}[isRange])
		}
		if l.Literal("poisson") {
			a.Poisson = true
		}
	}
	known := []string{}
	need := func(name string, into *time.Duration) {
		known = append(known, name)
		if l.Duration(name, into); *into == 0 {
			l.Fail(name, "missing: %s needs it, such as %s=2s", shape, name)
		}
	}
	switch a.Shape {
	case Ramp:
		need("over", &a.Over)
	case Step:
		need("at", &a.At)
	case Wave, Bursts:
		need("every", &a.Every)
	}
	p.s.Arrivals = append(p.s.Arrivals, a)
	return l.End(known...)
}

// finish reads the faults and looks at the whole.
func (p *parser) finish() (*Scenario, error) {
	s := p.s
	missing := func(field, msg string) error { return &statement.Error{File: p.file, Field: field, Msg: msg} }
	switch {
	case len(s.Servers) == 0:
		return nil, missing("fleet", "missing: how many servers there are, such as fleet 10")
	case len(s.Classes) == 0:
		return nil, missing("class", "missing: one at least, such as class read deadline=1s")
	case len(s.Arrivals) == 0:
		return nil, missing("arrive", "missing: one at least, such as arrive constant 100/s")
	}
	shares := 0.0
	for _, c := range s.Classes {
		shares += c.Share
	}
	if shares <= 0 {
		return nil, missing("class", "the shares of the classes are all 0")
	}
	for _, l := range p.faults {
		if err := p.fault(l); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	if err := p.overlaps(); err != nil {
		return nil, err
	}
	if s.Name == "" {
		s.Name = strings.TrimSuffix(filepath.Base(p.file), filepath.Ext(p.file))
	}
	return s, nil
}
