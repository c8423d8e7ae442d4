package capacity

// addCoordinatorRows adds the rows of coordinators in an ordinary minute.
func (m *model) addCoordinatorRows() {
	const confirmedReads = "internal/coordination/replica (confirmed reads), internal/coordination/fleet"
	m.addRow(Row{Situation: Ordinary, Role: Leader, Quantity: "renewals, against a trial with as many sessions", Unit: unitPerSecond,
		Need: m.renewalRate(), Budget: m.limit("earlier.renewals_a_second_12000"), Breaks: BreaksRule, Mechanism: confirmedReads,
		NeededBy: []string{"singleton roles", "budgets of the fleet", "the driver's lease"}})
	m.addRow(Row{Situation: Ordinary, Role: Leader, Quantity: "renewals, against the figure with 2,000 sessions", Unit: unitPerSecond,
		Need: m.renewalRate(), Budget: m.limit("earlier.renewals_a_second"), Breaks: BreaksRule, Mechanism: confirmedReads,
		NeededBy: []string{"singleton roles", "budgets of the fleet", "the driver's lease"}})
	for _, c := range []struct{ role, name string }{{Leader, "leader"}, {Follower, "follower"}} {
		m.addRow(Row{Situation: Ordinary, Role: c.role, Quantity: "processor time of renewals and watches", Unit: unitCores,
			Need: coresFromMicros(m.coordinatorUsage(c.name, "cpu_us_s")), Budget: m.usableLimit("machines.cores"), Breaks: BreaksTime,
			Mechanism: confirmedReads + ", internal/coordination/distribute", NeededBy: []string{ByVersion}})
		m.addRow(Row{Situation: Ordinary, Role: c.role, Quantity: "memory", Unit: unitBytes, Need: m.coordinatorUsage(c.name, "memory_bytes"),
			Budget: m.usableLimit("machines.memory"), Breaks: BreaksRule, Mechanism: confirmedReads + ", internal/coordination/distribute"})
		m.addRow(Row{Situation: Ordinary, Role: c.role, Quantity: "bytes out", Unit: unitBytesPerSecond,
			Need: m.coordinatorUsage(c.name, "bytes_out_s"), Budget: m.usableLimit("machines.network"), Breaks: BreaksTime,
			Mechanism: "internal/coordination/rpc"})
		m.addRow(Row{Situation: Ordinary, Role: c.role, Quantity: "messages in", Unit: unitPerSecond,
			Need: m.coordinatorUsage(c.name, "messages_in_s"), Mechanism: "internal/coordination/rpc, " + confirmedReads})
		m.addRow(Row{Situation: Ordinary, Role: c.role, Quantity: "descriptors", Unit: unitNone, Need: m.coordinatorUsage(c.name, "descriptors"),
			Budget: m.usableLimit("machines.descriptors"), Breaks: BreaksRule, Mechanism: "internal/coordination/rpc",
			NeededBy: []string{CoordinatorsLost}})
	}
	m.addRow(Row{Situation: Ordinary, Role: Leader, Quantity: "state of sessions and one change of all, as measured",
		Unit: unitBytes,
		Need: add(m.measured("renewals", "leader", "state_bytes", m.sessions),
			m.measured("looks", "driver", "state_bytes", m.machines)),
		Budget: m.limit("limits.max_message"), Breaks: BreaksRule, Mechanism: "internal/coordination/replica (snapshots)",
		NeededBy: []string{CoordinatorsLost}})
	m.addRow(Row{Situation: Ordinary, Role: Leader, Quantity: "snapshot: sessions, versions, changes of all", Unit: unitBytes,
		Need: m.snapshotBytes(m.assumption("changes.bytes")), Budget: m.limit("limits.max_message"), Breaks: BreaksRule,
		Mechanism: "internal/coordination/replica (snapshots)", NeededBy: []string{CoordinatorsLost}})
	m.addRow(Row{Situation: Ordinary, Role: Leader, Quantity: "snapshot, with versions of the largest size allowed",
		Unit: unitBytes, Need: m.snapshotBytes(m.assumption("limits.max_content")), Budget: m.limit("limits.max_message"),
		Breaks: BreaksRule, Mechanism: "internal/coordination/replica (snapshots), internal/coordination/distribute (MaxContent)",
		NeededBy: []string{CoordinatorsLost, "a replica that is replaced"}})
	m.addRow(Row{Situation: Ordinary, Role: Leader, Quantity: "services with a version", Unit: unitNone, Need: m.assumption("target.services"),
		Budget: m.limit("limits.max_services"), Breaks: BreaksRule, Mechanism: "internal/coordination/distribute"})
	opened := add(m.assumption("target.failed_a_day"), m.assumption("target.restarted_a_day")).times(2. / secondsPerDay) // each ends a session and opens one
	m.addRow(Row{Situation: Ordinary, Role: Leader, Quantity: "entries of the log", Unit: unitPerSecond, Need: add(opened, m.changeRate),
		Budget: m.limit("earlier.grants_a_second"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/replica, internal/coordination/replica/disk"})
	followers := add(m.assumption("machines.replicas"), Figure{Value: -1})
	m.addRow(Row{Situation: Ordinary, Role: Leader, Quantity: "machines set aside: processor time of all that runs there",
		Unit: unitCores,
		Need: add(coresFromMicros(m.coordinatorUsage("leader", "cpu_us_s")), mul(followers, coresFromMicros(m.coordinatorUsage("follower", "cpu_us_s"))),
			coresFromMicros(m.measured("looks", "driver", "cpu_us_s", m.machines)),
			coresFromMicros(m.measured("lists", "server", "cpu_us_s", m.servers))),
		Budget: pointerTo(mul(m.assumption("target.control_machines"), m.usable("machines.cores"))), Breaks: BreaksTime,
		Mechanism: "cmd/petrelhook-coordinator, the platform's discovery"})
}

// renewalRate returns the rate of renewals of all sessions.
func (m *model) renewalRate() Figure {
	return div(mul(m.sessions, m.assumption("periods.renewals_a_ttl")), m.assumption("periods.lease_ttl"))
}

// coordinatorUsage returns a metric of a coordinator for the renewals and watches of the fleet. role is leader or follower.
func (m *model) coordinatorUsage(role, metric string) Figure {
	return add(m.measured("renewals", role, metric, m.sessions), m.measured("watches", role, metric, m.machines))
}

// snapshotBytes returns the size of a snapshot if each version has the given size.
func (m *model) snapshotBytes(version Figure) Figure {
	versions := smaller(mul(m.assumption("target.services"), version), m.assumption("limits.max_total"))
	return add(mul(m.sessions, m.assumption("earlier.lease_snapshot_bytes")), versions, m.changeBytes(m.servers))
}

// changeBytes returns the size of the staged changes of so many sidecars together, in proportion to the message that began a
// change of 12,000.
func (m *model) changeBytes(sidecars Figure) Figure {
	return mul(sidecars, m.assumption("earlier.start_bytes_12000")).times(1. / 12000)
}

// addDriverRows adds the rows of the driver and of the operators' tool.
func (m *model) addDriverRows() {
	// A poll reads the changes of the applications one after the other and polls the agents of each. The agents of a change that
	// is over are polled less often, by idle_poll_divisor.
	reads := mul(m.assumption("target.services"), m.assumption("earlier.read"))
	polls := div(mul(m.machines, m.assumption("earlier.poll_2000")).times(1./2000), m.assumption("periods.idle_poll_divisor"))
	m.addRow(Row{Situation: Ordinary, Role: Driver, Quantity: "a poll of all applications, each changed once", Unit: unitSeconds,
		Need: add(reads, polls), Budget: m.limit("periods.poll_interval"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/driver (pollAll, driveApplication, pollAgents)", NeededBy: []string{ByRollout, AllRestarted, "the judge's windows"}})
	m.addRow(Row{Situation: Busiest, Role: Driver, Quantity: "a poll of all agents, as in one change of all", Unit: unitSeconds,
		Need: mul(m.machines, m.assumption("earlier.poll_2000")).times(1. / 2000), Budget: m.limit("periods.poll_interval"),
		Breaks: BreaksTime, Mechanism: "internal/coordination/driver (queryAgents, 64 at once)", NeededBy: []string{ByRollout, AllRestarted}})
	m.addRow(Row{Situation: Ordinary, Role: Driver, Quantity: "bytes of changes read at each poll", Unit: unitBytesPerSecond,
		Need: div(m.changeBytes(m.servers), m.assumption("periods.poll_interval")), Budget: m.usableLimit("machines.network"),
		Breaks: BreaksTime, Mechanism: "internal/coordination/driver (readChanges), internal/coordination/rollout"})
	m.addRow(Row{Situation: Ordinary, Role: Driver, Quantity: "processor time of polls of all agents", Unit: unitCores,
		Need: coresFromMicros(m.measured("looks", "driver", "cpu_us_s", m.machines)), Budget: m.usableLimit("machines.cores"),
		Breaks: BreaksTime, Mechanism: "internal/coordination/driver", NeededBy: []string{ByRollout, AllRestarted}})
	m.addRow(Row{Situation: Ordinary, Role: Driver, Quantity: "bytes in from all agents", Unit: unitBytesPerSecond,
		Need: m.measured("looks", "driver", "bytes_in_s", m.machines), Budget: m.usableLimit("machines.network"),
		Breaks: BreaksTime, Mechanism: "internal/coordination/driver, internal/coordination/machine"})
	m.addRow(Row{Situation: Ordinary, Role: Driver, Quantity: "memory", Unit: unitBytes,
		Need: m.measured("looks", "driver", "memory_bytes", m.machines), Budget: m.usableLimit("machines.memory"),
		Breaks: BreaksRule, Mechanism: "internal/coordination/driver"})
	m.addRow(Row{Situation: Ordinary, Role: Tool, Quantity: "a change of all, in one answer", Unit: unitBytes,
		Need: m.changeBytes(m.servers), Budget: m.limit("limits.max_message"), Breaks: BreaksRule,
		Mechanism: "cmd/petrelhookctl, internal/coordination/fleet"})
	m.addRow(Row{Situation: Ordinary, Role: Tool, Quantity: "versions in force, of all services", Unit: unitSeconds,
		Need: m.measured("publish", "tool", "summary_s", m.machines), Budget: m.limit("target.in_force"),
		Breaks: BreaksTime, Mechanism: "internal/coordination/distribute (Summaries)"})
}

// addListRows adds the rows of the list servers, which send the lists of servers to all sidecars.
func (m *model) addListRows() {
	const listMechanism = "the platform's discovery; internal/sidecar/member/discovery"
	watches := mul(m.servers, m.assumption("shape.fan_out"))
	m.addRow(Row{Situation: Ordinary, Role: ListServer, Quantity: "watches open at a machine", Unit: unitNone, Need: div(watches, m.listMachines),
		Budget: m.usableLimit("machines.descriptors"), Breaks: BreaksRule, Mechanism: listMechanism,
		NeededBy: []string{ZoneLost, AllRestarted}})
	m.addRow(Row{Situation: Ordinary, Role: ListServer, Quantity: "empty lines of a machine", Unit: unitPerSecond,
		Need: div(div(watches, m.assumption("lists.empty_line_every")), m.listMachines), Mechanism: listMechanism})
	m.addRow(Row{Situation: Ordinary, Role: ListServer, Quantity: "bytes out of a machine", Unit: unitBytesPerSecond,
		Need: div(mul(m.servers, m.listBytes(m.listChangeRate)), m.listMachines), Budget: m.usableLimit("machines.network"),
		Breaks: BreaksTime, Mechanism: listMechanism})
	m.addRow(Row{Situation: Ordinary, Role: ListServer, Quantity: "processor time of a machine", Unit: unitCores,
		Need:   div(coresFromMicros(m.measured("lists", "server", "cpu_us_s", m.servers)), m.listMachines),
		Budget: m.usableLimit("machines.cores"), Breaks: BreaksTime, Mechanism: listMechanism, NeededBy: []string{ZoneLost, RegionIsolated}})
}
