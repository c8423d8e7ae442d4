package capacity

// The situations that the model evaluates. Their texts are titles on the page.
const (
	Ordinary         = "an ordinary minute"
	Busiest          = "the busiest minute"
	ByRollout        = "a change in force everywhere, by a rollout"
	ByVersion        = "a change in force everywhere, by versions"
	RackLost         = "a rack lost"
	ZoneLost         = "a zone lost, and its return"
	RegionIsolated   = "a region isolated, and its return"
	AllRestarted     = "all sidecars restarted in a day"
	CoordinatorsLost = "all coordinators lost, and their return"
)

// Situations returns all situations, in the order of the page.
func Situations() []string {
	return []string{Ordinary, Busiest, ByRollout, ByVersion, RackLost, ZoneLost, RegionIsolated, AllRestarted, CoordinatorsLost}
}

// The roles. Their texts are on the page.
const (
	SidecarCalls   = "sidecar: calls"
	SidecarControl = "sidecar: control"
	Agent          = "agent"
	Leader         = "coordinator: leader"
	Follower       = "coordinator: follower"
	Driver         = "driver"
	ListServer     = "list server"
	Tool           = "operators' tool"
)

// Evaluate computes all rows from assumptions and measurements. m may be nil: nothing was measured.
func Evaluate(a *Assumptions, m *Measured) []Row { return newModel(newInputs(a, m)).rows() }

// model has the figures that rows have in common, and the rows as they are computed.
type model struct {
	*inputs
	servers, machines, sessions Figure // sessions: those of the agents
	meanServiceSize             Figure // servers of a mean service, each service counted once
	weightedServiceSize         Figure // servers of a service, on the average over all servers
	knownServers                Figure // servers that a sidecar has in its lists
	watchers                    Figure // sidecars that have a server in their lists
	listChangeRate              Figure // changes of lists, 1/s, on an ordinary day
	changeRate                  Figure // changes of configuration, 1/s, on an ordinary day
	listMachines                Figure // control machines that serve lists, which are those without a replica
	derived                     []Derived
	evaluated                   []Row
}

// Derived is a figure that many rows use. Rows name it as their source, and it names its own sources.
type Derived struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	Figure
}

func newModel(in *inputs) *model {
	m := &model{inputs: in}
	m.servers = in.assumption("target.servers")
	m.machines = m.derive("machines with an agent", unitNone, div(m.servers, in.assumption("topology.sidecars_a_machine")))
	m.sessions = m.derive("sessions", unitNone, mul(m.machines, in.assumption("topology.sessions_a_machine")))
	m.meanServiceSize = m.derive("servers of a mean service", unitNone, div(m.servers, in.assumption("target.services")))
	m.weightedServiceSize = m.derive("servers of a service, as a server sees its own", unitNone, in.weightedMeanSize())
	// Services are assumed to be called in proportion to their size, so that each list of a sidecar has, on the average,
	// weightedServiceSize servers. Each pair of a sidecar and a server that it knows counts once for either, so that on the
	// average as many sidecars know a server as a sidecar knows servers.
	m.knownServers = m.derive("servers known to a sidecar, and sidecars that know a server", unitNone,
		smaller(mul(in.assumption("shape.fan_out"), m.weightedServiceSize), m.servers))
	m.watchers = m.knownServers
	m.listChangeRate = m.derive("changes of lists", unitPerSecond,
		add(mul(in.assumption("target.failed_a_day"), in.assumption("lists.changes_a_failure")),
			mul(in.assumption("target.restarted_a_day"), in.assumption("lists.changes_a_restart"))).times(1./secondsPerDay))
	m.changeRate = m.derive("changes of configuration", unitPerSecond, in.assumption("target.changes_a_day").times(1./secondsPerDay))
	m.listMachines = m.derive("machines that serve lists", unitNone, add(in.assumption("target.control_machines"),
		in.assumption("machines.replicas").times(-1)))
	return m
}

// derive adds a derived figure and returns it with its name as the only source, so that rows name it in place of its own sources.
func (m *model) derive(name, unit string, f Figure) Figure {
	m.derived = append(m.derived, Derived{name, unit, f})
	f.From = []string{name}
	return f
}

const secondsPerDay = 86400 // s

// smaller returns the smaller of two figures.
func smaller(a, b Figure) Figure {
	f := a
	if b.Value < a.Value {
		f = b
	}
	return f.with(a, b)
}

// addRow sets the verdict of a row and adds the row.
func (m *model) addRow(r Row) {
	r.setVerdict()
	m.evaluated = append(m.evaluated, r)
}

// rows computes all rows, in the order of the page within each situation.
func (m *model) rows() []Row {
	m.addCallRows()
	m.addControlRows()
	m.addCoordinatorRows()
	m.addDriverRows()
	m.addListRows()
	m.addBusiestRows()
	m.addStagedChangeRows()
	m.addVersionRows()
	m.addFaultRows()
	m.addRestartRows()
	m.addOutageRows()
	return m.evaluated
}

func pointerTo(f Figure) *Figure { return &f }

// limit returns an assumption as the budget of a row.
func (m *model) limit(name string) *Figure { return pointerTo(m.assumption(name)) }

// usableLimit returns the usable part of a resource of a control machine as the budget of a row.
func (m *model) usableLimit(name string) *Figure { return pointerTo(m.usable(name)) }

// usable returns the part of a resource of a control machine that may be used.
func (m *model) usable(name string) Figure {
	return mul(m.assumption(name), m.assumption("machines.used_share"))
}

// coresFromMicros converts microseconds of processor time per second to cores.
func coresFromMicros(f Figure) Figure { return f.times(1e-6) }
