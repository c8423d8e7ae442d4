package capacity

// busiest are the rows of the minute with the most changes of configuration.
func (m *model) busiest() {
	rate := mul(m.changeRate, m.assumption("changes.busiest_minute"))
	m.addRow(Row{Time: Busiest, Role: Leader, What: "changes of configuration", Unit: "1/s", Need: rate,
		Budget: pointerTo(m.assumption("earlier.grants_a_second")), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Register), internal/coordination/replica"})
	version := add(m.assumption("changes.bytes"), m.assumption("changes.head_bytes"))
	m.addRow(Row{Time: Busiest, Role: Leader, What: "bytes of versions told, were it alone", Unit: "bytes/s",
		Need: mul(rate, m.meanServiceSize, version), Budget: pointerTo(m.usable("machines.network")), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Watches)"})
	m.addRow(Row{Time: Busiest, Role: Leader, What: "processor time with versions on their way", Unit: "cores",
		Need: coresFromMicros(add(m.measured("renewals", "leader", "cpu_us_s", m.sessions),
			m.measured("publish", "leader", "busy_cpu_us_s", m.machines))),
		Budget: pointerTo(m.usable("machines.cores")), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Watches), internal/coordination/replica"})
	m.addRow(Row{Time: Busiest, Role: Follower, What: "processor time with versions on their way", Unit: "cores",
		Need: coresFromMicros(m.measured("publish", "follower", "busy_cpu_us_s", m.machines)), Budget: pointerTo(m.usable("machines.cores")),
		Breaks: BreaksTime, Mechanism: "internal/coordination/distribute (Watches), internal/coordination/replica"})
	m.addRow(Row{Time: Busiest, Role: Control, What: "bytes of versions, in the service that changes most",
		Unit: "bytes/s", Need: mul(rate, m.assumption("changes.most_changed_share"), version),
		Budget: pointerTo(m.assumption("target.control_bytes")), Breaks: BreaksTime, Mechanism: "internal/coordination/distribute"})
	m.addRow(Row{Time: Ordinary, Role: Control, What: "bytes of one version", Unit: "bytes", Need: m.assumption("changes.bytes"),
		Budget: pointerTo(m.assumption("limits.max_content")), Breaks: BreaksRule, Mechanism: "internal/coordination/distribute (MaxContent)",
		Needs: []string{After}})
}

// stagedDuration is how long a staged change of so many sidecars takes, between the sizes that were measured.
func (m *model) stagedDuration(n Figure) Figure {
	type at struct {
		size float64
		took Figure
	}
	all := []at{{20, m.assumption("earlier.staged_20")}, {200, m.assumption("earlier.staged_200")}, {2000, m.assumption("earlier.staged_2000")}}
	if n.Value <= all[0].size {
		return all[0].took.with(n)
	}
	low := all[0]
	for _, high := range all[1:] {
		if n.Value <= high.size || high.size == 2000 { // beyond it, the last piece goes on
			part := (n.Value - low.size) / (high.size - low.size)
			return add(low.took.times(1-part), high.took.times(part)).with(n)
		}
		low = high
	}
	return low.took
}

// changesNow are the rows of a change as it was made before versions: staged, a new process for each sidecar.
func (m *model) changesNow() {
	const by = "internal/coordination/rollout, internal/coordination/driver, internal/coordination/machine"
	for _, c := range []struct {
		what string
		of   Figure
	}{{"staged, judged by the clock, in a mean service", m.meanServiceSize},
		{"staged, judged by the clock, in the largest service", m.assumption("shape.largest")},
		{"staged, judged by the clock, of all sidecars, could it begin", m.servers}} {
		m.addRow(Row{Time: Now, Role: Driver, What: c.what, Unit: "s", Need: m.stagedDuration(c.of),
			Budget: pointerTo(m.assumption("target.in_force")), Breaks: BreaksTime, Mechanism: by,
			Needs: []string{"each change of configuration"}})
	}
	for _, c := range []struct {
		what string
		of   Figure
	}{{"all at once, without a judge, in the largest service", m.assumption("shape.largest")},
		{"all at once, without a judge, at all agents, could it begin", m.machines}} {
		m.addRow(Row{Time: Now, Role: Driver, What: c.what, Unit: "s", Need: m.inForce("looks", "agent", c.of),
			Budget: pointerTo(m.assumption("target.in_force")), Breaks: BreaksTime, Mechanism: by,
			Needs: []string{"each change of configuration"}})
	}
	m.addRow(Row{Time: Now, Role: Driver, What: "looks a second by which those times came about", Unit: "1/s",
		Need: div(Figure{Value: 1}, m.assumption("earlier.staged_look")), Mechanism: "internal/coordination/driver (drive_every)"})
	m.addRow(Row{Time: Now, Role: Driver, What: "looks a second where nothing else is said", Unit: "1/s",
		Need: div(Figure{Value: 1}, m.assumption("periods.look_every")), Mechanism: "internal/coordination/fleet (drive_every)"})
	m.addRow(Row{Time: Now, Role: Leader, What: "message that begins a change of all", Unit: "bytes",
		Need: m.changeBytes(m.servers), Budget: pointerTo(m.assumption("limits.max_ask")), Breaks: BreaksRule,
		Mechanism: "internal/coordination/fleet (maxAsk)", Needs: []string{Restarts, "a release for all"}})
	most := mul(m.changeRate, m.assumption("changes.busiest_minute"), m.assumption("changes.most_changed_share"))
	m.addRow(Row{Time: Now, Role: Leader,
		What: "changes at once in the most changed service, were it the largest, of the one that may be", Unit: "",
		Need: mul(most, m.stagedDuration(m.assumption("shape.largest"))), Budget: pointerTo(m.assumption("limits.changes_an_application")),
		Breaks: BreaksRule, Mechanism: "internal/coordination/rollout (one change an application)",
		Needs: []string{"each change of configuration"}})
	rate := mul(m.changeRate, m.assumption("changes.busiest_minute"))
	m.addRow(Row{Time: Now, Role: Driver, What: "changes under way at once, in mean services", Unit: "",
		Need: mul(rate, m.stagedDuration(m.meanServiceSize)), Mechanism: by})
	m.addRow(Row{Time: Now, Role: Leader, What: "events of changes in the log", Unit: "1/s",
		Need: mul(rate, m.meanServiceSize, m.assumption("changes.events_a_sidecar")), Budget: pointerTo(m.assumption("earlier.grants_a_second")),
		Breaks: BreaksTime, Mechanism: "internal/coordination/rollout (Register), internal/coordination/replica"})
	m.addRow(Row{Time: Now, Role: Control, What: "processes started for changes, a sidecar and day", Unit: "",
		Need:      div(m.assumption("target.changes_a_day"), m.assumption("target.services")),
		Mechanism: "cmd/petrelhook (discovery alone is taken live), internal/sidecar/handover"})
}

// changesAfter are the rows of a change as a version that agents watch for.
func (m *model) changesAfter() {
	const by = "internal/coordination/distribute"
	for _, c := range []struct {
		what string
		took Figure
	}{{"told at half of the members", m.measured("publish", "member", "in_force_p50_s", m.machines)},
		{"told at 99 in 100", m.measured("publish", "member", "in_force_p99_s", m.machines)},
		{"told everywhere", m.inForce("publish", "member", m.machines)},
		{"told everywhere, at ten times the rate of the busiest minute",
			m.measured("publish", "member", "busy_in_force_max_s", m.machines)},
		{"told everywhere, versions of all services at once",
			m.measured("publish", "member", "all_in_force_max_s", m.machines)},
		{"told everywhere, a coordinator that follows killed meanwhile",
			m.measured("publish", "member", "killed_in_force_max_s", m.machines)},
		{"told everywhere, the leader killed meanwhile",
			m.measured("publish", "member", "leader_killed_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, as they run", m.inForce("publish", "agent", m.machines)},
		{"in force at the last real sidecar, at ten times the rate of the busiest minute",
			m.measured("publish", "agent", "busy_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, versions of all services at once",
			m.measured("publish", "agent", "all_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, a coordinator that follows killed meanwhile",
			m.measured("publish", "agent", "killed_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, the leader killed meanwhile",
			m.measured("publish", "agent", "leader_killed_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, by a hand-over",
			m.measured("publish", "agent", "hand_over_in_force_max_s", m.machines)}} {
		m.addRow(Row{Time: After, Role: Control, What: c.what, Unit: "s", Need: c.took,
			Budget: pointerTo(m.assumption("target.in_force")), Breaks: BreaksTime, Mechanism: by,
			Needs: []string{"each change of configuration"}})
	}
	for _, c := range []struct{ what, prefix string }{{"before the first version", "quiet_"},
		{"while versions come into force", "versions_"}} {
		m.addRow(Row{Time: After, Role: Calls, What: "a call at real sidecars for 99 in 100, servers counted, " + c.what, Unit: "s",
			Need: m.measured("publish", "sidecar", c.prefix+"call_p99_s", m.machines), Mechanism: "internal/sidecar/handover, " + by})
	}
	m.addRow(Row{Time: After, Role: Leader, What: "watches that come to an end without news, of all", Unit: "1/s",
		Need: div(m.machines, m.assumption("periods.watch_hold")), Mechanism: by})
	m.addRow(Row{Time: After, Role: Leader, What: "watches that wait at a coordinator", Unit: "",
		Need: div(m.machines, m.assumption("machines.replicas")), Budget: pointerTo(m.usable("machines.descriptors")),
		Breaks: BreaksRule, Mechanism: by, Needs: []string{Coordinators}})
}
