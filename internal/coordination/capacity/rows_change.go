package capacity

// addBusiestRows adds the rows of the minute with the most changes of configuration.
func (m *model) addBusiestRows() {
	rate := mul(m.changeRate, m.assumption("changes.busiest_minute"))
	m.addRow(Row{Time: Busiest, Role: Leader, Quantity: "changes of configuration", Unit: "1/s", Need: rate,
		Budget: m.limit("earlier.grants_a_second"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Register), internal/coordination/replica"})
	version := add(m.assumption("changes.bytes"), m.assumption("changes.head_bytes"))
	m.addRow(Row{Time: Busiest, Role: Leader, Quantity: "bytes of versions sent, if it were alone", Unit: "bytes/s",
		Need: mul(rate, m.meanServiceSize, version), Budget: m.usableLimit("machines.network"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Watches)"})
	m.addRow(Row{Time: Busiest, Role: Leader, Quantity: "processor time while versions are distributed", Unit: "cores",
		Need: coresFromMicros(add(m.measured("renewals", "leader", "cpu_us_s", m.sessions),
			m.measured("publish", "leader", "busy_cpu_us_s", m.machines))),
		Budget: m.usableLimit("machines.cores"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Watches), internal/coordination/replica"})
	m.addRow(Row{Time: Busiest, Role: Follower, Quantity: "processor time while versions are distributed", Unit: "cores",
		Need: coresFromMicros(m.measured("publish", "follower", "busy_cpu_us_s", m.machines)), Budget: m.usableLimit("machines.cores"),
		Breaks: BreaksTime, Mechanism: "internal/coordination/distribute (Watches), internal/coordination/replica"})
	m.addRow(Row{Time: Busiest, Role: SidecarControl, Quantity: "bytes of versions, in the service that changes most",
		Unit: "bytes/s", Need: mul(rate, m.assumption("changes.most_changed_share"), version),
		Budget: m.limit("target.control_bytes"), Breaks: BreaksTime, Mechanism: "internal/coordination/distribute"})
	m.addRow(Row{Time: Ordinary, Role: SidecarControl, Quantity: "bytes of one version", Unit: "bytes", Need: m.assumption("changes.bytes"),
		Budget: m.limit("limits.max_content"), Breaks: BreaksRule, Mechanism: "internal/coordination/distribute (MaxContent)",
		NeededBy: []string{ByVersion}})
}

// stagedDuration is how long a staged change of n sidecars takes, interpolated between the measured sizes.
func (m *model) stagedDuration(n Figure) Figure {
	type measured struct {
		size float64
		took Figure
	}
	all := []measured{{20, m.assumption("earlier.staged_20")}, {200, m.assumption("earlier.staged_200")}, {2000, m.assumption("earlier.staged_2000")}}
	if n.Value <= all[0].size {
		return all[0].took.with(n)
	}
	low := all[0]
	for _, high := range all[1:] {
		if n.Value <= high.size || high.size == 2000 { // beyond it, by the last two
			part := (n.Value - low.size) / (high.size - low.size)
			return add(low.took.times(1-part), high.took.times(part)).with(n)
		}
		low = high
	}
	return low.took
}

// addStagedChangeRows adds the rows of a change by a rollout: staged, with a new process for each sidecar.
func (m *model) addStagedChangeRows() {
	const by = "internal/coordination/rollout, internal/coordination/driver, internal/coordination/machine"
	for _, c := range []struct {
		what     string
		sidecars Figure
	}{{"staged, judged by the clock, in a mean service", m.meanServiceSize},
		{"staged, judged by the clock, in the largest service", m.assumption("shape.largest")},
		{"staged, judged by the clock, of all sidecars, could it begin", m.servers}} {
		m.addRow(Row{Time: ByRollout, Role: Driver, Quantity: c.what, Unit: "s", Need: m.stagedDuration(c.sidecars),
			Budget: m.limit("target.in_force"), Breaks: BreaksTime, Mechanism: by,
			NeededBy: []string{"each change of configuration"}})
	}
	for _, c := range []struct {
		what     string
		sidecars Figure
	}{{"all at once, without a judge, in the largest service", m.assumption("shape.largest")},
		{"all at once, without a judge, at all agents, could it begin", m.machines}} {
		m.addRow(Row{Time: ByRollout, Role: Driver, Quantity: c.what, Unit: "s", Need: m.inForce("looks", "agent", c.sidecars),
			Budget: m.limit("target.in_force"), Breaks: BreaksTime, Mechanism: by,
			NeededBy: []string{"each change of configuration"}})
	}
	m.addRow(Row{Time: ByRollout, Role: Driver, Quantity: "polls a second by which those times came about", Unit: "1/s",
		Need: div(Figure{Value: 1}, m.assumption("earlier.staged_look")), Mechanism: "internal/coordination/driver (drive_every)"})
	m.addRow(Row{Time: ByRollout, Role: Driver, Quantity: "polls a second by default", Unit: "1/s",
		Need: div(Figure{Value: 1}, m.assumption("periods.look_every")), Mechanism: "internal/coordination/fleet (drive_every)"})
	m.addRow(Row{Time: ByRollout, Role: Leader, Quantity: "message that begins a change of all", Unit: "bytes",
		Need: m.changeBytes(m.servers), Budget: m.limit("limits.max_ask"), Breaks: BreaksRule,
		Mechanism: "internal/coordination/fleet (maxRequest)", NeededBy: []string{AllRestarted, "a release for all"}})
	most := mul(m.changeRate, m.assumption("changes.busiest_minute"), m.assumption("changes.most_changed_share"))
	m.addRow(Row{Time: ByRollout, Role: Leader,
		Quantity: "changes at once in the most changed service, were it the largest, of the one that may be", Unit: "",
		Need: mul(most, m.stagedDuration(m.assumption("shape.largest"))), Budget: m.limit("limits.changes_an_application"),
		Breaks: BreaksRule, Mechanism: "internal/coordination/rollout (one change an application)",
		NeededBy: []string{"each change of configuration"}})
	rate := mul(m.changeRate, m.assumption("changes.busiest_minute"))
	m.addRow(Row{Time: ByRollout, Role: Driver, Quantity: "changes under way at once, in mean services", Unit: "",
		Need: mul(rate, m.stagedDuration(m.meanServiceSize)), Mechanism: by})
	m.addRow(Row{Time: ByRollout, Role: Leader, Quantity: "events of changes in the log", Unit: "1/s",
		Need: mul(rate, m.meanServiceSize, m.assumption("changes.events_a_sidecar")), Budget: m.limit("earlier.grants_a_second"),
		Breaks: BreaksTime, Mechanism: "internal/coordination/rollout (Register), internal/coordination/replica"})
	m.addRow(Row{Time: ByRollout, Role: SidecarControl, Quantity: "processes started for changes, a sidecar and day", Unit: "",
		Need:      div(m.assumption("target.changes_a_day"), m.assumption("target.services")),
		Mechanism: "cmd/petrelhook (discovery alone is taken live), internal/sidecar/handover"})
}

// addVersionRows adds the rows of a change by a version that agents watch for.
func (m *model) addVersionRows() {
	const by = "internal/coordination/distribute"
	for _, c := range []struct {
		what string
		took Figure
	}{{"received by half of the members", m.measured("publish", "member", "in_force_p50_s", m.machines)},
		{"received by 99 in 100", m.measured("publish", "member", "in_force_p99_s", m.machines)},
		{"received everywhere", m.inForce("publish", "member", m.machines)},
		{"received everywhere, at ten times the rate of the busiest minute",
			m.measured("publish", "member", "busy_in_force_max_s", m.machines)},
		{"received everywhere, versions of all services at once",
			m.measured("publish", "member", "all_in_force_max_s", m.machines)},
		{"received everywhere, a coordinator: follower killed meanwhile",
			m.measured("publish", "member", "killed_in_force_max_s", m.machines)},
		{"received everywhere, the leader killed meanwhile",
			m.measured("publish", "member", "leader_killed_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, by a reload", m.inForce("publish", "agent", m.machines)},
		{"in force at the last real sidecar, at ten times the rate of the busiest minute",
			m.measured("publish", "agent", "busy_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, versions of all services at once",
			m.measured("publish", "agent", "all_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, a coordinator: follower killed meanwhile",
			m.measured("publish", "agent", "killed_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, the leader killed meanwhile",
			m.measured("publish", "agent", "leader_killed_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, by a hand-over",
			m.measured("publish", "agent", "hand_over_in_force_max_s", m.machines)}} {
		m.addRow(Row{Time: ByVersion, Role: SidecarControl, Quantity: c.what, Unit: "s", Need: c.took,
			Budget: m.limit("target.in_force"), Breaks: BreaksTime, Mechanism: by,
			NeededBy: []string{"each change of configuration"}})
	}
	for _, c := range []struct{ what, prefix string }{{"before the first version", "quiet_"},
		{"while versions come into force", "versions_"}} {
		m.addRow(Row{Time: ByVersion, Role: SidecarCalls, Quantity: "a call at real sidecars for 99 in 100, servers counted, " + c.what, Unit: "s",
			Need: m.measured("publish", "sidecar", c.prefix+"call_p99_s", m.machines), Mechanism: "internal/sidecar/handover, " + by})
	}
	m.addRow(Row{Time: ByVersion, Role: Leader, Quantity: "watches that end without a newer version, of all", Unit: "1/s",
		Need: div(m.machines, m.assumption("periods.watch_hold")), Mechanism: by})
	m.addRow(Row{Time: ByVersion, Role: Leader, Quantity: "watches pending at a coordinator", Unit: "",
		Need: div(m.machines, m.assumption("machines.replicas")), Budget: m.usableLimit("machines.descriptors"),
		Breaks: BreaksRule, Mechanism: by, NeededBy: []string{CoordinatorsLost}})
}
