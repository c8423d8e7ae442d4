package capacity

import "math"

// calls are the rows of a sidecar's calls.
func (m *model) calls() {
	rate := div(m.is("target.calls"), m.servers)
	busiest := mul(rate, m.is("shape.busiest_sidecar"))
	const path = "balance, internal/sidecar/core, internal/sidecar/front/platform, internal/sidecar/upstream/http1"
	m.put(Row{Time: Ordinary, Role: Calls, What: "calls in the mean", Unit: "1/s", Need: rate, Mechanism: path})
	one := Figure{Value: 1} // sidecar on the way
	depth := m.is("target.depth")
	for _, c := range []struct {
		time, what string
		rate       Figure
	}{{Ordinary, "in the mean", rate}, {Busiest, "at the busiest", busiest}} {
		m.put(Row{Time: c.time, Role: Calls, What: "added to a call for 99 in 100, " + c.what, Unit: "s",
			Need: m.rated("added_p99_us", one, c.rate).times(1e-6), Budget: to(m.is("target.added")),
			Breaks: BreaksTime, Mechanism: path, Needs: []string{"every call of a chain"}})
		m.put(Row{Time: c.time, Role: Calls, What: "added to a call for half of them, " + c.what, Unit: "s",
			Need: m.rated("added_p50_us", one, c.rate).times(1e-6), Budget: to(m.is("target.added")),
			Breaks: BreaksTime, Mechanism: path, Needs: []string{"every call of a chain"}})
		m.put(Row{Time: c.time, Role: Calls, What: "processor time for calls, " + c.what, Unit: "cores",
			Need: cores(mul(c.rate, m.rated("cpu_us_call", one, c.rate))), Mechanism: path})
	}
	m.put(Row{Time: Ordinary, Role: Calls, What: "added over the deepest chain for 99 in 100, in the mean", Unit: "s",
		Need: m.rated("added_p99_us", depth, rate).times(1e-6), Budget: to(mul(m.is("target.added"), depth)),
		Breaks: BreaksTime, Mechanism: path})
	m.put(Row{Time: Busiest, Role: Calls,
		What: "attempts at the leaf of the deepest chain, a call, where some of them fail", Unit: "",
		Need: m.failing("attempts_call", depth), Budget: to(m.is("shape.attempts_at_leaf")), Breaks: BreaksTime,
		Mechanism: "balance (repeats, refusals)", Needs: []string{Zone, "servers that are at their limit"}})
	all := add(one, m.is("limits.repeat_share"))
	m.put(Row{Time: Busiest, Role: Calls,
		What: "attempts at the leaf of the deepest chain, a call, where all fail, as each sidecar's repeats allow",
		Unit: "", Need: Figure{Value: math.Pow(all.Value, depth.Value)}.with(all, depth),
		Budget: to(m.is("shape.attempts_at_leaf")), Breaks: BreaksTime,
		Mechanism: "balance (repeatShare, each sidecar for itself)",
		Needs:     []string{Zone, "servers that are at their limit"}})
	m.put(Row{Time: Ordinary, Role: Calls, What: "a decision in the largest service", Unit: "s",
		Need:   m.at("decision", "sidecar", "ns", m.is("shape.largest")).times(1e-9),
		Budget: to(mul(m.is("target.added"), m.is("shape.decision_share"))), Breaks: BreaksTime,
		Mechanism: "balance (pick.go, a subset)", Needs: []string{"every call"}})
}

// control are the rows of what a sidecar and its machine's agent spend on control.
func (m *model) control() {
	const by = "internal/coordination/machine, internal/coordination/distribute, internal/sidecar/member/discovery"
	agents := m.is("places.sidecars_a_machine") // an agent's cost is shared by its machine's sidecars
	a := func(metric string) Figure {           // of members and agents a run tells the mean of one
		return div(add(mul(m.is("places.sessions_a_machine"), m.at("renewals", "member", metric, m.sessions)),
			m.at("watches", "agent", metric, m.machines)), agents)
	}
	rest := func(metric string) Figure { return m.at("watches", "sidecar", metric, m.machines) } // with one short list
	look := func(metric string) Figure { return div(m.at("looks", "agent", metric, m.machines), agents) }
	m.put(Row{Time: Ordinary, Role: Control, What: "processor time", Unit: "cores",
		Need: cores(add(a("cpu_us_s"), rest("cpu_us_s"), look("cpu_us_s"),
			m.at("lists", "sidecar", "cpu_us_s", m.servers))),
		Budget: to(m.is("target.control_core")), Breaks: BreaksTime, Mechanism: by})
	m.put(Row{Time: Ordinary, Role: Control, What: "processor time of a real agent and sidecar at rest, with one short list",
		Unit: "cores", Need: cores(add(div(m.at("watches", "agent", "cpu_us_s", m.machines), agents), rest("cpu_us_s"))),
		Budget: to(m.is("target.control_core")), Breaks: BreaksTime, Mechanism: by})
	m.put(Row{Time: Ordinary, Role: Control, What: "memory of a real agent and sidecar, as versions come into force",
		Unit: "bytes", Need: add(div(m.at("publish", "agent", "busy_memory_bytes", m.machines), agents),
			m.at("publish", "sidecar", "busy_memory_bytes", m.machines)),
		Budget: to(m.is("target.control_memory")), Breaks: BreaksRule, Mechanism: by})
	lists := m.listBytes(m.listed)
	m.put(Row{Time: Ordinary, Role: Control, What: "bytes in and out", Unit: "bytes/s",
		Need:   add(a("bytes_in_s"), a("bytes_out_s"), look("bytes_in_s"), look("bytes_out_s"), lists),
		Budget: to(m.is("target.control_bytes")), Breaks: BreaksTime, Mechanism: by})
	m.put(Row{Time: Ordinary, Role: Control, What: "bytes of lists alone", Unit: "bytes/s", Need: lists,
		Budget: to(m.is("target.control_bytes")), Breaks: BreaksTime, Mechanism: "internal/sidecar/member/discovery"})
	m.put(Row{Time: Ordinary, Role: Control, What: "lists held, as text", Unit: "bytes",
		Need: mul(m.known, m.is("lists.entry_bytes")), Budget: to(m.is("target.control_memory")), Breaks: BreaksRule,
		Mechanism: "internal/sidecar/member, balance (list.go)"})
	m.put(Row{Time: Ordinary, Role: Control, What: "memory of the whole process, calls counted", Unit: "bytes",
		Need: add(m.rated("memory_bytes", Figure{Value: 1}, div(m.is("target.calls"), m.servers)), a("memory_bytes"),
			m.at("lists", "sidecar", "memory_bytes", m.servers)),
		Budget: to(m.is("target.control_memory")), Breaks: BreaksRule, Mechanism: "internal/sidecar/membudget, " + by})
	m.put(Row{Time: Ordinary, Role: Control, What: "the largest list in one message", Unit: "bytes",
		Need: mul(m.is("shape.largest"), m.is("lists.entry_bytes")), Budget: to(m.is("limits.max_list")),
		Breaks: BreaksRule, Mechanism: "internal/sidecar/member/discovery", Needs: []string{Zone, Restarts}})
	m.put(Row{Time: Ordinary, Role: Agent, What: "sidecars in one watch's reports", Unit: "",
		Need: m.is("places.sidecars_a_machine"), Budget: to(m.is("limits.max_reports")), Breaks: BreaksRule,
		Mechanism: "internal/coordination/distribute", Needs: []string{After}})
	m.put(Row{Time: Ordinary, Role: Agent, What: "looks, watches and renewals", Unit: "1/s",
		Need: add(div(Figure{Value: 1}, m.is("periods.look_every")),
			div(Figure{Value: 1}, m.is("periods.watch_hold")), div(m.is("periods.renewals_a_ttl"),
				m.is("periods.lease_ttl"))),
		Mechanism: "internal/coordination/machine, internal/coordination/distribute, lease"})
}

// listBytes are the bytes a second of all lists of one sidecar, where lists change so often in all: empty lines, and
// a line a change.
func (m *model) listBytes(changes Figure) Figure {
	empty := mul(m.is("shape.fan_out"), div(m.is("lists.line_bytes"), m.is("lists.empty_line_every")))
	return add(empty, m.newsBytes(changes))
}

// newsBytes are the bytes that a sidecar is told of so many changes of servers, anywhere: of those it knows.
func (m *model) newsBytes(changes Figure) Figure {
	return mul(changes, div(m.known, m.servers), add(m.is("lists.entry_bytes"), m.is("lists.line_bytes")))
}
