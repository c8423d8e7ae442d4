// Package audit judges the four rules from what clients and servers saw. It is pure: records and a scenario in, a
// report out; the same records give the same report, in whatever order they were booked.
//
// It is not told what a sidecar meant to do, only what reached whom and when. A breach is reported where the records
// prove it: where they leave room for a sidecar that kept the rule, nothing is, and the report says what could not be
// judged. Times have the scenario's slack, which covers what lies between a sidecar and the two ends.
package audit

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"petrelhook/internal/rig/scenario"
)

// Rule names what was broken.
type Rule string

// The rules, by the number that the deployment gives them.
const (
	NoAnswer   Rule = "1-lost"         // a request that was taken got no whole answer
	Late       Rule = "1-late"         // ... or got it after the client's time was up
	Twice      Rule = "1-twice"        // ... or got more than one
	WrongBody  Rule = "1-wrong-answer" // ... or was served what no server made for it
	After      Rule = "1-after"        // something was sent for it after its answer, or after its client had gone
	HeldBack   Rule = "1-held-back"    // a refusal or failure came long after nothing more was tried
	Repeated   Rule = "2-repeated"     // an unsafe request went out again though it may have run
	OtherGroup Rule = "2-other-group"  // a keyed one went to servers that do not know its key
	TooOld     Rule = "2-too-old"      // ... or after its key was forgotten
	BadRefusal Rule = "2-refusal"      // a refusal where a client's retry may do harm
	Effects    Rule = "2-effects"      // an effect happened twice after a refusal
	Unasked    Rule = "2-unasked"      // a server was sent what no client asked for
	Drained    Rule = "3-drain"        // a draining or gone server was sent something after the grace
	Pushed     Rule = "4-cold"         // a cold server was sent more than it bears
)

// Breach is one rule broken once.
type Breach struct {
	Rule    Rule
	Request string // its trace id
	Servers []string
	At      time.Duration // when it was broken
	Limit   time.Duration // until when it would have been kept; 0 where no time is in question
	Text    string
}

// MarshalJSON gives times in milliseconds.
func (b Breach) MarshalJSON() ([]byte, error) {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return json.Marshal(struct {
		Rule    Rule     `json:"rule"`
		Request string   `json:"request,omitempty"`
		Servers []string `json:"servers,omitempty"`
		At      float64  `json:"at_ms"`
		Limit   float64  `json:"limit_ms,omitempty"`
		Text    string   `json:"text"`
	}{b.Rule, b.Request, b.Servers, ms(b.At), ms(b.Limit), b.Text})
}

// String is one line for a person.
func (b Breach) String() string {
	return fmt.Sprintf("%s: request %s, servers %v, at %v: %s", b.Rule, cmp.Or(b.Request, "-"), b.Servers, b.At, b.Text)
}

// Report is the judgement of a run.
type Report struct {
	Breaches []Breach       `json:"breaches"`
	Judged   Judged         `json:"judged"`
	Unjudged map[string]int `json:"unjudged,omitempty"` // how often, by the reason
}

// Judged counts what the verdict rests on: rules that nothing tested are not kept, only not broken.
type Judged struct {
	Calls       int `json:"calls"`        // rule 1
	Repeats     int `json:"repeats"`      // rule 2: attempts after the first
	Refusals    int `json:"refusals"`     // rule 2: refusals of what is not safe
	AfterDrains int `json:"after_drains"` // rule 3: servers that were told to drain or be gone, by sidecar
	ColdStarts  int `json:"cold_starts"`  // rule 4
}

// OK reports whether no rule was broken.
func (r *Report) OK() bool { return len(r.Breaches) == 0 }

// A sidecar may wait a while for a server before it gives up. What it must not do is keep an answer until the client has no time left to ask again. So a refusal or failure is held back where nothing
// was tried for over holdPart of the client's patience, and for longer than holdLeast: a connection that does not come
// up takes that long, and reaches nobody.
const (
	holdPart  = 0.5
	holdLeast = 150 * time.Millisecond
)

type judge struct {
	s        *scenario.Scenario
	r        Records
	out      Report
	calls    map[string]*Call
	attempts map[string][]*Attempt // by trace, in order of the first byte
	told     map[place][]Told      // in order of time
}

// place is a server as a sidecar knows it.
type place struct {
	sidecar int
	server  string
}

// Judge judges a run of a scenario.
func Judge(s *scenario.Scenario, r Records) Report {
	j := &judge{
		s: s, r: r, out: Report{Breaches: []Breach{}, Unjudged: map[string]int{}},
		calls: map[string]*Call{}, attempts: map[string][]*Attempt{}, told: map[place][]Told{},
	}
	for i := range r.Calls {
		j.calls[r.Calls[i].Trace] = &r.Calls[i]
	}
	for i := range r.Attempts {
		a := &r.Attempts[i]
		j.attempts[a.Trace] = append(j.attempts[a.Trace], a)
	}
	for _, list := range j.attempts {
		slices.SortStableFunc(list, func(a, b *Attempt) int { return cmp.Compare(a.First, b.First) })
	}
	for _, t := range r.Told {
		k := place{t.Sidecar, t.Server}
		j.told[k] = append(j.told[k], t)
	}
	for _, list := range j.told {
		slices.SortStableFunc(list, func(a, b Told) int { return cmp.Compare(a.At, b.At) })
	}
	for i := range r.Calls {
		j.call(&r.Calls[i])
	}
	j.unasked()
	j.effects()
	j.drains()
	j.coldStarts()
	slices.SortStableFunc(j.out.Breaches, func(a, b Breach) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Request, b.Request))
	})
	return j.out
}

func (j *judge) breach(rule Rule, c *Call, at, limit time.Duration, servers []string, format string, args ...any) {
	b := Breach{Rule: rule, At: at, Limit: limit, Servers: servers, Text: fmt.Sprintf(format, args...)}
	if c != nil {
		b.Request = c.Trace
	}
	j.out.Breaches = append(j.out.Breaches, b)
}

func (j *judge) unjudged(reason string) { j.out.Unjudged[reason]++ }

func names(list ...*Attempt) (servers []string) {
	for _, a := range list {
		servers = append(servers, a.Server)
	}
	return servers
}

// class gives the class of a call or attempt; nil where there is none of the name.
func (j *judge) class(name string) *scenario.Class {
	if i := j.s.Class(name); i >= 0 {
		return &j.s.Classes[i]
	}
	return nil
}

// killed: the run ended the call's sidecar while it had the request.
func (j *judge) killed(c *Call) bool {
	return slices.ContainsFunc(j.r.Kills, func(k Kill) bool {
		return k.Sidecar == c.Sidecar && k.From <= c.Sent+c.Patience && c.Sent <= k.To
	})
}

// call judges rules 1 and 2 for one try of a client.
func (j *judge) call(c *Call) {
	class, all := j.class(c.Class), j.attempts[c.Trace]
	// A kept connection may end under a request that had not been read; then its client sends it once more.
	read := func(a *Attempt) bool { return a.First <= c.Crossed }
	if c.Crossed > 0 && slices.ContainsFunc(all, read) && !j.killed(c) {
		j.breach(NoAnswer, c, c.Crossed, 0, names(all...), "it had been read, and its connection ended without an answer")
	}
	switch {
	case class == nil:
		j.unjudged("calls of no known class")
		return
	case c.Sent == Never:
		j.unjudged("calls that were not taken")
		return
	}
	j.repeats(c, class, all)
	j.refusal(c, class, all)
	if j.killed(c) {
		j.unjudged("calls at a sidecar that the run ended")
		return
	}
	j.out.Judged.Calls++
	limit := c.Sent + c.Patience + j.s.Rules.Slack
	over := limit // from when on nothing may be sent for it
	switch {
	case c.Answered != Never:
		over = min(over, c.Answered+j.s.Rules.Slack)
	case c.HungUp != Never:
		over = min(over, c.HungUp+j.s.Rules.Slack)
	}
	switch {
	case c.Answered == Never && c.HungUp != Never && c.HungUp < c.Sent+c.Patience:
		j.unjudged("calls whose client went away early")
	case c.Answered > limit:
		j.breach(Late, c, c.Answered, limit, names(all...), "taken at %v, answered %v too late", c.Sent, c.Answered-limit)
	case c.Answered == Never || c.Result == Lost:
		j.breach(NoAnswer, c, limit, limit, names(all...), "taken at %v, no whole answer", c.Sent)
	}
	if slices.Contains(j.r.Extras, c.Trace) {
		j.breach(Twice, c, c.Answered, 0, names(all...), "more than one answer came")
	}
	if c.Result == Served && !slices.ContainsFunc(all, func(a *Attempt) bool { return a.Status == 200 && a.Body == c.Body }) {
		j.breach(WrongBody, c, c.Answered, 0, names(all...), "no server made the answer for this request")
	}
	for _, a := range all {
		if a.First > over {
			j.breach(After, c, a.First, over, names(a), "sent %v after the request was over", a.First-over+j.s.Rules.Slack)
		}
	}
	j.heldBack(c, all)
}

// heldBack looks for a refusal or failure that came although nothing was under way for most of the client's time.
func (j *judge) heldBack(c *Call, all []*Attempt) {
	if c.Result != Refused && c.Result != Failed {
		return
	}
	last := c.Sent
	for _, a := range all {
		if a.First <= c.Answered {
			last = max(last, a.End)
		}
	}
	margin := max(holdLeast, time.Duration(holdPart*float64(c.Patience)))
	if c.Answered-last <= margin {
		return
	}
	if j.mayWait(c) {
		j.unjudged("held-back answers that may have waited for a server")
		return
	}
	j.breach(HeldBack, c, c.Answered, last+margin, names(all...),
		"%s %v after the last thing that was tried for it", c.Result, c.Answered-last)
}

// repeats judges each attempt by those before it.
func (j *judge) repeats(c *Call, class *scenario.Class, all []*Attempt) {
	for n, a := range all {
		if n > 0 {
			j.out.Judged.Repeats++
		}
		for _, earlier := range all[:n] {
			// Its outcome must have been known, and have proved that nothing ran.
			proved := earlier.Last == Never || earlier.NeverRan && earlier.End <= a.First
			if proved || class.Effect == scenario.Safe {
				continue
			}
			switch limit := earlier.First + class.Window + j.s.Rules.Slack; {
			case class.Effect == scenario.Unsafe:
				j.breach(Repeated, c, a.First, 0, names(earlier, a), "sent again %v after it may have run", a.First-earlier.Last)
			case class.Group == scenario.GroupCell && a.Cell != earlier.Cell,
				class.Group == scenario.GroupZone && a.Zone != earlier.Zone:
				j.breach(OtherGroup, c, a.First, 0, names(earlier, a), "may have run in another %s", class.Group)
			case a.First > limit:
				j.breach(TooOld, c, a.First, limit, names(earlier, a), "may have run %v ago, the key is kept for %v",
					a.First-earlier.First, class.Window)
			default:
				continue
			}
			break // one breach an attempt
		}
	}
}

// refusal: a refusal promises that a retry does no harm.
func (j *judge) refusal(c *Call, class *scenario.Class, all []*Attempt) {
	if c.Result != Refused || class.Effect == scenario.Safe {
		return
	}
	j.out.Judged.Refusals++
	if class.Effect == scenario.Keyed && class.Group == scenario.GroupAll {
		return
	}
	for _, a := range all {
		if a.First <= c.Answered && a.MayHaveRun() {
			j.breach(BadRefusal, c, c.Answered, 0, names(a), "refused, though it may have run from %v on", a.Last)
			return
		}
	}
}

// unasked looks for attempts that no client asked for.
func (j *judge) unasked() {
	for i := range j.r.Attempts {
		if a := &j.r.Attempts[i]; j.calls[a.Trace] == nil {
			j.out.Breaches = append(j.out.Breaches, Breach{
				Rule: Unasked, Request: a.Trace, Servers: names(a), At: a.First, Text: "no client sent a request of this id",
			})
		}
	}
}

// effects counts what ran, over all tries of a client: a refusal said that the next try would do no harm.
func (j *judge) effects() {
	ran := map[string][]*Attempt{}
	var order []string
	for i := range j.r.Attempts {
		a := &j.r.Attempts[i]
		class := j.class(a.Class)
		if class == nil || class.Effect == scenario.Safe || a.Began == Never || a.Repeat || a.Op == "" {
			continue
		}
		op := a.Class + "/" + a.Op
		if ran[op] == nil {
			order = append(order, op)
		}
		ran[op] = append(ran[op], a)
	}
	for _, op := range order {
		list := ran[op]
		slices.SortStableFunc(list, func(a, b *Attempt) int { return cmp.Compare(a.Began, b.Began) })
		for n, a := range list[1:] {
			first := list[n]
			c := j.calls[first.Trace]
			switch {
			case first.Trace == a.Trace || c == nil: // judged as a repeat
			case c.Result == Refused:
				j.breach(Effects, c, a.Began, 0, names(first, a), "ran at %v, was refused, and ran again as %s", first.Began, a.Trace)
			default:
				j.unjudged("effects that happened twice by a client's own retry")
			}
		}
	}
}
