package capacity

// busiest are the rows of the minute with the most changes of configuration.
func (m *model) busiest() {
	rate := mul(m.changed, m.is("changes.busiest_minute"))
	m.put(Row{Time: Busiest, Role: Leader, What: "changes of configuration", Unit: "1/s", Need: rate,
		Budget: to(m.is("earlier.grants_a_second")), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Register), internal/coordination/replica"})
	version := add(m.is("changes.bytes"), m.is("changes.head_bytes"))
	m.put(Row{Time: Busiest, Role: Leader, What: "bytes of versions told, were it alone", Unit: "bytes/s",
		Need: mul(rate, m.mean, version), Budget: to(m.used("machines.network")), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Watches)"})
	m.put(Row{Time: Busiest, Role: Leader, What: "processor time with versions on their way", Unit: "cores",
		Need: cores(add(m.at("renewals", "leader", "cpu_us_s", m.sessions),
			m.at("publish", "leader", "busy_cpu_us_s", m.machines))),
		Budget: to(m.used("machines.cores")), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Watches), internal/coordination/replica"})
	m.put(Row{Time: Busiest, Role: Follower, What: "processor time with versions on their way", Unit: "cores",
		Need: cores(m.at("publish", "follower", "busy_cpu_us_s", m.machines)), Budget: to(m.used("machines.cores")),
		Breaks: BreaksTime, Mechanism: "internal/coordination/distribute (Watches), internal/coordination/replica"})
	m.put(Row{Time: Busiest, Role: Control, What: "bytes of versions, in the service that changes most",
		Unit: "bytes/s", Need: mul(rate, m.is("changes.most_changed_share"), version),
		Budget: to(m.is("target.control_bytes")), Breaks: BreaksTime, Mechanism: "internal/coordination/distribute"})
	m.put(Row{Time: Ordinary, Role: Control, What: "bytes of one version", Unit: "bytes", Need: m.is("changes.bytes"),
		Budget: to(m.is("limits.max_content")), Breaks: BreaksRule, Mechanism: "internal/coordination/distribute (MaxContent)",
		Needs: []string{After}})
}

// staged is how long a staged change of so many sidecars takes, between the sizes that were measured.
func (m *model) staged(n Figure) Figure {
	type at struct {
		size float64
		took Figure
	}
	all := []at{{20, m.is("earlier.staged_20")}, {200, m.is("earlier.staged_200")}, {2000, m.is("earlier.staged_2000")}}
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
	}{{"staged, judged by the clock, in a mean service", m.mean},
		{"staged, judged by the clock, in the largest service", m.is("shape.largest")},
		{"staged, judged by the clock, of all sidecars, could it begin", m.servers}} {
		m.put(Row{Time: Now, Role: Driver, What: c.what, Unit: "s", Need: m.staged(c.of),
			Budget: to(m.is("target.in_force")), Breaks: BreaksTime, Mechanism: by,
			Needs: []string{"each change of configuration"}})
	}
	for _, c := range []struct {
		what string
		of   Figure
	}{{"all at once, without a judge, in the largest service", m.is("shape.largest")},
		{"all at once, without a judge, at all agents, could it begin", m.machines}} {
		m.put(Row{Time: Now, Role: Driver, What: c.what, Unit: "s", Need: m.inForce("looks", "agent", c.of),
			Budget: to(m.is("target.in_force")), Breaks: BreaksTime, Mechanism: by,
			Needs: []string{"each change of configuration"}})
	}
	m.put(Row{Time: Now, Role: Driver, What: "looks a second by which those times came about", Unit: "1/s",
		Need: div(Figure{Value: 1}, m.is("earlier.staged_look")), Mechanism: "internal/coordination/driver (drive_every)"})
	m.put(Row{Time: Now, Role: Driver, What: "looks a second where nothing else is said", Unit: "1/s",
		Need: div(Figure{Value: 1}, m.is("periods.look_every")), Mechanism: "internal/coordination/fleet (drive_every)"})
	m.put(Row{Time: Now, Role: Leader, What: "message that begins a change of all", Unit: "bytes",
		Need: m.changeBytes(m.servers), Budget: to(m.is("limits.max_ask")), Breaks: BreaksRule,
		Mechanism: "internal/coordination/fleet (maxAsk)", Needs: []string{Restarts, "a release for all"}})
	most := mul(m.changed, m.is("changes.busiest_minute"), m.is("changes.most_changed_share"))
	m.put(Row{Time: Now, Role: Leader,
		What: "changes at once in the most changed service, were it the largest, of the one that may be", Unit: "",
		Need: mul(most, m.staged(m.is("shape.largest"))), Budget: to(m.is("limits.changes_an_application")),
		Breaks: BreaksRule, Mechanism: "internal/coordination/rollout (one change an application)",
		Needs: []string{"each change of configuration"}})
	rate := mul(m.changed, m.is("changes.busiest_minute"))
	m.put(Row{Time: Now, Role: Driver, What: "changes under way at once, in mean services", Unit: "",
		Need: mul(rate, m.staged(m.mean)), Mechanism: by})
	m.put(Row{Time: Now, Role: Leader, What: "events of changes in the log", Unit: "1/s",
		Need: mul(rate, m.mean, m.is("changes.events_a_sidecar")), Budget: to(m.is("earlier.grants_a_second")),
		Breaks: BreaksTime, Mechanism: "internal/coordination/rollout (Register), internal/coordination/replica"})
	m.put(Row{Time: Now, Role: Control, What: "processes started for changes, a sidecar and day", Unit: "",
		Need:      div(m.is("target.changes_a_day"), m.is("target.services")),
		Mechanism: "cmd/petrelhook (discovery alone is taken live), internal/sidecar/handover"})
}

// changesAfter are the rows of a change as a version that agents watch for.
func (m *model) changesAfter() {
	const by = "internal/coordination/distribute"
	for _, c := range []struct {
		what string
		took Figure
	}{{"told at half of the members", m.at("publish", "member", "in_force_p50_s", m.machines)},
		{"told at 99 in 100", m.at("publish", "member", "in_force_p99_s", m.machines)},
		{"told everywhere", m.inForce("publish", "member", m.machines)},
		{"told everywhere, at ten times the rate of the busiest minute",
			m.at("publish", "member", "busy_in_force_max_s", m.machines)},
		{"told everywhere, versions of all services at once",
			m.at("publish", "member", "all_in_force_max_s", m.machines)},
		{"told everywhere, a coordinator that follows killed meanwhile",
			m.at("publish", "member", "killed_in_force_max_s", m.machines)},
		{"told everywhere, the leader killed meanwhile",
			m.at("publish", "member", "leader_killed_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, as they run", m.inForce("publish", "agent", m.machines)},
		{"in force at the last real sidecar, at ten times the rate of the busiest minute",
			m.at("publish", "agent", "busy_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, versions of all services at once",
			m.at("publish", "agent", "all_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, a coordinator that follows killed meanwhile",
			m.at("publish", "agent", "killed_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, the leader killed meanwhile",
			m.at("publish", "agent", "leader_killed_in_force_max_s", m.machines)},
		{"in force at the last real sidecar, by a hand-over",
			m.at("publish", "agent", "hand_over_in_force_max_s", m.machines)}} {
		m.put(Row{Time: After, Role: Control, What: c.what, Unit: "s", Need: c.took,
			Budget: to(m.is("target.in_force")), Breaks: BreaksTime, Mechanism: by,
			Needs: []string{"each change of configuration"}})
	}
	for _, c := range []struct{ what, prefix string }{{"before the first version", "quiet_"},
		{"while versions come into force", "versions_"}} {
		m.put(Row{Time: After, Role: Calls, What: "a call at real sidecars for 99 in 100, servers counted, " + c.what, Unit: "s",
			Need: m.at("publish", "sidecar", c.prefix+"call_p99_s", m.machines), Mechanism: "internal/sidecar/handover, " + by})
	}
	m.put(Row{Time: After, Role: Leader, What: "watches that come to an end without news, of all", Unit: "1/s",
		Need: div(m.machines, m.is("periods.watch_hold")), Mechanism: by})
	m.put(Row{Time: After, Role: Leader, What: "watches that wait at a coordinator", Unit: "",
		Need: div(m.machines, m.is("machines.replicas")), Budget: to(m.used("machines.descriptors")),
		Breaks: BreaksRule, Mechanism: by, Needs: []string{Coordinators}})
}
