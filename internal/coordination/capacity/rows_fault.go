package capacity

// faults are the rows of servers that go together and come back together.
func (m *model) faults() {
	for _, c := range []struct {
		time string
		gone Figure // servers
	}{{Rack, mul(m.assumption("places.rack"), m.assumption("places.sidecars_a_machine"))},
		{Zone, mul(m.servers, m.assumption("places.zone_share"))},
		{Region, mul(m.servers, m.assumption("places.region_share"))}} {
		m.gone(c.time, c.gone)
		if c.time != Rack {
			m.back(c.time, c.gone)
		}
	}
	m.returned()
}

// gone is what follows where so many servers fail at one moment, and lists tell of it within the time in which they
// must.
func (m *model) gone(time string, servers Figure) {
	within := m.assumption("periods.heard_within")
	news := mul(servers, m.assumption("lists.changes_a_failure"))
	m.addRow(Row{Time: time, Role: Control, What: "bytes of lists, as they go, of a minute's budget", Unit: "bytes",
		Need: m.listUpdateBytes(news), Budget: pointerTo(m.assumption("target.control_bytes").times(60)), Breaks: BreaksTime,
		Mechanism: "internal/sidecar/member/discovery"})
	m.addRow(Row{Time: time, Role: Lists, What: "lines of lists out of a machine, each change a line", Unit: "1/s",
		Need: div(div(mul(news, m.watchers), within), m.listMachines), Mechanism: "the platform's discovery"})
	m.addRow(Row{Time: time, Role: Lists, What: "bytes out of a machine", Unit: "bytes/s",
		Need:   div(div(mul(m.servers, m.listUpdateBytes(news)), within), m.listMachines),
		Budget: pointerTo(m.usable("machines.network")), Breaks: BreaksTime, Mechanism: "the platform's discovery"})
	m.addRow(Row{Time: time, Role: Lists, What: "processor time of a machine while it tells", Unit: "cores",
		Need: div(div(mul(news, m.watchers, m.measured("lists", "server", "cpu_us_line", m.servers)), within),
			m.listMachines).times(1e-6),
		Budget: pointerTo(m.usable("machines.cores")), Breaks: BreaksRule,
		Mechanism: "the platform's discovery; internal/sidecar/member/discovery",
		Needs:     []string{"drains in time (a rule of calls)"}})
	m.addRow(Row{Time: time, Role: Control, What: "processor time while it hears", Unit: "cores",
		Need: div(mul(news, div(m.knownServers, m.servers), m.measured("lists", "sidecar", "cpu_us_line", m.servers)),
			within).times(1e-6),
		Budget: pointerTo(m.assumption("target.control_core")), Breaks: BreaksTime,
		Mechanism: "internal/sidecar/member/discovery, balance (list.go)"})
	m.addRow(Row{Time: time, Role: Leader, What: "ends of sessions in the log, within a lease's time", Unit: "1/s",
		Need: div(mul(div(servers, m.assumption("places.sidecars_a_machine")), m.assumption("places.sessions_a_machine")),
			m.assumption("periods.lease_ttl")),
		Budget: pointerTo(m.assumption("earlier.grants_a_second")), Breaks: BreaksTime,
		Mechanism: "internal/coordination/replica (due), internal/coordination/replica/disk"})
}

// back is what follows where so many are there again at one moment.
func (m *model) back(time string, servers Figure) {
	within := m.assumption("periods.back_within")
	agents := div(servers, m.assumption("places.sidecars_a_machine"))
	m.addRow(Row{Time: time, Role: Leader, What: "sessions opened as they are back", Unit: "1/s",
		Need:   div(mul(agents, m.assumption("places.sessions_a_machine")), within),
		Budget: pointerTo(m.assumption("earlier.grants_a_second")), Breaks: BreaksTime,
		Mechanism: "lease, internal/coordination/replica, internal/coordination/replica/disk"})
	m.addRow(Row{Time: time, Role: Leader, What: "bytes of versions told as they are back, were it alone",
		Unit: "bytes/s", Need: div(mul(agents, add(m.assumption("changes.bytes"), m.assumption("changes.head_bytes"))), within),
		Budget: pointerTo(m.usable("machines.network")), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (the newest alone is told)"})
	m.addRow(Row{Time: time, Role: Lists, What: "bytes of whole lists out of a machine as they are back",
		Unit: "bytes/s", Need: div(div(mul(servers, m.knownServers, m.assumption("lists.entry_bytes")), within), m.listMachines),
		Budget: pointerTo(m.usable("machines.network")), Breaks: BreaksTime,
		Mechanism: "the platform's discovery; internal/sidecar/member/discovery"})
	m.addRow(Row{Time: time, Role: Control, What: "bytes of whole lists as it is back, of a minute's budget",
		Unit: "bytes", Need: mul(m.knownServers, m.assumption("lists.entry_bytes")),
		Budget: pointerTo(m.assumption("target.control_bytes").times(60)), Breaks: BreaksTime,
		Mechanism: "internal/sidecar/member/discovery"})
}

// returned is what a region that was cut off has missed.
func (m *model) returned() {
	missed := mul(m.changeRate, m.assumption("target.cut_off"))
	m.addRow(Row{Time: Region, Role: Control, What: "changes missed, of all services", Unit: "",
		Need:      smaller(missed, m.assumption("target.services")),
		Mechanism: "internal/coordination/distribute (a service's newest alone counts)"})
	m.addRow(Row{Time: Region, Role: Control, What: "in force there after its return", Unit: "s",
		Need: add(m.assumption("periods.back_within"), m.measured("return", "member", "in_force_max_s",
			mul(m.machines, m.assumption("places.region_share")))),
		Budget: pointerTo(m.assumption("target.in_force")), Breaks: BreaksTime, Mechanism: "internal/coordination/distribute (Subscriber)"})
	part := add(Figure{Value: 1}, m.assumption("places.zone_share").times(-1))
	rate := div(div(m.assumption("target.calls"), m.servers), part)
	m.addRow(Row{Time: Zone, Role: Calls, What: "added to a call for 99 in 100, at those that are left", Unit: "s",
		Need: m.measuredAtRate("added_p99_us", Figure{Value: 1}, rate).times(1e-6), Budget: pointerTo(m.assumption("target.added")),
		Breaks: BreaksTime, Mechanism: "balance, internal/sidecar/core, internal/sidecar/upstream/http1"})
}

// restarts are the rows of a day on which every sidecar is started anew once.
func (m *model) restarts() {
	news := add(m.listChangeRate, mul(m.servers, m.assumption("lists.changes_a_restart")).times(1./secondsPerDay))
	m.addRow(Row{Time: Restarts, Role: Control, What: "bytes of lists", Unit: "bytes/s",
		Need:   add(m.listBytes(news), mul(m.knownServers, m.assumption("lists.entry_bytes")).times(1./secondsPerDay)),
		Budget: pointerTo(m.assumption("target.control_bytes")), Breaks: BreaksTime, Mechanism: "internal/sidecar/member/discovery"})
	m.addRow(Row{Time: Restarts, Role: Lists, What: "bytes out of a machine", Unit: "bytes/s",
		Need: div(mul(m.servers, m.listBytes(news)), m.listMachines), Budget: pointerTo(m.usable("machines.network")),
		Breaks: BreaksTime, Mechanism: "the platform's discovery"})
	m.addRow(Row{Time: Restarts, Role: Driver, What: "the largest service, staged, judged by the clock", Unit: "s",
		Need: m.stagedDuration(m.assumption("shape.largest")), Budget: pointerTo(m.assumption("periods.settled_within")), Breaks: BreaksTime,
		Mechanism: "internal/coordination/rollout, internal/coordination/driver"})
	m.addRow(Row{Time: Restarts, Role: Leader, What: "one change of all: the message that begins it", Unit: "bytes",
		Need: m.changeBytes(m.servers), Budget: pointerTo(m.assumption("limits.max_ask")), Breaks: BreaksRule,
		Mechanism: "internal/coordination/fleet (maxAsk)", Needs: []string{Now}})
	m.addRow(Row{Time: Restarts, Role: Leader, What: "events in the log, spread over the day", Unit: "1/s",
		Need:   mul(m.servers, m.assumption("changes.events_a_sidecar")).times(1. / secondsPerDay),
		Budget: pointerTo(m.assumption("earlier.grants_a_second")), Breaks: BreaksTime,
		Mechanism: "internal/coordination/rollout, internal/coordination/replica"})
	m.addRow(Row{Time: Restarts, Role: Calls, What: "processor time of a start, beside the one in service",
		Unit: "cores", Need: coresFromMicros(m.measured("start", "sidecar", "cpu_us", m.servers)),
		Mechanism: "cmd/petrelhook, internal/sidecar/handover"})
}

// outage are the rows of all coordinators gone and there again.
func (m *model) outage() {
	within := m.assumption("periods.back_within")
	m.addRow(Row{Time: Coordinators, Role: Leader, What: "questions that wait at once, if all ask at once", Unit: "",
		Need: m.sessions, Budget: pointerTo(m.assumption("limits.max_waiting")), Breaks: BreaksTime,
		Mechanism: "internal/coordination/replica (maxWaiting)", Needs: []string{Zone}})
	m.addRow(Row{Time: Coordinators, Role: Leader, What: "sessions opened anew, one after the other", Unit: "s",
		Need: div(m.sessions, m.assumption("earlier.grants_a_second")), Budget: pointerTo(m.assumption("periods.lease_ttl")),
		Breaks: BreaksTime, Mechanism: "lease, internal/coordination/replica, internal/coordination/replica/disk"})
	asks := div(div(m.sessions, m.assumption("periods.ask_pause")), m.assumption("machines.replicas"))
	m.addRow(Row{Time: Coordinators, Role: Follower,
		What: "asks of sessions while nobody leads, beside what three replicas answered", Unit: "1/s", Need: asks,
		Budget: pointerTo(m.assumption("earlier.renewals_a_second")), Breaks: BreaksTime,
		Mechanism: "internal/coordination/fleet (Caller), lease (Pause)", Needs: []string{Zone, Region, "each election"}})
	m.addRow(Row{Time: Coordinators, Role: Leader, What: "renewals, and watches that are back within their spread",
		Unit: "1/s", Need: add(div(div(m.machines, within), m.assumption("machines.replicas")), m.renewals()),
		Budget: pointerTo(m.assumption("earlier.renewals_a_second_12000")), Breaks: BreaksTime,
		Mechanism: "internal/coordination/distribute (Subscriber), lease", Needs: []string{Zone, Region}})
	m.addRow(Row{Time: Coordinators, Role: Leader, What: "bytes of versions, if all lost theirs", Unit: "bytes/s",
		Need:   div(mul(m.machines, add(m.assumption("changes.bytes"), m.assumption("changes.head_bytes"))), within),
		Budget: pointerTo(m.usable("machines.network")), Breaks: BreaksTime, Mechanism: "internal/coordination/distribute"})
	m.addRow(Row{Time: Coordinators, Role: Leader, What: "tasks of the fleet without a holder, beside an election",
		Unit: "s", Need: m.assumption("periods.lease_ttl"),
		Mechanism: "internal/coordination/lease (a new leader lets all live a whole time)"})
	m.addRow(Row{Time: Coordinators, Role: Control, What: "a change in force after their return", Unit: "s",
		Need: add(within, m.inForce("return", "member", m.machines)), Budget: pointerTo(m.assumption("target.in_force")),
		Breaks: BreaksTime, Mechanism: "internal/coordination/distribute (Subscriber)"})
}
