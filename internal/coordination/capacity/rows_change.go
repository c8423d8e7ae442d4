package capacity

// addBusiestRows adds the rows of the minute with the most changes of configuration.
func (m *model) addBusiestRows() {
	rate := mul(m.changeRate, m.assumption("changes.busiest_minute"))
	m.addRow(Row{Situation: Busiest, Role: Leader, Quantity: "changes of configuration", Unit: unitPerSecond, Need: rate,
		Budget: m.limit("earlier.grants_a_second"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Register), internal/coordination/replica"})
	version := add(m.assumption("changes.bytes"), m.assumption("changes.overhead_bytes"))
	m.addRow(Row{Situation: Busiest, Role: Leader, Quantity: "bytes of versions sent, if the leader sends all", Unit: unitBytesPerSecond,
		Need: mul(rate, m.meanServiceSize, version), Budget: m.usableLimit("machines.network"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Watches)"})
	m.addRow(Row{Situation: Busiest, Role: Leader, Quantity: "processor time while versions are distributed", Unit: unitCores,
		Need: coresFromMicros(add(m.measured("renewals", "leader", "cpu_us_s", m.sessions),
			m.measured("publish", "leader", "busy_cpu_us_s", m.machines))),
		Budget: m.usableLimit("machines.cores"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Watches), internal/coordination/replica"})
	m.addRow(Row{Situation: Busiest, Role: Follower, Quantity: "processor time while versions are distributed", Unit: unitCores,
		Need: coresFromMicros(m.measured("publish", "follower", "busy_cpu_us_s", m.machines)), Budget: m.usableLimit("machines.cores"),
		Breaks: BreaksTime, Mechanism: "internal/coordination/distribute (Watches), internal/coordination/replica"})
	m.addRow(Row{Situation: Busiest, Role: SidecarControl, Quantity: "bytes of versions, in the service that changes most",
		Unit: unitBytesPerSecond, Need: mul(rate, m.assumption("changes.most_changed_share"), version),
		Budget: m.limit("target.control_bytes"), Breaks: BreaksTime, Mechanism: "internal/coordination/distribute"})
	m.addRow(Row{Situation: Ordinary, Role: SidecarControl, Quantity: "bytes of one version", Unit: unitBytes, Need: m.assumption("changes.bytes"),
		Budget: m.limit("limits.max_content"), Breaks: BreaksRule, Mechanism: "internal/coordination/distribute (MaxContent)",
		NeededBy: []string{ByVersion}})
}

// stagedDuration returns how long a staged change of n sidecars takes. It interpolates between the measured sizes, takes the
// smallest of them for smaller changes, and extrapolates along the line through the last two for larger ones.
func (m *model) stagedDuration(n Figure) Figure {
	type measurement struct {
		size     float64
		duration Figure
	}
	all := []measurement{{20, m.assumption("earlier.staged_20")}, {200, m.assumption("earlier.staged_200")}, {2000, m.assumption("earlier.staged_2000")}}
	if n.Value <= all[0].size {
		return all[0].duration.with(n)
	}
	low, high := all[0], all[1]
	if n.Value > high.size {
		low, high = all[1], all[2]
	}
	fraction := (n.Value - low.size) / (high.size - low.size)
	return add(low.duration.times(1-fraction), high.duration.times(fraction)).with(n)
}

const rolloutMechanism = "internal/coordination/rollout, internal/coordination/driver, internal/coordination/machine"

// addStagedChangeRows adds the rows of a change by a rollout: staged, with a new process for each sidecar.
func (m *model) addStagedChangeRows() {
	largestService := m.assumption("shape.largest")
	m.addRolloutDurationRow("staged, by time alone, in a mean service", m.stagedDuration(m.meanServiceSize))
	m.addRolloutDurationRow("staged, by time alone, in the largest service", m.stagedDuration(largestService))
	m.addRolloutDurationRow("staged, by time alone, of all sidecars, if it could begin", m.stagedDuration(m.servers))
	m.addRolloutDurationRow("all at once, without a judge, in the largest service", m.inForce("looks", "agent", largestService))
	m.addRolloutDurationRow("all at once, without a judge, at all agents, if it could begin", m.inForce("looks", "agent", m.machines))
	m.addPollRateRow("polls of the staged changes that were measured", m.assumption("earlier.staged_poll_interval"))
	m.addPollRateRow("polls by default", m.assumption("periods.poll_interval"))
	m.addRolloutLoadRows()
}

// addRolloutDurationRow adds a row with the time that a change by a rollout takes.
func (m *model) addRolloutDurationRow(quantity string, duration Figure) {
	m.addRow(Row{Situation: ByRollout, Role: Driver, Quantity: quantity, Unit: unitSeconds, Need: duration,
		Budget: m.limit("target.in_force"), Breaks: BreaksTime, Mechanism: rolloutMechanism,
		NeededBy: []string{"each change of configuration"}})
}

// addPollRateRow adds a row with the rate of the driver's polls at an interval.
func (m *model) addPollRateRow(quantity string, interval Figure) {
	m.addRow(Row{Situation: ByRollout, Role: Driver, Quantity: quantity, Unit: unitPerSecond,
		Need: div(Figure{Value: 1}, interval), Mechanism: "internal/coordination/fleet (drive_interval)"})
}

// addRolloutLoadRows adds the rows of the load that changes by rollouts put on coordinators and sidecars.
func (m *model) addRolloutLoadRows() {
	m.addRow(Row{Situation: ByRollout, Role: Leader, Quantity: "message that begins a change of all", Unit: unitBytes,
		Need: m.changeBytes(m.servers), Budget: m.limit("limits.max_request"), Breaks: BreaksRule,
		Mechanism: "internal/coordination/fleet (maxRequestBytes)", NeededBy: []string{AllRestarted, "a release for all"}})
	rate := mul(m.changeRate, m.assumption("changes.busiest_minute"))
	mostChanged := mul(rate, m.assumption("changes.most_changed_share")) // of the service that changes most
	m.addRow(Row{Situation: ByRollout, Role: Leader,
		Quantity: "concurrent changes in the most changed service, if it is the largest", Unit: unitNone,
		Need: mul(mostChanged, m.stagedDuration(m.assumption("shape.largest"))), Budget: m.limit("limits.changes_an_application"),
		Breaks: BreaksRule, Mechanism: "internal/coordination/rollout (one change per application)",
		NeededBy: []string{"each change of configuration"}})
	m.addRow(Row{Situation: ByRollout, Role: Driver, Quantity: "concurrent changes, in mean services", Unit: unitNone,
		Need: mul(rate, m.stagedDuration(m.meanServiceSize)), Mechanism: rolloutMechanism})
	m.addRow(Row{Situation: ByRollout, Role: Leader, Quantity: "events of changes in the log", Unit: unitPerSecond,
		Need: mul(rate, m.meanServiceSize, m.assumption("changes.events_a_sidecar")), Budget: m.limit("earlier.grants_a_second"),
		Breaks: BreaksTime, Mechanism: "internal/coordination/rollout (Register), internal/coordination/replica"})
	m.addRow(Row{Situation: ByRollout, Role: SidecarControl, Quantity: "processes started for changes, per sidecar and day", Unit: unitNone,
		Need:      div(m.assumption("target.changes_a_day"), m.assumption("target.services")),
		Mechanism: "cmd/petrelhook (only discovery is reloaded), internal/sidecar/handover"})
}

const versionMechanism = "internal/coordination/distribute"

// publishConditions are the conditions under which the scale run publishes versions, with the prefix of the metrics of these
// runs.
var publishConditions = []struct{ prefix, description string }{
	{"busy_", "at ten times the rate of the busiest minute"},
	{"all_", "versions of all services at once"},
	{"killed_", "a follower killed meanwhile"},
	{"leader_killed_", "the leader killed meanwhile"},
}

// addVersionRows adds the rows of a change by a version, which agents receive by their watches.
func (m *model) addVersionRows() {
	m.addPublishRow("received by half of the members", m.measured("publish", "member", "in_force_p50_s", m.machines))
	m.addPublishRow("received by 99% of the members", m.measured("publish", "member", "in_force_p99_s", m.machines))
	m.addPublishRow("received everywhere", m.inForce("publish", "member", m.machines))
	m.addPublishConditionRows("received everywhere", "member")
	m.addPublishRow("in force at the last real sidecar, by a reload", m.inForce("publish", "agent", m.machines))
	m.addPublishConditionRows("in force at the last real sidecar", "agent")
	m.addPublishRow("in force at the last real sidecar, by a hand-over", m.measured("publish", "agent", "hand_over_in_force_max_s", m.machines))
	m.addVersionLoadRows()
}

// addPublishRow adds a row with the time from a version's publication to a stage of its distribution.
func (m *model) addPublishRow(quantity string, duration Figure) {
	m.addRow(Row{Situation: ByVersion, Role: SidecarControl, Quantity: quantity, Unit: unitSeconds, Need: duration,
		Budget: m.limit("target.in_force"), Breaks: BreaksTime, Mechanism: versionMechanism,
		NeededBy: []string{"each change of configuration"}})
}

// addPublishConditionRows adds a row for each of publishConditions, from the runs' measurements of a role.
func (m *model) addPublishConditionRows(quantity, role string) {
	for _, c := range publishConditions {
		m.addPublishRow(quantity+", "+c.description, m.measured("publish", role, c.prefix+"in_force_max_s", m.machines))
	}
}

// addVersionLoadRows adds the rows of the load that versions put on calls and coordinators.
func (m *model) addVersionLoadRows() {
	for _, c := range []struct{ period, prefix string }{{"before the first version", "quiet_"},
		{"while versions come into force", "versions_"}} {
		m.addRow(Row{Situation: ByVersion, Role: SidecarCalls, Quantity: "latency of a call at real sidecars, p99, with the servers, " + c.period, Unit: unitSeconds,
			Need: m.measured("publish", "sidecar", c.prefix+"call_p99_s", m.machines), Mechanism: "internal/sidecar/handover, " + versionMechanism})
	}
	m.addRow(Row{Situation: ByVersion, Role: Leader, Quantity: "watches that end without a newer version, of all", Unit: unitPerSecond,
		Need: div(m.machines, m.assumption("periods.watch_timeout")), Mechanism: versionMechanism})
	m.addRow(Row{Situation: ByVersion, Role: Leader, Quantity: "watches pending at a coordinator", Unit: unitNone,
		Need: div(m.machines, m.assumption("machines.replicas")), Budget: m.usableLimit("machines.descriptors"),
		Breaks: BreaksRule, Mechanism: versionMechanism, NeededBy: []string{CoordinatorsLost}})
}
