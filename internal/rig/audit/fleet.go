package audit

import (
	"cmp"
	"slices"
	"time"

	"petrelhook/internal/rig/scenario"
)

// stateAt is the state of a server that a sidecar knew at a time, and since when; ok: it knew the server.
func (j *judge) stateAt(sidecar int, server string, at time.Duration) (state State, since time.Duration, ok bool) {
	for _, t := range j.updates[sidecarServer{sidecar, server}] {
		if t.ReceivedAt > at {
			break
		}
		if !ok || t.State != state && !(leaving(t.State) && leaving(state)) { // from draining to removed: the grace began before
			since = t.ReceivedAt
		}
		state, ok = t.State, true
	}
	return state, since, ok
}

// leaving reports whether a server in a state gets no new requests.
func leaving(s State) bool { return s == Draining || s == Removed }

// judgeDrains judges rule 3: each attempt by what its sidecar knew of the server.
func (j *judge) judgeDrains() {
	for _, updates := range j.updates {
		if slices.ContainsFunc(updates, func(t StateUpdate) bool { return leaving(t.State) }) {
			j.report.Judged.Drains++
		}
	}
	grace := j.scenario.Rules.DrainGrace + j.scenario.Rules.Slack
	for i := range j.records.Attempts {
		a := &j.records.Attempts[i]
		c := j.calls[a.Trace]
		if c == nil {
			continue
		}
		state, since, known := j.stateAt(c.Sidecar, a.Server, a.FirstByte)
		server := a.Server
		if !known { // it knows the address from the instance before
			server, state, since, known = j.previousInstance(c.Sidecar, a)
		}
		switch {
		case !known:
			j.countUnjudged("attempts at servers that the sidecar did not know")
		case leaving(state) && a.FirstByte > since+grace:
			j.breach(SentToDraining, c, a.FirstByte, since+grace, []string{server}, "sent %v after the sidecar received %q", a.FirstByte-since, state)
		}
	}
}

// previousInstance is what a sidecar knew of the latest instance at an attempt's address that it had in its list.
func (j *judge) previousInstance(sidecar int, a *Attempt) (server string, state State, since time.Duration, known bool) {
	for _, l := range j.records.Incarnations {
		if l.FirstInstance != a.FirstInstance || l.Server == a.Server {
			continue
		}
		if s, at, ok := j.stateAt(sidecar, l.Server, a.FirstByte); ok && (!known || at > since) {
			server, state, since, known = l.Server, s, at, true
		}
	}
	return server, state, since, known
}

// judgeSlowStarts judges rule 4: each incarnation with a slow start, by the work that arrived at it.
func (j *judge) judgeSlowStarts() {
	for _, l := range j.records.Incarnations {
		if l.SlowStart.Duration <= 0 {
			continue
		}
		j.report.Judged.SlowStarts++
		def, _ := j.scenario.Server(l.FirstInstance)
		pressure := scenario.NewPressure(j.scenario.Rules, def, l.SlowStart)
		var reached []*Attempt
		for i := range j.records.Attempts {
			if a := &j.records.Attempts[i]; a.Server == l.Server && a.LastByte != Never && a.LastByte >= l.Start && a.LastByte <= l.End {
				reached = append(reached, a)
			}
		}
		slices.SortStableFunc(reached, func(a, b *Attempt) int { return cmp.Compare(a.LastByte, b.LastByte) })
		for n, a := range reached {
			if over := pressure.Add(a.LastByte-l.Start, a.Work); over > 1 {
				j.judgeOverload(l, reached[:n+1], over)
				break
			}
		}
	}
}

// judgeOverload reports a breach if two thirds of the work came from sidecars that knew of the start.
func (j *judge) judgeOverload(l Incarnation, reached []*Attempt, over float64) {
	end := reached[len(reached)-1].LastByte
	total, informed := time.Duration(0), time.Duration(0)
	for _, a := range reached {
		if a.LastByte <= end-j.scenario.Rules.OverloadTime {
			continue
		}
		total += a.Work
		c := j.calls[a.Trace]
		if c != nil && slices.ContainsFunc(j.updates[sidecarServer{c.Sidecar, l.Server}], func(t StateUpdate) bool {
			return t.State == Up && t.ReceivedAt >= l.Start && t.ReceivedAt <= a.FirstByte
		}) {
			informed += a.Work
		}
	}
	if 3*informed < 2*total {
		j.countUnjudged("servers overloaded in their slow start by sidecars that did not know of it")
		return
	}
	j.breach(SlowStartOverload, nil, end, 0, []string{l.Server}, "sent %.2f times what a server in its slow start can do, %v after its start",
		over, end-l.Start)
}

// mayWait reports whether a call may have waited for a server until its end. A sidecar may take a server that lost connections for
// one that has restarted, and so is in its slow start, for as long as a slow start takes; an attempt at an isolated machine, or at a
// server that has just ended, arrives at no server.
func (j *judge) mayWait(c *Call) bool {
	return slices.ContainsFunc(j.scenario.Faults, func(f scenario.Fault) bool {
		switch f.Kind {
		case scenario.ResetRequest, scenario.ResetResponse, scenario.Isolated, scenario.Terminate, scenario.Restart, scenario.Replace:
			return j.records.Began+f.At <= c.Answered && j.records.Began+f.End()+j.scenario.Rules.SlowStartTime >= c.Sent
		}
		return false
	})
}
