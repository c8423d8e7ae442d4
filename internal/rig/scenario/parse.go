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

// Read reads the scenario at path. Errors in the file are of type *Error.
func Read(path string) (*Scenario, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return Parse(path, f)
}

// Parse reads a scenario. file is its name in errors; paths in it are relative to its folder.
func Parse(file string, r io.Reader) (*Scenario, error) {
	return parse(file, r, func(name string) (io.ReadCloser, error) {
		if !filepath.IsAbs(name) {
			name = filepath.Join(filepath.Dir(file), name)
		}
		return os.Open(name)
	})
}

// maxIncludeDepth is the depth to which files may include one another.
const maxIncludeDepth = 4

// parse reads a scenario whose included files open opens, on the default values.
func parse(file string, r io.Reader, open func(name string) (io.ReadCloser, error)) (*Scenario, error) {
	p := &parser{file: file, open: open, scenario: &Scenario{
		Seed: 1, Length: 10 * time.Second,
		Sidecars: Sidecars{Count: 1, Cores: 1},
		Clients:  Clients{Patience: [2]float64{1, 1}, RetryWait: 100 * time.Millisecond, MaxRetryAfter: 2 * time.Second, Objects: 1000},
		Rules: Rules{
			DrainGrace: 250 * time.Millisecond, SlowStartFraction: 1, OverloadMultiple: 2.5, OverloadTime: 3 * time.Second,
			MaxPollInterval: 10 * time.Second, Slack: 50 * time.Millisecond,
		},
		Limits: Limits{
			MaxAttempts: 6, ConnectTimeout: 100 * time.Millisecond, IdleTimeout: 10 * time.Second, RetryAfter: 2 * time.Second,
			Probes: true, ParallelAttempts: true, Reports: true,
		},
	}}
	if err := p.readLines(file, r); err != nil {
		return nil, err
	}
	return p.finish()
}

// parser is the state of reading one scenario.
type parser struct {
	file     string
	open     func(name string) (io.ReadCloser, error)
	depth    int
	scenario *Scenario
	faults   []*statement.Line // statements "at", read last because they name servers
}

// readLines reads all statements of one file.
func (p *parser) readLines(file string, r io.Reader) error {
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
		return &statement.Error{File: file, Line: no + 1, Field: "line", Message: err.Error()}
	}
	return nil
}

// include reads another file's statements in place of this one.
func (p *parser) include(l *statement.Line) error {
	name := l.NextWord("a file")
	if err := l.Finish(); err != nil {
		return err
	}
	if p.depth++; p.depth > maxIncludeDepth {
		l.Fail(name, "files include one another more than %d deep", maxIncludeDepth)
		return l.Err
	}
	defer func() { p.depth-- }()
	f, err := p.open(name)
	if err != nil {
		l.Fail(name, "%v", err)
		return l.Err
	}
	defer f.Close()
	return p.readLines(name, f)
}

// statement reads one statement by its verb. text is the line.
func (p *parser) statement(l *statement.Line, text string) error {
	s := p.scenario
	switch l.Verb {
	case "include":
		return p.include(l)
	case "name":
		s.Name = l.NextWord("a name")
		return l.Finish()
	case "about":
		_, text, _ = strings.Cut(strings.TrimSpace(text), "about")
		s.Description = strings.TrimSpace(text)
		return nil
	case "seed":
		return p.seed(l)
	case "length":
		if s.Length = l.ParseDuration("length", l.NextWord("a duration")); s.Length == 0 {
			l.Fail("length", "must be over 0")
		}
		return l.Finish()
	case "sidecars":
		return p.sidecars(l)
	case "fleet":
		return p.fleet(l)
	case "class":
		return p.class(l)
	case "tenant":
		t := Tenant{Name: l.NextWord("a name"), Share: 1}
		l.Number("share", &t.Share, 0, 1e6)
		s.Tenants = append(s.Tenants, t)
		return l.Finish("share")
	case "clients":
		return p.clients(l)
	case "discovery":
		l.Duration("late", &s.Discovery.Delay)
		l.Bool("pushed", &s.Discovery.Pushed)
		return l.Finish("late", "pushed")
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

// seed reads "seed NUMBER".
func (p *parser) seed(l *statement.Line) error {
	v := l.NextWord("a number")
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		l.Fail(v, "a seed is a whole number of at least 0")
	}
	p.scenario.Seed = n
	return l.Finish()
}

// sidecars reads "sidecars COUNT [options]".
func (p *parser) sidecars(l *statement.Line) error {
	s := &p.scenario.Sidecars
	s.Count = l.ParseInteger("sidecars", l.NextWord("a number"), 0, 1000)
	l.Number("cores", &s.Cores, 0.01, 64)
	l.Integer("memory", &s.MemoryMB, 8, 1<<20)
	l.Integer("sockets", &s.Sockets, 64, 1<<20)
	return l.Finish("cores", "memory (MB)", "sockets")
}

// rules reads "rules [options]".
func (p *parser) rules(l *statement.Line) error {
	r := &p.scenario.Rules
	l.Duration("drain-grace", &r.DrainGrace)
	l.Number("cold-from", &r.SlowStartFraction, 0, 1)
	l.Duration("cold-time", &r.SlowStartTime)
	l.Number("fall-multiple", &r.OverloadMultiple, 0, 1000)
	l.Duration("fall-time", &r.OverloadTime)
	l.Duration("ask-within", &r.MaxPollInterval)
	l.Duration("slack", &r.Slack)
	return l.Finish("drain-grace", "cold-from", "cold-time", "fall-multiple", "fall-time", "ask-within", "slack")
}

// limits reads "limits [options]".
func (p *parser) limits(l *statement.Line) error {
	m := &p.scenario.Limits
	l.Integer("attempts", &m.MaxAttempts, 1, 100)
	l.Duration("connect", &m.ConnectTimeout)
	l.Duration("idle", &m.IdleTimeout)
	l.Duration("retry-after", &m.RetryAfter)
	l.Bool("probes", &m.Probes)
	l.Bool("parallel", &m.ParallelAttempts)
	l.Bool("reports", &m.Reports)
	return l.Finish("attempts", "connect", "idle", "retry-after", "probes", "parallel", "reports")
}

// fleet reads "fleet COUNT [options]", which adds servers.
func (p *parser) fleet(l *statement.Line) error {
	n := l.ParseInteger("fleet", l.NextWord("a number of servers"), 1, 10000)
	server := Server{Zone: "a", Kind: "std", Cores: 2, Speed: 1, Queue: 64, Line: l.LineNumber}
	cells := 1
	if v, ok := l.Option("zone"); ok {
		server.Zone = v
	}
	if v, ok := l.Option("kind"); ok {
		server.Kind = v
	}
	l.Integer("cells", &cells, 1, 1000)
	l.Integer("cores", &server.Cores, 1, 100000)
	l.Number("speed", &server.Speed, 1e-3, 1e3)
	l.Integer("queue", &server.Queue, 0, 1<<20)
	for i := range n {
		server.Name = fmt.Sprint("s", len(p.scenario.Servers)+1)
		server.Cell = i % cells
		p.scenario.Servers = append(p.scenario.Servers, server)
	}
	return l.Finish("zone", "kind", "cells", "cores", "speed", "queue")
}

// class reads "class NAME [options]".
func (p *parser) class(l *statement.Line) error {
	c := Class{Name: l.NextWord("a name"), Share: 1, Effect: Safe, Group: GroupAll, Value: 1, Line: l.LineNumber}
	if p.scenario.Class(c.Name) >= 0 {
		l.Fail(c.Name, "there is a class of that name already")
	}
	if strings.ContainsAny(c.Name, "/?%: ") {
		l.Fail(c.Name, "a class's name is the first part of a path: letters, digits and dashes")
	}
	if v, ok := l.Option("effect"); ok {
		c.Effect = statement.OneOf(l, "effect", v, Safe, Keyed, Unsafe)
	}
	if v, ok := l.Option("group"); ok {
		c.Group = statement.OneOf(l, "group", v, GroupAll, GroupZone, GroupCell)
	}
	l.Number("share", &c.Share, 0, 1e6)
	l.Duration("window", &c.Window)
	l.DurationRange("work", &c.Work.From, &c.Work.To)
	l.DurationRange("io", &c.IO.From, &c.IO.To)
	l.Duration("aim", &c.LatencyTarget)
	l.Duration("deadline", &c.Deadline)
	l.Number("worth", &c.Value, 0, 1e6)
	l.Number("late", &c.LateValue, 0, 1)
	if err := l.Finish("share", "effect", "group", "window", "work", "io", "aim", "deadline", "worth", "late"); err != nil {
		return err
	}
	switch {
	case c.Deadline == 0:
		l.Fail("deadline", "missing: how long a client waits, such as deadline=1s")
	case c.LatencyTarget > c.Deadline:
		l.Fail("aim", "%v is after the deadline, %v", c.LatencyTarget, c.Deadline)
	case c.Effect == Keyed && c.Window == 0:
		l.Fail("window", "missing: how long repeats of a key are dropped, such as window=2s")
	case c.Effect != Keyed && (c.Window != 0 || c.Group != GroupAll):
		l.Fail("effect", "only a keyed class has a group and a window")
	}
	if c.LatencyTarget == 0 {
		c.LatencyTarget = c.Deadline
	}
	p.scenario.Classes = append(p.scenario.Classes, c)
	return l.Err
}

// clients reads "clients [options]".
func (p *parser) clients(l *statement.Line) error {
	c := &p.scenario.Clients
	if v, ok := l.Option("patience"); ok {
		from, to, isRange := strings.Cut(v, "..")
		c.Patience[0] = l.ParseNumber("patience", from, 0.01, 1)
		if c.Patience[1] = c.Patience[0]; isRange {
			c.Patience[1] = l.ParseNumber("patience", to, c.Patience[0], 1)
		}
	}
	l.Integer("retries", &c.Retries, 0, 100)
	l.Duration("wait", &c.RetryWait)
	l.Duration("obey", &c.MaxRetryAfter)
	l.Bool("marks", &c.MarkRetries)
	l.Integer("keys", &c.Objects, 1, 1<<30)
	l.Number("skew", &c.Skew, 1.0001, 100)
	return l.Finish("patience", "retries", "wait", "obey", "marks", "keys", "skew")
}

// arrive reads "arrive SHAPE [amount] [options]".
func (p *parser) arrive(l *statement.Line) error {
	a := Arrival{Line: l.LineNumber}
	shape := l.NextWord("a shape")
	if a.Poisson = shape == "poisson"; a.Poisson {
		a.Shape = Constant
	} else {
		a.Shape = statement.OneOf(l, "shape", shape, Constant, Ramp, Step, Wave, Bursts, Trace, "poisson")
	}
	switch a.Shape {
	case Trace:
		if a.File = l.NextWord("a file"); !filepath.IsAbs(a.File) {
			a.File = filepath.Join(filepath.Dir(p.file), a.File)
		}
	case Bursts:
		a.Size = l.ParseInteger("bursts", l.NextWord("a number at once"), 1, 1e6)
	default:
		rate := l.NextWord("a rate")
		from, to, isRange := strings.Cut(rate, "..")
		if isRange {
			from, _ = strings.CutSuffix(from, "/s")
			from += "/s"
			a.ToRate = l.ParseRate(to)
		}
		a.FromRate = l.ParseRate(from)
		if isRange == (a.Shape == Constant) {
			l.Fail(rate, "%s takes %s", shape, map[bool]string{true: "one rate, such as 200/s", false: "two, such as 100/s..400/s"}[isRange])
		}
		if l.AcceptWord("poisson") {
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
	p.scenario.Arrivals = append(p.scenario.Arrivals, a)
	return l.Finish(known...)
}

// finish reads the faults, and checks that the scenario is complete.
func (p *parser) finish() (*Scenario, error) {
	s := p.scenario
	missing := func(field, msg string) error { return &statement.Error{File: p.file, Field: field, Message: msg} }
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
	if err := p.checkOverlaps(); err != nil {
		return nil, err
	}
	if s.Name == "" {
		s.Name = strings.TrimSuffix(filepath.Base(p.file), filepath.Ext(p.file))
	}
	return s, nil
}
