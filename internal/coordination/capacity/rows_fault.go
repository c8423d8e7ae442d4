package capacity

// addFaultRows adds the rows of servers that fail and return together.
func (m *model) addFaultRows() {
	for _, c := range []struct {
		time string
		lost Figure // servers
	}{{RackLost, mul(m.assumption("places.rack"), m.assumption("places.sidecars_a_machine"))},
		{ZoneLost, mul(m.servers, m.assumption("places.zone_share"))},
		{RegionIsolated, mul(m.servers, m.assumption("places.region_share"))}} {
		m.addFailureRows(c.time, c.lost)
		if c.time != RackLost {
			m.addReturnRows(c.time, c.lost)
		}
	}
	m.addRegionReturnRows()
}

// addFailureRows adds the rows of so many servers that fail at one moment. The lists have to say so within a given time.
func (m *model) addFailureRows(time string, servers Figure) {
	within := m.assumption("periods.heard_within")
	changes := mul(servers, m.assumption("lists.changes_a_failure"))
	m.addRow(Row{Time: time, Role: SidecarControl, Quantity: "bytes of lists, as they go, of a minute's budget", Unit: "bytes",
		Need: m.listUpdateBytes(changes), Budget: pointerTo(m.assumption("target.control_bytes").times(60)), Breaks: BreaksTime,
		Mechanism: "internal/sidecar/member/discovery"})
	m.addRow(Row{Time: time, Role: ListServer, Quantity: "lines of lists out of a machine, each change a line", Unit: "1/s",
		Need: div(div(mul(changes, m.watchers), within), m.listMachines), Mechanism: "the platform's discovery"})
	m.addRow(Row{Time: time, Role: ListServer, Quantity: "bytes out of a machine", Unit: "bytes/s",
		Need:   div(div(mul(m.servers, m.listUpdateBytes(changes)), within), m.listMachines),
		Budget: m.usableLimit("machines.network"), Breaks: BreaksTime, Mechanism: "the platform's discovery"})
	m.addRow(Row{Time: time, Role: ListServer, Quantity: "processor time of a machine while it sends updates", Unit: "cores",
		Need: div(div(mul(changes, m.watchers, m.measured("lists", "server", "cpu_us_line", m.servers)), within),
			m.listMachines).times(1e-6),
		Budget: m.usableLimit("machines.cores"), Breaks: BreaksRule,
		Mechanism: "the platform's discovery; internal/sidecar/member/discovery",
		NeededBy:  []string{"draining in time (a rule of calls)"}})
	m.addRow(Row{Time: time, Role: SidecarControl, Quantity: "processor time while it receives updates", Unit: "cores",
		Need: div(mul(changes, div(m.knownServers, m.servers), m.measured("lists", "sidecar", "cpu_us_line", m.servers)),
			within).times(1e-6),
		Budget: m.limit("target.control_core"), Breaks: BreaksTime,
		Mechanism: "internal/sidecar/member/discovery, balance (list.go)"})
	m.addRow(Row{Time: time, Role: Leader, Quantity: "ends of sessions in the log, within a lease's time", Unit: "1/s",
		Need: div(mul(div(servers, m.assumption("places.sidecars_a_machine")), m.assumption("places.sessions_a_machine")),
			m.assumption("periods.lease_ttl")),
		Budget: m.limit("earlier.grants_a_second"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/replica (due), internal/coordination/replica/disk"})
}

// addReturnRows adds the rows of so many servers that return at one moment.
func (m *model) addReturnRows(time string, servers Figure) {
	within := m.assumption("periods.back_within")
	agents := div(servers, m.assumption("places.sidecars_a_machine"))
	m.addRow(Row{Time: time, Role: Leader, Quantity: "sessions opened as they return", Unit: "1/s",
		Need:   div(mul(agents, m.assumption("places.sessions_a_machine")), within),
		Budget: m.limit("earlier.grants_a_second"), Breaks: BreaksTime,
		Mechanism: "lease, internal/coordination/replica, internal/coordination/replica/disk"})
	m.addRow(Row{Time: time, Role: Leader, Quantity: "bytes of versions sent as they return, if it were alone",
		Unit: "bytes/s", Need: div(mul(agents, add(m.assumption("changes.bytes"), m.assumption("changes.head_bytes"))), within),
		Budget: m.usableLimit("machines.network"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (the newest alone is told)"})
	m.addRow(Row{Time: time, Role: ListServer, Quantity: "bytes of complete lists out of a machine as they return",
		Unit: "bytes/s", Need: div(div(mul(servers, m.knownServers, m.assumption("lists.entry_bytes")), within), m.listMachines),
		Budget: m.usableLimit("machines.network"), Breaks: BreaksTime,
		Mechanism: "the platform's discovery; internal/sidecar/member/discovery"})
	m.addRow(Row{Time: time, Role: SidecarControl, Quantity: "bytes of complete lists as it returns, of a minute's budget",
		Unit: "bytes", Need: mul(m.knownServers, m.assumption("lists.entry_bytes")),
		Budget: pointerTo(m.assumption("target.control_bytes").times(60)), Breaks: BreaksTime,
		Mechanism: "internal/sidecar/member/discovery"})
}

// addRegionReturnRows adds the rows of the return of an isolated region, and of the calls at what is left of a zone's loss.
func (m *model) addRegionReturnRows() {
	missed := mul(m.changeRate, m.assumption("target.cut_off"))
	m.addRow(Row{Time: RegionIsolated, Role: SidecarControl, Quantity: "changes missed, of all services", Unit: "",
		Need:      smaller(missed, m.assumption("target.services")),
		Mechanism: "internal/coordination/distribute (a service's newest alone counts)"})
	m.addRow(Row{Time: RegionIsolated, Role: SidecarControl, Quantity: "in force there after its return", Unit: "s",
		Need: add(m.assumption("periods.back_within"), m.measured("return", "member", "in_force_max_s",
			mul(m.machines, m.assumption("places.region_share")))),
		Budget: m.limit("target.in_force"), Breaks: BreaksTime, Mechanism: "internal/coordination/distribute (Subscriber)"})
	part := add(Figure{Value: 1}, m.assumption("places.zone_share").times(-1))
	rate := div(div(m.assumption("target.calls"), m.servers), part)
	m.addRow(Row{Time: ZoneLost, Role: SidecarCalls, Quantity: "added to a call for 99 in 100, at those that are left", Unit: "s",
		Need: m.measuredAtRate("added_p99_us", Figure{Value: 1}, rate).times(1e-6), Budget: m.limit("target.added"),
		Breaks: BreaksTime, Mechanism: "balance, internal/sidecar/core, internal/sidecar/upstream/http1"})
}

// addRestartRows adds the rows of a day on which every sidecar is restarted once.
func (m *model) addRestartRows() {
	changes := add(m.listChangeRate, mul(m.servers, m.assumption("lists.changes_a_restart")).times(1./secondsPerDay))
	m.addRow(Row{Time: AllRestarted, Role: SidecarControl, Quantity: "bytes of lists", Unit: "bytes/s",
		Need:   add(m.listBytes(changes), mul(m.knownServers, m.assumption("lists.entry_bytes")).times(1./secondsPerDay)),
		Budget: m.limit("target.control_bytes"), Breaks: BreaksTime, Mechanism: "internal/sidecar/member/discovery"})
	m.addRow(Row{Time: AllRestarted, Role: ListServer, Quantity: "bytes out of a machine", Unit: "bytes/s",
		Need: div(mul(m.servers, m.listBytes(changes)), m.listMachines), Budget: m.usableLimit("machines.network"),
		Breaks: BreaksTime, Mechanism: "the platform's discovery"})
	m.addRow(Row{Time: AllRestarted, Role: Driver, Quantity: "the largest service, staged, judged by the clock", Unit: "s",
		Need: m.stagedDuration(m.assumption("shape.largest")), Budget: m.limit("periods.settled_within"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/rollout, internal/coordination/driver"})
	m.addRow(Row{Time: AllRestarted, Role: Leader, Quantity: "one change of all: the message that begins it", Unit: "bytes",
		Need: m.changeBytes(m.servers), Budget: m.limit("limits.max_ask"), Breaks: BreaksRule,
		Mechanism: "internal/coordination/fleet (maxRequest)", NeededBy: []string{ByRollout}})
	m.addRow(Row{Time: AllRestarted, Role: Leader, Quantity: "events in the log, spread over the day", Unit: "1/s",
		Need:   mul(m.servers, m.assumption("changes.events_a_sidecar")).times(1. / secondsPerDay),
		Budget: m.limit("earlier.grants_a_second"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/rollout, internal/coordination/replica"})
	m.addRow(Row{Time: AllRestarted, Role: SidecarCalls, Quantity: "processor time of a start, beside the one in service",
		Unit: "cores", Need: coresFromMicros(m.measured("start", "sidecar", "cpu_us", m.servers)),
		Mechanism: "cmd/petrelhook, internal/sidecar/handover"})
}

// addOutageRows adds the rows of the loss and return of all coordinators.
func (m *model) addOutageRows() {
	within := m.assumption("periods.back_within")
	m.addRow(Row{Time: CoordinatorsLost, Role: Leader, Quantity: "requests pending at once, if all send one at once", Unit: "",
		Need: m.sessions, Budget: m.limit("limits.max_waiting"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/replica (maxWaiting)", NeededBy: []string{ZoneLost}})
	m.addRow(Row{Time: CoordinatorsLost, Role: Leader, Quantity: "sessions opened again, one after the other", Unit: "s",
		Need: div(m.sessions, m.assumption("earlier.grants_a_second")), Budget: m.limit("periods.lease_ttl"),
		Breaks: BreaksTime, Mechanism: "lease, internal/coordination/replica, internal/coordination/replica/disk"})
	asks := div(div(m.sessions, m.assumption("periods.ask_pause")), m.assumption("machines.replicas"))
	m.addRow(Row{Time: CoordinatorsLost, Role: Follower,
		Quantity: "requests of sessions without a leader, beside what three replicas answered", Unit: "1/s", Need: asks,
		Budget: m.limit("earlier.renewals_a_second"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/fleet (Caller), lease (Pause)", NeededBy: []string{ZoneLost, RegionIsolated, "each election"}})
	m.addRow(Row{Time: CoordinatorsLost, Role: Leader, Quantity: "renewals, and watches that return within their spread",
		Unit: "1/s", Need: add(div(div(m.machines, within), m.assumption("machines.replicas")), m.renewalRate()),
		Budget: m.limit("earlier.renewals_a_second_12000"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Subscriber), lease", NeededBy: []string{ZoneLost, RegionIsolated}})
	m.addRow(Row{Time: CoordinatorsLost, Role: Leader, Quantity: "bytes of versions, if all lost theirs", Unit: "bytes/s",
		Need:   div(mul(m.machines, add(m.assumption("changes.bytes"), m.assumption("changes.head_bytes"))), within),
		Budget: m.usableLimit("machines.network"), Breaks: BreaksTime, Mechanism: "internal/coordination/distribute"})
	m.addRow(Row{Time: CoordinatorsLost, Role: Leader, Quantity: "singleton roles without a lease holder, besides an election",
		Unit: "s", Need: m.assumption("periods.lease_ttl"),
		Mechanism: "internal/coordination/lease (a new leader lets all live a whole time)"})
	m.addRow(Row{Time: CoordinatorsLost, Role: SidecarControl, Quantity: "a change in force after their return", Unit: "s",
		Need: add(within, m.inForce("return", "member", m.machines)), Budget: m.limit("target.in_force"),
		Breaks: BreaksTime, Mechanism: "internal/coordination/distribute (Subscriber)"})
}
