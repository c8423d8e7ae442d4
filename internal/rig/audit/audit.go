// Package audit judges from the records of clients and servers whether a run kept the four rules. It is pure: records and a scenario in, a
// report out; the same records give the same report, in whatever order they were recorded. A Recorder may be used from any goroutine.
//
// It does not know what a sidecar intended, only who received what and when. A breach is reported only if the records
// prove it: if they leave the possibility that the sidecar kept the rule, none is, and the report counts what could not be
// judged. Times have the scenario's slack, which covers the way between a sidecar and the two ends.
package audit

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"petrelhook/internal/rig/scenario"
)

// Rule is a rule that can be broken. Its text is part of reports.
type Rule string

// The rules, by the number that the deployment gives them.
const (
	Unanswered           Rule = "1-lost"         // a request that was accepted got no complete answer
	AnsweredLate         Rule = "1-late"         // ... or got it after the client's time was up
	AnsweredTwice        Rule = "1-twice"        // ... or got more than one
	WrongBody            Rule = "1-wrong-answer" // ... or was served what no server made for it
	SentAfterAnswer      Rule = "1-after"        // something was sent for it after its answer, or after its client had hung up
	AnswerWithheld       Rule = "1-held-back"    // a refusal or failure came long after the last attempt
	UnsafeRepeated       Rule = "2-repeated"     // an unsafe request was sent again though it may have run
	RepeatedOutsideGroup Rule = "2-other-group"  // a keyed one was sent to servers that do not know its key
	RepeatedAfterWindow  Rule = "2-too-old"      // ... or after its key was forgotten
	HarmfulRefusal       Rule = "2-refusal"      // a refusal where a client's retry may do harm
	EffectRepeated       Rule = "2-effects"      // an effect happened twice after a refusal
	UnknownRequest       Rule = "2-unasked"      // a server was sent a request that no client had sent
	SentToDraining       Rule = "3-drain"        // a draining or removed server was sent something after the grace
	SlowStartOverload    Rule = "4-cold"         // a server in its slow start was sent more than it can do
)

// Breach is one rule broken once.
type Breach struct {
	Rule    Rule
	Request string // its trace id
	Servers []string
	At      time.Duration // when it was broken
	Limit   time.Duration // the latest time that keeps the rule; 0 if time does not matter
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

// String is the breach as one line.
func (b Breach) String() string {
	return fmt.Sprintf("%s: request %s, servers %v, at %v: %s", b.Rule, cmp.Or(b.Request, "-"), b.Servers, b.At, b.Text)
}

// Report is the judgement of a run.
type Report struct {
	Breaches []Breach       `json:"breaches"`
	Judged   Judged         `json:"judged"`
	Unjudged map[string]int `json:"unjudged,omitempty"` // how often, by the reason
}

// Judged counts what the report is based on: without a case that tests it, a rule is not known to be kept, only not broken.
type Judged struct {
	Calls      int `json:"calls"`        // rule 1
	Repeats    int `json:"repeats"`      // rule 2: attempts after the first
	Refusals   int `json:"refusals"`     // rule 2: refusals of what is not safe
	Drains     int `json:"after_drains"` // rule 3: servers reported as draining or removed, for each sidecar
	SlowStarts int `json:"cold_starts"`  // rule 4
}

// OK reports whether no rule was broken.
func (r *Report) OK() bool { return len(r.Breaches) == 0 }

// A sidecar may wait for a server before it gives up, but must not keep an answer until the client has no time left for a retry. So a
// refusal or failure counts as withheld if no attempt was made for over maxIdleFraction of the client's patience, and for longer
// than minIdle: an attempt to connect that fails takes that long, and no server sees it.
const (
	maxIdleFraction = 0.5
	minIdle         = 150 * time.Millisecond
)

// judge has the records of one run, sorted, and the report so far.
type judge struct {
	scenario *scenario.Scenario
	records  Records
	report   Report
	calls    map[string]*Call
	attempts map[string][]*Attempt           // by trace, in order of the first byte
	updates  map[sidecarServer][]StateUpdate // in order of time
}

// sidecarServer is a server as a sidecar knows it.
type sidecarServer struct {
	sidecar int
	server  string
}

// Judge judges a run of a scenario.
func Judge(s *scenario.Scenario, r Records) Report {
	j := &judge{
		scenario: s, records: r, report: Report{Breaches: []Breach{}, Unjudged: map[string]int{}},
		calls: map[string]*Call{}, attempts: map[string][]*Attempt{}, updates: map[sidecarServer][]StateUpdate{},
	}
	for i := range r.Calls {
		j.calls[r.Calls[i].Trace] = &r.Calls[i]
	}
	for i := range r.Attempts {
		a := &r.Attempts[i]
		j.attempts[a.Trace] = append(j.attempts[a.Trace], a)
	}
	for _, list := range j.attempts {
		slices.SortStableFunc(list, func(a, b *Attempt) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
	}
	for _, t := range r.StateUpdates {
		k := sidecarServer{t.Sidecar, t.Server}
		j.updates[k] = append(j.updates[k], t)
	}
	for _, list := range j.updates {
		slices.SortStableFunc(list, func(a, b StateUpdate) int { return cmp.Compare(a.ReceivedAt, b.ReceivedAt) })
	}
	for i := range r.Calls {
		j.judgeCall(&r.Calls[i])
	}
	j.judgeUnknownRequests()
	j.judgeEffects()
	j.judgeDrains()
	j.judgeSlowStarts()
	slices.SortStableFunc(j.report.Breaches, func(a, b Breach) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Request, b.Request))
	})
	return j.report
}

// breach reports a breach; c is nil if it is of no call.
func (j *judge) breach(rule Rule, c *Call, at, limit time.Duration, servers []string, format string, args ...any) {
	b := Breach{Rule: rule, At: at, Limit: limit, Servers: servers, Text: fmt.Sprintf(format, args...)}
	if c != nil {
		b.Request = c.Trace
	}
	j.report.Breaches = append(j.report.Breaches, b)
}

// countUnjudged counts a case that the records do not decide.
func (j *judge) countUnjudged(reason string) { j.report.Unjudged[reason]++ }

// serversOf are the names of the attempts' servers.
func serversOf(list ...*Attempt) (servers []string) {
	for _, a := range list {
		servers = append(servers, a.Server)
	}
	return servers
}

// class returns the class of a call or attempt; nil if there is none of the name.
func (j *judge) class(name string) *scenario.Class {
	if i := j.scenario.Class(name); i >= 0 {
		return &j.scenario.Classes[i]
	}
	return nil
}

// killed reports whether the run ended the call's sidecar while it had the request.
func (j *judge) killed(c *Call) bool {
	return slices.ContainsFunc(j.records.Kills, func(k Kill) bool {
		return k.Sidecar == c.Sidecar && k.From <= c.Sent+c.Patience && c.Sent <= k.To
	})
}

// judgeCall judges rules 1 and 2 for one request of a client.
func (j *judge) judgeCall(c *Call) {
	class, all := j.class(c.Class), j.attempts[c.Trace]
	// An idle connection may be closed when a request is sent on it and was not read; then its client sends it again.
	read := func(a *Attempt) bool { return a.FirstByte <= c.ConnectionLostAt }
	if c.ConnectionLostAt > 0 && slices.ContainsFunc(all, read) && !j.killed(c) {
		j.breach(Unanswered, c, c.ConnectionLostAt, 0, serversOf(all...), "it had been read, and its connection ended without an answer")
	}
	switch {
	case class == nil:
		j.countUnjudged("calls of no known class")
		return
	case c.Sent == Never:
		j.countUnjudged("calls that were not accepted")
		return
	}
	j.judgeRepeats(c, class, all)
	j.judgeRefusal(c, class, all)
	if j.killed(c) {
		j.countUnjudged("calls at a sidecar that the run ended")
		return
	}
	j.report.Judged.Calls++
	j.judgeAnswer(c, all)
	j.judgeLateAttempts(c, all)
	j.judgeWithheldAnswer(c, all)
}

// judgeAnswer judges whether a call got one complete answer in time.
func (j *judge) judgeAnswer(c *Call, all []*Attempt) {
	limit := c.Sent + c.Patience + j.scenario.Rules.Slack
	switch {
	case c.Answered == Never && c.HungUp != Never && c.HungUp < c.Sent+c.Patience:
		j.countUnjudged("calls whose client hung up early")
	case c.Answered > limit:
		j.breach(AnsweredLate, c, c.Answered, limit, serversOf(all...), "accepted at %v, answered %v too late", c.Sent, c.Answered-limit)
	case c.Answered == Never || c.Result == Lost:
		j.breach(Unanswered, c, limit, limit, serversOf(all...), "accepted at %v, no complete answer", c.Sent)
	}
	if slices.Contains(j.records.UnexpectedAnswers, c.Trace) {
		j.breach(AnsweredTwice, c, c.Answered, 0, serversOf(all...), "more than one answer came")
	}
	if c.Result == Served && !slices.ContainsFunc(all, func(a *Attempt) bool { return a.Status == 200 && a.Body == c.Body }) {
		j.breach(WrongBody, c, c.Answered, 0, serversOf(all...), "no server gave this answer to this request")
	}
}

// judgeLateAttempts looks for attempts that were made when the request was over.
func (j *judge) judgeLateAttempts(c *Call, all []*Attempt) {
	end := c.Sent + c.Patience + j.scenario.Rules.Slack
	switch {
	case c.Answered != Never:
		end = min(end, c.Answered+j.scenario.Rules.Slack)
	case c.HungUp != Never:
		end = min(end, c.HungUp+j.scenario.Rules.Slack)
	}
	for _, a := range all {
		if a.FirstByte > end {
			j.breach(SentAfterAnswer, c, a.FirstByte, end, serversOf(a), "sent %v after the request was over", a.FirstByte-end+j.scenario.Rules.Slack)
		}
	}
}

// judgeWithheldAnswer looks for a refusal or failure that came although no attempt was in flight for most of the client's time.
func (j *judge) judgeWithheldAnswer(c *Call, all []*Attempt) {
	if c.Result != Refused && c.Result != Failed {
		return
	}
	last := c.Sent
	for _, a := range all {
		if a.FirstByte <= c.Answered {
			last = max(last, a.End)
		}
	}
	margin := max(minIdle, time.Duration(maxIdleFraction*float64(c.Patience)))
	if c.Answered-last <= margin {
		return
	}
	if j.mayWait(c) {
		j.countUnjudged("late refusals and failures that may have waited for a server")
		return
	}
	j.breach(AnswerWithheld, c, c.Answered, last+margin, serversOf(all...),
		"%s %v after the last attempt", c.Result, c.Answered-last)
}

// judgeRepeats judges each attempt by those before it.
func (j *judge) judgeRepeats(c *Call, class *scenario.Class, all []*Attempt) {
	for n, a := range all {
		if n > 0 {
			j.report.Judged.Repeats++
		}
		for _, earlier := range all[:n] {
			// The earlier outcome must have been known, and have proved that nothing ran.
			proved := earlier.LastByte == Never || earlier.NeverRan && earlier.End <= a.FirstByte
			if proved || class.Effect == scenario.Safe {
				continue
			}
			switch limit := earlier.FirstByte + class.Window + j.scenario.Rules.Slack; {
			case class.Effect == scenario.Unsafe:
				j.breach(UnsafeRepeated, c, a.FirstByte, 0, serversOf(earlier, a), "sent again %v after it may have run", a.FirstByte-earlier.LastByte)
			case class.Group == scenario.GroupCell && a.Cell != earlier.Cell,
				class.Group == scenario.GroupZone && a.Zone != earlier.Zone:
				j.breach(RepeatedOutsideGroup, c, a.FirstByte, 0, serversOf(earlier, a), "may have run in another %s", class.Group)
			case a.FirstByte > limit:
				j.breach(RepeatedAfterWindow, c, a.FirstByte, limit, serversOf(earlier, a), "may have run %v ago, the key is kept for %v",
					a.FirstByte-earlier.FirstByte, class.Window)
			default:
				continue
			}
			break // one breach an attempt
		}
	}
}

// judgeRefusal judges a refusal, which promises that a retry does no harm.
func (j *judge) judgeRefusal(c *Call, class *scenario.Class, all []*Attempt) {
	if c.Result != Refused || class.Effect == scenario.Safe {
		return
	}
	j.report.Judged.Refusals++
	if class.Effect == scenario.Keyed && class.Group == scenario.GroupAll {
		return
	}
	for _, a := range all {
		if a.FirstByte <= c.Answered && a.MayHaveRun() {
			j.breach(HarmfulRefusal, c, c.Answered, 0, serversOf(a), "refused, though it may have run from %v on", a.LastByte)
			return
		}
	}
}

// judgeUnknownRequests looks for attempts of requests that no client sent.
func (j *judge) judgeUnknownRequests() {
	for i := range j.records.Attempts {
		if a := &j.records.Attempts[i]; j.calls[a.Trace] == nil {
			j.report.Breaches = append(j.report.Breaches, Breach{
				Rule: UnknownRequest, Request: a.Trace, Servers: serversOf(a), At: a.FirstByte, Text: "no client sent a request of this id",
			})
		}
	}
}

// judgeEffects counts what ran, over all requests of a client for one operation: a refusal promises that a retry does no harm.
func (j *judge) judgeEffects() {
	ran := map[string][]*Attempt{}
	var order []string
	for i := range j.records.Attempts {
		a := &j.records.Attempts[i]
		class := j.class(a.Class)
		if class == nil || class.Effect == scenario.Safe || a.WorkStarted == Never || a.KeyKnown || a.Operation == "" {
			continue
		}
		op := a.Class + "/" + a.Operation
		if ran[op] == nil {
			order = append(order, op)
		}
		ran[op] = append(ran[op], a)
	}
	for _, op := range order {
		list := ran[op]
		slices.SortStableFunc(list, func(a, b *Attempt) int { return cmp.Compare(a.WorkStarted, b.WorkStarted) })
		for n, a := range list[1:] {
			first := list[n]
			c := j.calls[first.Trace]
			switch {
			case first.Trace == a.Trace || c == nil: // judged as a repeat
			case c.Result == Refused:
				j.breach(EffectRepeated, c, a.WorkStarted, 0, serversOf(first, a), "ran at %v, was refused, and ran again as %s", first.WorkStarted, a.Trace)
			default:
				j.countUnjudged("effects that happened twice by a client's own retry")
			}
		}
	}
}
