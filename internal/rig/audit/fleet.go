package audit

import (
	"cmp"
	"slices"
	"time"

	"petrelhook/internal/rig/scenario"
)

// since gives the state of a server that a sidecar was told last at a time, and when; ok: it was told of it at all.
func (j *judge) since(sidecar int, server string, at time.Duration) (state State, told time.Duration, ok bool) {
	for _, t := range j.told[place{sidecar, server}] {
		if t.At > at {
			break
		}
		if !ok || t.State != state && !(off(t.State) && off(state)) { // from draining to gone: the grace began before
			told = t.At
		}
		state, ok = t.State, true
	}
	return state, told, ok
}

func off(s State) bool { return s == Draining || s == Removed }

// drains judges rule 3: each attempt by what its sidecar knew of the server.
func (j *judge) drains() {
	for _, news := range j.told {
		if slices.ContainsFunc(news, func(t Told) bool { return off(t.State) }) {
			j.out.Judged.AfterDrains++
		}
	}
	grace := j.s.Rules.DrainGrace + j.s.Rules.Slack
	for i := range j.r.Attempts {
		a := &j.r.Attempts[i]
		c := j.calls[a.Trace]
		if c == nil {
			continue
		}
		state, told, known := j.since(c.Sidecar, a.Server, a.First)
		server := a.Server
		if !known { // it means whoever was at the address before
			server, state, told, known = j.before(c.Sidecar, a)
		}
		switch {
		case !known:
			j.unjudged("attempts at servers that the sidecar was not told of")
		case off(state) && a.First > told+grace:
			j.breach(Drained, c, a.First, told+grace, []string{server}, "sent %v after the sidecar was told %q", a.First-told, state)
		}
	}
}

// before is what a sidecar knew of the last instance at an attempt's address that it was told of.
func (j *judge) before(sidecar int, a *Attempt) (server string, state State, told time.Duration, known bool) {
	for _, l := range j.r.Lives {
		if l.Place != a.Place || l.Server == a.Server {
			continue
		}
		if s, at, ok := j.since(sidecar, l.Server, a.First); ok && (!known || at > told) {
			server, state, told, known = l.Server, s, at, true
		}
	}
	return server, state, told, known
}

// coldStarts judges rule 4: each cold life by the work that reached it.
func (j *judge) coldStarts() {
	for _, l := range j.r.Lives {
		if l.Cold.Duration <= 0 {
			continue
		}
		j.out.Judged.ColdStarts++
		def, _ := j.s.Server(l.Place)
		pressure := scenario.NewPressure(j.s.Rules, def, l.Cold)
		var reached []*Attempt
		for i := range j.r.Attempts {
			if a := &j.r.Attempts[i]; a.Server == l.Server && a.Last != Never && a.Last >= l.Start && a.Last <= l.End {
				reached = append(reached, a)
			}
		}
		slices.SortStableFunc(reached, func(a, b *Attempt) int { return cmp.Compare(a.Last, b.Last) })
		for n, a := range reached {
			if over := pressure.Add(a.Last-l.Start, a.Work); over > 1 {
				j.pushed(l, reached[:n+1], over)
				break
			}
		}
	}
}

// pushed is a breach if two thirds of the work came from sidecars that had been told of the start.
func (j *judge) pushed(l Life, reached []*Attempt, over float64) {
	end := reached[len(reached)-1].Last
	all, knowing := time.Duration(0), time.Duration(0)
	for _, a := range reached {
		if a.Last <= end-j.s.Rules.OverloadTime {
			continue
		}
		all += a.Work
		c := j.calls[a.Trace]
		if c != nil && slices.ContainsFunc(j.told[place{c.Sidecar, l.Server}], func(t Told) bool {
			return t.State == Up && t.At >= l.Start && t.At <= a.First
		}) {
			knowing += a.Work
		}
	}
	if 3*knowing < 2*all {
		j.unjudged("cold servers pushed over by sidecars that were not told of their start")
		return
	}
	j.breach(Pushed, nil, end, 0, []string{l.Server}, "sent %.2f times what a cold server bears, %v after its start",
		over, end-l.Start)
}

// mayWait reports whether a call may have waited for a server to the end: one that broke connections may be taken for
// one that has restarted, hence cold, and it takes as long as a cold start to show that it is not; what was sent to a
// machine that is cut off, or to a server that had just died, reached nobody.
func (j *judge) mayWait(c *Call) bool {
	return slices.ContainsFunc(j.s.Faults, func(f scenario.Fault) bool {
		switch f.Kind {
		case scenario.ResetRequest, scenario.ResetResponse, scenario.Isolated, scenario.Terminate, scenario.Restart, scenario.Replace:
			return j.r.Began+f.At <= c.Answered && j.r.Began+f.End()+j.s.Rules.SlowStartTime >= c.Sent
		}
		return false
	})
}
