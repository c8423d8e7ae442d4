package capacity

import "math"

// addCallRows adds the rows of a sidecar's calls.
func (m *model) addCallRows() {
	rate := div(m.assumption("target.calls"), m.servers)
	busiest := mul(rate, m.assumption("shape.busiest_sidecar"))
	const callMechanism = "balance, internal/sidecar/core, internal/sidecar/front/platform, internal/sidecar/upstream/http1"
	m.addRow(Row{Situation: Ordinary, Role: SidecarCalls, Quantity: "mean rate of calls", Unit: unitPerSecond, Need: rate, Mechanism: callMechanism})
	one := Figure{Value: 1} // the depth of a call through one sidecar; its first attempt
	depth := m.assumption("target.depth")
	for _, c := range []struct {
		situation, load string
		rate            Figure
	}{{Ordinary, "at the mean rate", rate}, {Busiest, "at the busiest sidecar", busiest}} {
		m.addRow(Row{Situation: c.situation, Role: SidecarCalls, Quantity: "latency added to a call, p99, " + c.load, Unit: unitSeconds,
			Need: m.measuredAtRate("added_p99_us", one, c.rate).times(1e-6), Budget: m.limit("target.added_latency"),
			Breaks: BreaksTime, Mechanism: callMechanism, NeededBy: []string{"every call of a chain"}})
		m.addRow(Row{Situation: c.situation, Role: SidecarCalls, Quantity: "latency added to a call, p50, " + c.load, Unit: unitSeconds,
			Need: m.measuredAtRate("added_p50_us", one, c.rate).times(1e-6), Budget: m.limit("target.added_latency"),
			Breaks: BreaksTime, Mechanism: callMechanism, NeededBy: []string{"every call of a chain"}})
		m.addRow(Row{Situation: c.situation, Role: SidecarCalls, Quantity: "processor time for calls, " + c.load, Unit: unitCores,
			Need: coresFromMicros(mul(c.rate, m.measuredAtRate("cpu_us_call", one, c.rate))), Mechanism: callMechanism})
	}
	m.addRow(Row{Situation: Ordinary, Role: SidecarCalls, Quantity: "latency added over the deepest chain, p99, at the mean rate", Unit: unitSeconds,
		Need: m.measuredAtRate("added_p99_us", depth, rate).times(1e-6), Budget: pointerTo(mul(m.assumption("target.added_latency"), depth)),
		Breaks: BreaksTime, Mechanism: callMechanism})
	m.addRow(Row{Situation: Busiest, Role: SidecarCalls,
		Quantity: "attempts at the leaf of the deepest chain per call, if some fail", Unit: unitNone,
		Need: m.measuredWithFailures("attempts_call", depth), Budget: m.limit("shape.attempts_at_leaf"), Breaks: BreaksTime,
		Mechanism: "balance (retries, refusals)", NeededBy: []string{ZoneLost, "servers that are at their limit"}})
	attemptsPerSidecar := add(one, m.assumption("limits.retry_ratio"))
	m.addRow(Row{Situation: Busiest, Role: SidecarCalls,
		Quantity: "attempts at the leaf of the deepest chain per call, if all fail, as each sidecar's retry budget allows",
		Unit:     unitNone, Need: Figure{Value: math.Pow(attemptsPerSidecar.Value, depth.Value)}.with(attemptsPerSidecar, depth),
		Budget: m.limit("shape.attempts_at_leaf"), Breaks: BreaksTime,
		Mechanism: "balance (retryRatio, each sidecar for itself)",
		NeededBy:  []string{ZoneLost, "servers that are at their limit"}})
	m.addRow(Row{Situation: Ordinary, Role: SidecarCalls, Quantity: "a decision in the largest service", Unit: unitSeconds,
		Need:   m.measured("decision", "sidecar", "ns", m.assumption("shape.largest")).times(1e-9),
		Budget: pointerTo(mul(m.assumption("target.added_latency"), m.assumption("shape.decision_share"))), Breaks: BreaksTime,
		Mechanism: "balance (pick.go, a subset)", NeededBy: []string{"every call"}})
}

// addControlRows adds the rows of the resources that a sidecar and the agent of its machine use for control.
func (m *model) addControlRows() {
	const controlMechanism = "internal/coordination/machine, internal/coordination/distribute, internal/sidecar/member/discovery"
	sidecarsPerMachine := m.assumption("topology.sidecars_a_machine") // the sidecars of a machine share the cost of its agent
	// agentShare returns a sidecar's share of a metric of its agent. The runs measured the means over members and over agents.
	agentShare := func(metric string) Figure {
		return div(add(mul(m.assumption("topology.sessions_a_machine"), m.measured("renewals", "member", metric, m.sessions)),
			m.measured("watches", "agent", metric, m.machines)), sidecarsPerMachine)
	}
	idleSidecar := func(metric string) Figure { return m.measured("watches", "sidecar", metric, m.machines) } // at rest, with one short list
	agentPoll := func(metric string) Figure {
		return div(m.measured("looks", "agent", metric, m.machines), sidecarsPerMachine)
	}
	m.addRow(Row{Situation: Ordinary, Role: SidecarControl, Quantity: "processor time", Unit: unitCores,
		Need: coresFromMicros(add(agentShare("cpu_us_s"), idleSidecar("cpu_us_s"), agentPoll("cpu_us_s"),
			m.measured("lists", "sidecar", "cpu_us_s", m.servers))),
		Budget: m.limit("target.control_core"), Breaks: BreaksTime, Mechanism: controlMechanism})
	m.addRow(Row{Situation: Ordinary, Role: SidecarControl, Quantity: "processor time of a real agent and sidecar at rest, with one short list",
		Unit: unitCores, Need: coresFromMicros(add(div(m.measured("watches", "agent", "cpu_us_s", m.machines), sidecarsPerMachine), idleSidecar("cpu_us_s"))),
		Budget: m.limit("target.control_core"), Breaks: BreaksTime, Mechanism: controlMechanism})
	m.addRow(Row{Situation: Ordinary, Role: SidecarControl, Quantity: "memory of a real agent and sidecar, as versions come into force",
		Unit: unitBytes, Need: add(div(m.measured("publish", "agent", "busy_memory_bytes", m.machines), sidecarsPerMachine),
			m.measured("publish", "sidecar", "busy_memory_bytes", m.machines)),
		Budget: m.limit("target.control_memory"), Breaks: BreaksRule, Mechanism: controlMechanism})
	lists := m.listBytes(m.listChangeRate)
	m.addRow(Row{Situation: Ordinary, Role: SidecarControl, Quantity: "bytes in and out", Unit: unitBytesPerSecond,
		Need:   add(agentShare("bytes_in_s"), agentShare("bytes_out_s"), agentPoll("bytes_in_s"), agentPoll("bytes_out_s"), lists),
		Budget: m.limit("target.control_bytes"), Breaks: BreaksTime, Mechanism: controlMechanism})
	m.addRow(Row{Situation: Ordinary, Role: SidecarControl, Quantity: "bytes of lists alone", Unit: unitBytesPerSecond, Need: lists,
		Budget: m.limit("target.control_bytes"), Breaks: BreaksTime, Mechanism: "internal/sidecar/member/discovery"})
	m.addRow(Row{Situation: Ordinary, Role: SidecarControl, Quantity: "lists in memory, as text", Unit: unitBytes,
		Need: mul(m.knownServers, m.assumption("lists.entry_bytes")), Budget: m.limit("target.control_memory"), Breaks: BreaksRule,
		Mechanism: "internal/sidecar/member, balance (list.go)"})
	m.addRow(Row{Situation: Ordinary, Role: SidecarControl, Quantity: "memory of the process, calls counted", Unit: unitBytes,
		Need: add(m.measuredAtRate("memory_bytes", Figure{Value: 1}, div(m.assumption("target.calls"), m.servers)), agentShare("memory_bytes"),
			m.measured("lists", "sidecar", "memory_bytes", m.servers)),
		Budget: m.limit("target.control_memory"), Breaks: BreaksRule, Mechanism: "internal/sidecar/membudget, " + controlMechanism})
	m.addRow(Row{Situation: Ordinary, Role: SidecarControl, Quantity: "the largest list in one message", Unit: unitBytes,
		Need: mul(m.assumption("shape.largest"), m.assumption("lists.entry_bytes")), Budget: m.limit("limits.max_list"),
		Breaks: BreaksRule, Mechanism: "internal/sidecar/member/discovery", NeededBy: []string{ZoneLost, AllRestarted}})
	m.addRow(Row{Situation: Ordinary, Role: Agent, Quantity: "sidecars in one watch's reports", Unit: unitNone,
		Need: m.assumption("topology.sidecars_a_machine"), Budget: m.limit("limits.max_reports"), Breaks: BreaksRule,
		Mechanism: "internal/coordination/distribute", NeededBy: []string{ByVersion}})
	m.addRow(Row{Situation: Ordinary, Role: Agent, Quantity: "polls, watches and renewals", Unit: unitPerSecond,
		Need: add(div(Figure{Value: 1}, m.assumption("periods.poll_interval")),
			div(Figure{Value: 1}, m.assumption("periods.watch_timeout")), div(m.assumption("periods.renewals_a_ttl"),
				m.assumption("periods.lease_ttl"))),
		Mechanism: "internal/coordination/machine, internal/coordination/distribute, lease"})
}

// listBytes returns the traffic of all lists of one sidecar, in bytes per second: the empty lines, and a line for each change.
// changes is the rate of changes of all lists of the fleet.
func (m *model) listBytes(changes Figure) Figure {
	empty := mul(m.assumption("shape.fan_out"), div(m.assumption("lists.line_bytes"), m.assumption("lists.empty_line_every")))
	return add(empty, m.listUpdateBytes(changes))
}

// listUpdateBytes returns the bytes that a sidecar receives for a number (or rate) of changes anywhere in the fleet: it receives
// those of the servers that it knows.
func (m *model) listUpdateBytes(changes Figure) Figure {
	return mul(changes, div(m.knownServers, m.servers), add(m.assumption("lists.entry_bytes"), m.assumption("lists.line_bytes")))
}
