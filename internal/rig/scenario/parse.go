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
)

// Read reads the file at path.
func Read(path string) (*Scenario, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
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
	faults []*line // read last: they name servers
}

func (p *parser) lines(file string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	no := 0
	for lines.Scan() {
		no++
		if l := newLine(file, no, lines.Text()); l != nil {
			if l.err != nil {
				return l.err
			}
			if err := p.statement(l, lines.Text()); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return &Error{File: file, Line: no + 1, Field: "line", Msg: err.Error()}
	}
	return nil
}

// include reads another file's statements in place of this one.
func (p *parser) include(l *line) error {
	name := l.word("a file")
	if err := l.end(); err != nil {
		return err
	}
	if p.depth++; p.depth > deepest {
		l.fail(name, "files include one another more than %d deep", deepest)
		return l.err
	}
	defer func() { p.depth-- }()
	f, err := p.open(name)
	if err != nil {
		l.fail(name, "%v", err)
		return l.err
	}
	defer f.Close()
	return p.lines(name, f)
}

func (p *parser) statement(l *line, text string) error {
	s := p.s
	switch l.verb {
	case "include":
		return p.include(l)
	case "name":
		s.Name = l.word("a name")
		return l.end()
	case "about":
		_, text, _ = strings.Cut(strings.TrimSpace(text), "about")
		s.About = strings.TrimSpace(text)
		return nil
	case "seed":
		v := l.word("a number")
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			l.fail(v, "a seed is a whole number of at least 0")
		}
		s.Seed = n
		return l.end()
	case "length":
		if s.Length = l.parseDuration("length", l.word("a duration")); s.Length == 0 {
			l.fail("length", "must be over 0")
		}
		return l.end()
	case "sidecars":
		s.Sidecars.Count = l.parseInteger("sidecars", l.word("a number"), 0, 1000)
		l.number("cores", &s.Sidecars.Cores, 0.01, 64)
		l.integer("memory", &s.Sidecars.MemoryMB, 8, 1<<20)
		l.integer("sockets", &s.Sidecars.Sockets, 64, 1<<20)
		return l.end("cores", "memory (MB)", "sockets")
	case "fleet":
		return p.fleet(l)
	case "class":
		return p.class(l)
	case "tenant":
		t := Tenant{Name: l.word("a name"), Share: 1}
		l.number("share", &t.Share, 0, 1e6)
		s.Tenants = append(s.Tenants, t)
		return l.end("share")
	case "clients":
		return p.clients(l)
	case "discovery":
		l.duration("late", &s.Discovery.Late)
		return l.end("late")
	case "rules":
		r := &s.Rules
		l.duration("drain-grace", &r.DrainGrace)
		l.number("cold-from", &r.ColdFrom, 0, 1)
		l.duration("cold-time", &r.ColdTime)
		l.number("fall-multiple", &r.FallMultiple, 0, 1000)
		l.duration("fall-time", &r.FallTime)
		l.duration("ask-within", &r.AskWithin)
		l.duration("slack", &r.Slack)
		return l.end("drain-grace", "cold-from", "cold-time", "fall-multiple", "fall-time", "ask-within", "slack")
	case "limits":
		m := &s.Limits
		l.integer("attempts", &m.Attempts, 1, 100)
		l.duration("connect", &m.Connect)
		l.duration("idle", &m.Idle)
		l.duration("retry-after", &m.RetryAfter)
		l.yes("probes", &m.Probes)
		l.yes("parallel", &m.Parallel)
		l.yes("reports", &m.Reports)
		return l.end("attempts", "connect", "idle", "retry-after", "probes", "parallel", "reports")
	case "arrive":
		return p.arrive(l)
	case "at":
		p.faults = append(p.faults, l)
		return nil
	}
	l.fail(l.verb, "unknown statement; those are include, name, about, seed, length, sidecars, fleet, class, tenant, clients, "+
		"discovery, rules, limits, arrive, at")
	return l.err
}

func (p *parser) fleet(l *line) error {
	n := l.parseInteger("fleet", l.word("a number of servers"), 1, 10000)
	server := Server{Zone: "a", Kind: "std", Cores: 2, Speed: 1, Queue: 64, Line: l.no}
	cells := 1
	if v, ok := l.opt("zone"); ok {
		server.Zone = v
	}
	if v, ok := l.opt("kind"); ok {
		server.Kind = v
	}
	l.integer("cells", &cells, 1, 1000)
	l.integer("cores", &server.Cores, 1, 100000)
	l.number("speed", &server.Speed, 1e-3, 1e3)
	l.integer("queue", &server.Queue, 0, 1<<20)
	for i := range n {
		server.Name = fmt.Sprint("s", len(p.s.Servers)+1)
		server.Cell = i % cells
		p.s.Servers = append(p.s.Servers, server)
	}
	return l.end("zone", "kind", "cells", "cores", "speed", "queue")
}

func (p *parser) class(l *line) error {
	c := Class{Name: l.word("a name"), Share: 1, Effect: Safe, Group: GroupAll, Worth: 1, Line: l.no}
	if p.s.Class(c.Name) >= 0 {
		l.fail(c.Name, "there is a class of that name already")
	}
	if strings.ContainsAny(c.Name, "/?%: ") {
		l.fail(c.Name, "a class's name is the first part of a path: letters, digits and dashes")
	}
	if v, ok := l.opt("effect"); ok {
		c.Effect = oneOf(l, "effect", v, Safe, Keyed, Unsafe)
	}
	if v, ok := l.opt("group"); ok {
		c.Group = oneOf(l, "group", v, GroupAll, GroupZone, GroupCell)
	}
	l.number("share", &c.Share, 0, 1e6)
	l.duration("window", &c.Window)
	l.span("work", &c.Work)
	l.span("io", &c.IO)
	l.duration("aim", &c.Aim)
	l.duration("deadline", &c.Deadline)
	l.number("worth", &c.Worth, 0, 1e6)
	l.number("late", &c.Late, 0, 1)
	if err := l.end("share", "effect", "group", "window", "work", "io", "aim", "deadline", "worth", "late"); err != nil {
		return err
	}
	switch {
	case c.Deadline == 0:
		l.fail("deadline", "missing: how long a client waits, such as deadline=1s")
	case c.Aim > c.Deadline:
		l.fail("aim", "%v is after the deadline, %v", c.Aim, c.Deadline)
	case c.Effect == Keyed && c.Window == 0:
		l.fail("window", "missing: how long repeats of a key are dropped, such as window=2s")
	case c.Effect != Keyed && (c.Window != 0 || c.Group != GroupAll):
		l.fail("effect", "only a keyed class has a group and a window")
	}
	if c.Aim == 0 {
		c.Aim = c.Deadline
	}
	p.s.Classes = append(p.s.Classes, c)
	return l.err
}

func (p *parser) clients(l *line) error {
	c := &p.s.Clients
	if v, ok := l.opt("patience"); ok {
		from, to, isRange := strings.Cut(v, "..")
		c.Patience[0] = l.parseNumber("patience", from, 0.01, 1)
		if c.Patience[1] = c.Patience[0]; isRange {
			c.Patience[1] = l.parseNumber("patience", to, c.Patience[0], 1)
		}
	}
	l.integer("retries", &c.Retries, 0, 100)
	l.duration("wait", &c.Wait)
	l.duration("obey", &c.Obey)
	l.yes("marks", &c.Marks)
	l.integer("keys", &c.Keys, 1, 1<<30)
	l.number("skew", &c.Skew, 1.0001, 100)
	return l.end("patience", "retries", "wait", "obey", "marks", "keys", "skew")
}

func (p *parser) arrive(l *line) error {
	a := Arrival{Line: l.no}
	shape := l.word("a shape")
	if a.Poisson = shape == "poisson"; a.Poisson {
		a.Shape = Constant
	} else {
		a.Shape = oneOf(l, "shape", shape, Constant, Ramp, Step, Wave, Bursts, Trace, "poisson")
	}
	switch a.Shape {
	case Trace:
		if a.File = l.word("a file"); !filepath.IsAbs(a.File) {
			a.File = filepath.Join(filepath.Dir(p.file), a.File)
		}
	case Bursts:
		a.Size = l.parseInteger("bursts", l.word("a number at once"), 1, 1e6)
	default:
		rate := l.word("a rate")
		from, to, isRange := strings.Cut(rate, "..")
		if isRange {
			from, _ = strings.CutSuffix(from, "/s")
			from += "/s"
			a.To = l.perSecond(to)
		}
		a.From = l.perSecond(from)
		if isRange == (a.Shape == Constant) {
			l.fail(rate, "%s takes %s", shape, map[bool]string{true: "one rate, such as 200/s", false: "two, such as 100/s..400/s"}[isRange])
		}
		if l.literal("poisson") {
			a.Poisson = true
		}
	}
	known := []string{}
	need := func(name string, into *time.Duration) {
		known = append(known, name)
		if l.duration(name, into); *into == 0 {
			l.fail(name, "missing: %s needs it, such as %s=2s", shape, name)
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
	return l.end(known...)
}

// finish reads the faults and looks at the whole.
func (p *parser) finish() (*Scenario, error) {
	s := p.s
	missing := func(field, msg string) error { return &Error{File: p.file, Field: field, Msg: msg} }
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
