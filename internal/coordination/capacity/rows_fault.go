package capacity

// addFaultRows adds the rows of servers that fail and return together.
func (m *model) addFaultRows() {
	for _, c := range []struct {
		situation   string
		lostServers Figure
	}{{RackLost, mul(m.assumption("topology.rack"), m.assumption("topology.sidecars_a_machine"))},
		{ZoneLost, mul(m.servers, m.assumption("topology.zone_share"))},
		{RegionIsolated, mul(m.servers, m.assumption("topology.region_share"))}} {
		m.addFailureRows(c.situation, c.lostServers)
		if c.situation != RackLost {
			m.addReturnRows(c.situation, c.lostServers)
		}
	}
	m.addRegionReturnRows()
}

// addFailureRows adds the rows of a number of servers that fail at the same time. The lists have to be updated within
// periods.list_update_deadline.
func (m *model) addFailureRows(situation string, servers Figure) {
	deadline := m.assumption("periods.list_update_deadline")
	changes := mul(servers, m.assumption("lists.changes_a_failure"))
	m.addRow(Row{Situation: situation, Role: SidecarControl, Quantity: "bytes of list updates, of a minute's budget", Unit: unitBytes,
		Need: m.listUpdateBytes(changes), Budget: pointerTo(m.assumption("target.control_bytes").times(60)), Breaks: BreaksTime,
		Mechanism: "internal/sidecar/member/discovery"})
	m.addRow(Row{Situation: situation, Role: ListServer, Quantity: "list updates sent by a machine", Unit: unitPerSecond,
		Need: div(div(mul(changes, m.watchers), deadline), m.listMachines), Mechanism: "the platform's discovery"})
	m.addRow(Row{Situation: situation, Role: ListServer, Quantity: "bytes out of a machine", Unit: unitBytesPerSecond,
		Need:   div(div(mul(m.servers, m.listUpdateBytes(changes)), deadline), m.listMachines),
		Budget: m.usableLimit("machines.network"), Breaks: BreaksTime, Mechanism: "the platform's discovery"})
	m.addRow(Row{Situation: situation, Role: ListServer, Quantity: "processor time of a machine while it sends updates", Unit: unitCores,
		Need: div(div(mul(changes, m.watchers, m.measured("lists", "server", "cpu_us_line", m.servers)), deadline),
			m.listMachines).times(1e-6),
		Budget: m.usableLimit("machines.cores"), Breaks: BreaksRule,
		Mechanism: "the platform's discovery; internal/sidecar/member/discovery",
		NeededBy:  []string{"draining in time (a rule of calls)"}})
	m.addRow(Row{Situation: situation, Role: SidecarControl, Quantity: "processor time while it receives updates", Unit: unitCores,
		Need: div(mul(changes, div(m.knownServers, m.servers), m.measured("lists", "sidecar", "cpu_us_line", m.servers)),
			deadline).times(1e-6),
		Budget: m.limit("target.control_core"), Breaks: BreaksTime,
		Mechanism: "internal/sidecar/member/discovery, balance (list.go)"})
	m.addRow(Row{Situation: situation, Role: Leader, Quantity: "log entries of expired sessions, within a lease's TTL", Unit: unitPerSecond,
		Need: div(mul(div(servers, m.assumption("topology.sidecars_a_machine")), m.assumption("topology.sessions_a_machine")),
			m.assumption("periods.lease_ttl")),
		Budget: m.limit("earlier.grants_a_second"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/replica (due), internal/coordination/replica/disk"})
}

// addReturnRows adds the rows of a number of servers that return at the same time. They reconnect within
// periods.reconnect_window.
func (m *model) addReturnRows(situation string, servers Figure) {
	window := m.assumption("periods.reconnect_window")
	agents := div(servers, m.assumption("topology.sidecars_a_machine"))
	m.addRow(Row{Situation: situation, Role: Leader, Quantity: "sessions opened as they return", Unit: unitPerSecond,
		Need:   div(mul(agents, m.assumption("topology.sessions_a_machine")), window),
		Budget: m.limit("earlier.grants_a_second"), Breaks: BreaksTime,
		Mechanism: "lease, internal/coordination/replica, internal/coordination/replica/disk"})
	m.addRow(Row{Situation: situation, Role: Leader, Quantity: "bytes of versions sent as they return, if the leader sends all",
		Unit: unitBytesPerSecond, Need: div(mul(agents, add(m.assumption("changes.bytes"), m.assumption("changes.overhead_bytes"))), window),
		Budget: m.usableLimit("machines.network"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (only the newest version is sent)"})
	m.addRow(Row{Situation: situation, Role: ListServer, Quantity: "bytes of complete lists out of a machine as they return",
		Unit: unitBytesPerSecond, Need: div(div(mul(servers, m.knownServers, m.assumption("lists.entry_bytes")), window), m.listMachines),
		Budget: m.usableLimit("machines.network"), Breaks: BreaksTime,
		Mechanism: "the platform's discovery; internal/sidecar/member/discovery"})
	m.addRow(Row{Situation: situation, Role: SidecarControl, Quantity: "bytes of complete lists as it returns, of a minute's budget",
		Unit: unitBytes, Need: mul(m.knownServers, m.assumption("lists.entry_bytes")),
		Budget: pointerTo(m.assumption("target.control_bytes").times(60)), Breaks: BreaksTime,
		Mechanism: "internal/sidecar/member/discovery"})
}

// addRegionReturnRows adds the rows of the return of an isolated region, and of the calls at the sidecars that are left after the
// loss of a zone.
func (m *model) addRegionReturnRows() {
	missed := mul(m.changeRate, m.assumption("target.region_isolation"))
	m.addRow(Row{Situation: RegionIsolated, Role: SidecarControl, Quantity: "changes missed, of all services", Unit: unitNone,
		Need:      smaller(missed, m.assumption("target.services")),
		Mechanism: "internal/coordination/distribute (only a service's newest version counts)"})
	m.addRow(Row{Situation: RegionIsolated, Role: SidecarControl, Quantity: "in force there after its return", Unit: unitSeconds,
		Need: add(m.assumption("periods.reconnect_window"), m.measured("return", "member", "in_force_max_s",
			mul(m.machines, m.assumption("topology.region_share")))),
		Budget: m.limit("target.in_force"), Breaks: BreaksTime, Mechanism: "internal/coordination/distribute (Subscriber)"})
	remaining := add(Figure{Value: 1}, m.assumption("topology.zone_share").times(-1))
	rate := div(div(m.assumption("target.calls"), m.servers), remaining)
	m.addRow(Row{Situation: ZoneLost, Role: SidecarCalls, Quantity: "latency added to a call, p99, at the sidecars that are left", Unit: unitSeconds,
		Need: m.measuredAtRate("added_p99_us", Figure{Value: 1}, rate).times(1e-6), Budget: m.limit("target.added_latency"),
		Breaks: BreaksTime, Mechanism: "balance, internal/sidecar/core, internal/sidecar/upstream/http1"})
}

// addRestartRows adds the rows of a day on which every sidecar is restarted once.
func (m *model) addRestartRows() {
	changes := add(m.listChangeRate, mul(m.servers, m.assumption("lists.changes_a_restart")).times(1./secondsPerDay))
	m.addRow(Row{Situation: AllRestarted, Role: SidecarControl, Quantity: "bytes of lists", Unit: unitBytesPerSecond,
		Need:   add(m.listBytes(changes), mul(m.knownServers, m.assumption("lists.entry_bytes")).times(1./secondsPerDay)),
		Budget: m.limit("target.control_bytes"), Breaks: BreaksTime, Mechanism: "internal/sidecar/member/discovery"})
	m.addRow(Row{Situation: AllRestarted, Role: ListServer, Quantity: "bytes out of a machine", Unit: unitBytesPerSecond,
		Need: div(mul(m.servers, m.listBytes(changes)), m.listMachines), Budget: m.usableLimit("machines.network"),
		Breaks: BreaksTime, Mechanism: "the platform's discovery"})
	m.addRow(Row{Situation: AllRestarted, Role: Driver, Quantity: "staged, by time alone, in the largest service", Unit: unitSeconds,
		Need: m.stagedDuration(m.assumption("shape.largest")), Budget: m.limit("periods.release_deadline"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/rollout, internal/coordination/driver"})
	m.addRow(Row{Situation: AllRestarted, Role: Leader, Quantity: "message that begins one change of all", Unit: unitBytes,
		Need: m.changeBytes(m.servers), Budget: m.limit("limits.max_request"), Breaks: BreaksRule,
		Mechanism: "internal/coordination/fleet (maxRequestBytes)", NeededBy: []string{ByRollout}})
	m.addRow(Row{Situation: AllRestarted, Role: Leader, Quantity: "events in the log, spread over the day", Unit: unitPerSecond,
		Need:   mul(m.servers, m.assumption("changes.events_a_sidecar")).times(1. / secondsPerDay),
		Budget: m.limit("earlier.grants_a_second"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/rollout, internal/coordination/replica"})
	m.addRow(Row{Situation: AllRestarted, Role: SidecarCalls, Quantity: "processor time of a start, beside the one in service",
		Unit: unitCores, Need: coresFromMicros(m.measured("start", "sidecar", "cpu_us", m.servers)),
		Mechanism: "cmd/petrelhook, internal/sidecar/handover"})
}

// addOutageRows adds the rows of the loss and return of all coordinators.
func (m *model) addOutageRows() {
	window := m.assumption("periods.reconnect_window")
	m.addRow(Row{Situation: CoordinatorsLost, Role: Leader, Quantity: "concurrent requests, if all sessions send one", Unit: unitNone,
		Need: m.sessions, Budget: m.limit("limits.max_waiting"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/replica (maxPendingRequests)", NeededBy: []string{ZoneLost}})
	m.addRow(Row{Situation: CoordinatorsLost, Role: Leader, Quantity: "sessions opened again, one after the other", Unit: unitSeconds,
		Need: div(m.sessions, m.assumption("earlier.grants_a_second")), Budget: m.limit("periods.lease_ttl"),
		Breaks: BreaksTime, Mechanism: "lease, internal/coordination/replica, internal/coordination/replica/disk"})
	requests := div(div(m.sessions, m.assumption("periods.retry_interval")), m.assumption("machines.replicas"))
	m.addRow(Row{Situation: CoordinatorsLost, Role: Follower,
		Quantity: "requests of sessions without a leader, beside what three replicas answered", Unit: unitPerSecond, Need: requests,
		Budget: m.limit("earlier.renewals_a_second"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/fleet (Caller.RetryInterval), lease", NeededBy: []string{ZoneLost, RegionIsolated, "each election"}})
	m.addRow(Row{Situation: CoordinatorsLost, Role: Leader, Quantity: "renewals, and watches that reconnect within their window",
		Unit: unitPerSecond, Need: add(div(div(m.machines, window), m.assumption("machines.replicas")), m.renewalRate()),
		Budget: m.limit("earlier.renewals_a_second_12000"), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Subscriber), lease", NeededBy: []string{ZoneLost, RegionIsolated}})
	m.addRow(Row{Situation: CoordinatorsLost, Role: Leader, Quantity: "bytes of versions, if all members lost theirs", Unit: unitBytesPerSecond,
		Need:   div(mul(m.machines, add(m.assumption("changes.bytes"), m.assumption("changes.overhead_bytes"))), window),
		Budget: m.usableLimit("machines.network"), Breaks: BreaksTime, Mechanism: "internal/coordination/distribute"})
	m.addRow(Row{Situation: CoordinatorsLost, Role: Leader, Quantity: "singleton roles without a lease holder, besides an election",
		Unit: unitSeconds, Need: m.assumption("periods.lease_ttl"),
		Mechanism: "internal/coordination/lease (a new leader extends all sessions by a complete TTL)"})
	m.addRow(Row{Situation: CoordinatorsLost, Role: SidecarControl, Quantity: "a change in force after their return", Unit: unitSeconds,
		Need: add(window, m.inForce("return", "member", m.machines)), Budget: m.limit("target.in_force"),
		Breaks: BreaksTime, Mechanism: "internal/coordination/distribute (Subscriber)"})
}
