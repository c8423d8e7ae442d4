package capacity

import "math"

// addCallRows adds the rows of a sidecar's calls.
func (m *model) addCallRows() {
	rate := div(m.assumption("target.calls"), m.servers)
	busiest := mul(rate, m.assumption("shape.busiest_sidecar"))
	const path = "balance, internal/sidecar/core, internal/sidecar/front/platform, internal/sidecar/upstream/http1"
	m.addRow(Row{Time: Ordinary, Role: SidecarCalls, Quantity: "mean rate of calls", Unit: unitPerSecond, Need: rate, Mechanism: path})
	one := Figure{Value: 1} // the depth of a call through one sidecar
	depth := m.assumption("target.depth")
	for _, c := range []struct {
		time, what string
		rate       Figure
	}{{Ordinary, "at the mean rate", rate}, {Busiest, "at the busiest sidecar", busiest}} {
		m.addRow(Row{Time: c.time, Role: SidecarCalls, Quantity: "latency added to a call, p99, " + c.what, Unit: unitSeconds,
			Need: m.measuredAtRate("added_p99_us", one, c.rate).times(1e-6), Budget: m.limit("target.added_latency"),
			Breaks: BreaksTime, Mechanism: path, NeededBy: []string{"every call of a chain"}})
		m.addRow(Row{Time: c.time, Role: SidecarCalls, Quantity: "latency added to a call, p50, " + c.what, Unit: unitSeconds,
			Need: m.measuredAtRate("added_p50_us", one, c.rate).times(1e-6), Budget: m.limit("target.added_latency"),
			Breaks: BreaksTime, Mechanism: path, NeededBy: []string{"every call of a chain"}})
		m.addRow(Row{Time: c.time, Role: SidecarCalls, Quantity: "processor time for calls, " + c.what, Unit: unitCores,
			Need: coresFromMicros(mul(c.rate, m.measuredAtRate("cpu_us_call", one, c.rate))), Mechanism: path})
	}
	m.addRow(Row{Time: Ordinary, Role: SidecarCalls, Quantity: "latency added over the deepest chain, p99, at the mean rate", Unit: unitSeconds,
		Need: m.measuredAtRate("added_p99_us", depth, rate).times(1e-6), Budget: pointerTo(mul(m.assumption("target.added_latency"), depth)),
		Breaks: BreaksTime, Mechanism: path})
	m.addRow(Row{Time: Busiest, Role: SidecarCalls,
		Quantity: "attempts at the leaf of the deepest chain per call, if some fail", Unit: unitNone,
		Need: m.measuredWithFailures("attempts_call", depth), Budget: m.limit("shape.attempts_at_leaf"), Breaks: BreaksTime,
		Mechanism: "balance (retries, refusals)", NeededBy: []string{ZoneLost, "servers that are at their limit"}})
	all := add(one, m.assumption("limits.retry_ratio"))
	m.addRow(Row{Time: Busiest, Role: SidecarCalls,
		Quantity: "attempts at the leaf of the deepest chain per call, if all fail, as each sidecar's retry budget allows",
		Unit:     unitNone, Need: Figure{Value: math.Pow(all.Value, depth.Value)}.with(all, depth),
		Budget: m.limit("shape.attempts_at_leaf"), Breaks: BreaksTime,
		Mechanism: "balance (retryRatio, each sidecar for itself)",
		NeededBy:  []string{ZoneLost, "servers that are at their limit"}})
	m.addRow(Row{Time: Ordinary, Role: SidecarCalls, Quantity: "a decision in the largest service", Unit: unitSeconds,
		Need:   m.measured("decision", "sidecar", "ns", m.assumption("shape.largest")).times(1e-9),
		Budget: pointerTo(mul(m.assumption("target.added_latency"), m.assumption("shape.decision_share"))), Breaks: BreaksTime,
		Mechanism: "balance (pick.go, a subset)", NeededBy: []string{"every call"}})
}

// addControlRows adds the rows of what a sidecar and its machine's agent use for control.
func (m *model) addControlRows() {
	const by = "internal/coordination/machine, internal/coordination/distribute, internal/sidecar/member/discovery"
	agents := m.assumption("topology.sidecars_a_machine") // the cost of an agent is shared by its machine's sidecars
	// agentShare is a sidecar's share of what its agent needs. Runs have the mean of a member and of an agent.
	agentShare := func(metric string) Figure {
		return div(add(mul(m.assumption("topology.sessions_a_machine"), m.measured("renewals", "member", metric, m.sessions)),
			m.measured("watches", "agent", metric, m.machines)), agents)
	}
	rest := func(metric string) Figure { return m.measured("watches", "sidecar", metric, m.machines) } // with one short list
	poll := func(metric string) Figure { return div(m.measured("looks", "agent", metric, m.machines), agents) }
	m.addRow(Row{Time: Ordinary, Role: SidecarControl, Quantity: "processor time", Unit: unitCores,
		Need: coresFromMicros(add(agentShare("cpu_us_s"), rest("cpu_us_s"), poll("cpu_us_s"),
			m.measured("lists", "sidecar", "cpu_us_s", m.servers))),
		Budget: m.limit("target.control_core"), Breaks: BreaksTime, Mechanism: by})
	m.addRow(Row{Time: Ordinary, Role: SidecarControl, Quantity: "processor time of a real agent and sidecar at rest, with one short list",
		Unit: unitCores, Need: coresFromMicros(add(div(m.measured("watches", "agent", "cpu_us_s", m.machines), agents), rest("cpu_us_s"))),
		Budget: m.limit("target.control_core"), Breaks: BreaksTime, Mechanism: by})
	m.addRow(Row{Time: Ordinary, Role: SidecarControl, Quantity: "memory of a real agent and sidecar, as versions come into force",
		Unit: unitBytes, Need: add(div(m.measured("publish", "agent", "busy_memory_bytes", m.machines), agents),
			m.measured("publish", "sidecar", "busy_memory_bytes", m.machines)),
		Budget: m.limit("target.control_memory"), Breaks: BreaksRule, Mechanism: by})
	lists := m.listBytes(m.listChangeRate)
	m.addRow(Row{Time: Ordinary, Role: SidecarControl, Quantity: "bytes in and out", Unit: unitBytesPerSecond,
		Need:   add(agentShare("bytes_in_s"), agentShare("bytes_out_s"), poll("bytes_in_s"), poll("bytes_out_s"), lists),
		Budget: m.limit("target.control_bytes"), Breaks: BreaksTime, Mechanism: by})
	m.addRow(Row{Time: Ordinary, Role: SidecarControl, Quantity: "bytes of lists alone", Unit: unitBytesPerSecond, Need: lists,
		Budget: m.limit("target.control_bytes"), Breaks: BreaksTime, Mechanism: "internal/sidecar/member/discovery"})
	m.addRow(Row{Time: Ordinary, Role: SidecarControl, Quantity: "lists in memory, as text", Unit: unitBytes,
		Need: mul(m.knownServers, m.assumption("lists.entry_bytes")), Budget: m.limit("target.control_memory"), Breaks: BreaksRule,
		Mechanism: "internal/sidecar/member, balance (list.go)"})
	m.addRow(Row{Time: Ordinary, Role: SidecarControl, Quantity: "memory of the process, calls counted", Unit: unitBytes,
		Need: add(m.measuredAtRate("memory_bytes", Figure{Value: 1}, div(m.assumption("target.calls"), m.servers)), agentShare("memory_bytes"),
			m.measured("lists", "sidecar", "memory_bytes", m.servers)),
		Budget: m.limit("target.control_memory"), Breaks: BreaksRule, Mechanism: "internal/sidecar/membudget, " + by})
	m.addRow(Row{Time: Ordinary, Role: SidecarControl, Quantity: "the largest list in one message", Unit: unitBytes,
		Need: mul(m.assumption("shape.largest"), m.assumption("lists.entry_bytes")), Budget: m.limit("limits.max_list"),
		Breaks: BreaksRule, Mechanism: "internal/sidecar/member/discovery", NeededBy: []string{ZoneLost, AllRestarted}})
	m.addRow(Row{Time: Ordinary, Role: Agent, Quantity: "sidecars in one watch's reports", Unit: unitNone,
		Need: m.assumption("topology.sidecars_a_machine"), Budget: m.limit("limits.max_reports"), Breaks: BreaksRule,
		Mechanism: "internal/coordination/distribute", NeededBy: []string{ByVersion}})
	m.addRow(Row{Time: Ordinary, Role: Agent, Quantity: "polls, watches and renewals", Unit: unitPerSecond,
		Need: add(div(Figure{Value: 1}, m.assumption("periods.poll_interval")),
			div(Figure{Value: 1}, m.assumption("periods.watch_timeout")), div(m.assumption("periods.renewals_a_ttl"),
				m.assumption("periods.lease_ttl"))),
		Mechanism: "internal/coordination/machine, internal/coordination/distribute, lease"})
}

// listBytes is the traffic of all lists of one sidecar, in bytes per second, at a rate of changes of all lists: empty lines, and a line per
// change.
func (m *model) listBytes(changes Figure) Figure {
	empty := mul(m.assumption("shape.fan_out"), div(m.assumption("lists.line_bytes"), m.assumption("lists.empty_line_every")))
	return add(empty, m.listUpdateBytes(changes))
}

// listUpdateBytes is what a sidecar receives for so many changes of servers anywhere: those of the servers that it knows.
func (m *model) listUpdateBytes(changes Figure) Figure {
	return mul(changes, div(m.knownServers, m.servers), add(m.assumption("lists.entry_bytes"), m.assumption("lists.line_bytes")))
}
