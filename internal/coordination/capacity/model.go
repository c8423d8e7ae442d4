package capacity

// The times that are looked at.
const (
	Ordinary     = "an ordinary minute"
	Busiest      = "the busiest minute"
	Now          = "a change in force everywhere, by what there was before"
	After        = "a change in force everywhere, by versions"
	Rack         = "a rack lost"
	Zone         = "a zone lost and back"
	Region       = "a region cut off, and its return"
	Restarts     = "all sidecars restarted in a day"
	Coordinators = "all coordinators lost and back"
)

// Times are all, in the order of the page.
func Times() []string {
	return []string{Ordinary, Busiest, Now, After, Rack, Zone, Region, Restarts, Coordinators}
}

// The roles.
const (
	Calls    = "sidecar: calls"
	Control  = "sidecar: control"
	Agent    = "agent"
	Leader   = "coordinator that leads"
	Follower = "coordinator that follows"
	Driver   = "driver"
	Lists    = "who tells lists"
	Tool     = "operators' tool"
)

// Evaluate works out all rows from assumptions and what was measured; m may be nil: nothing was.
func Evaluate(a *Assumptions, m *Measured) []Row { return newModel(newInputs(a, m)).rows() }

// model is what the rows have in common.
type model struct {
	*inputs
	servers, machines, sessions Figure // sessions: one a machine, its agent's
	meanServiceSize             Figure // servers of a service
	weightedServiceSize         Figure // ... as a server sees it, on the average
	knownServers                Figure // servers that a sidecar has in its lists
	watchers                    Figure // sidecars that have a server in their lists
	listChangeRate              Figure // changes of lists, 1/s, on an ordinary day
	changeRate                  Figure // changes of configuration, 1/s, on an ordinary day
	listMachines                Figure // machines set aside that tell lists
	derived                     []Derived
	evaluated                   []Row
}

// Derived is a figure that many rows rest on; they name it, and it names its sources.
type Derived struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	Figure
}

func newModel(in *inputs) *model {
	m := &model{inputs: in}
	m.servers = in.assumption("target.servers")
	m.machines = m.derive("machines with an agent", "", div(m.servers, in.assumption("places.sidecars_a_machine")))
	m.sessions = m.derive("sessions", "", mul(m.machines, in.assumption("places.sessions_a_machine")))
	m.meanServiceSize = m.derive("servers of a mean service", "", div(m.servers, in.assumption("target.services")))
	m.weightedServiceSize = m.derive("servers of a service, as a server sees its own", "", in.weightedMeanSize())
	// A service is called by as many as its size says, so each of a sidecar's lists is of a size as a server sees its
	// own. Each pair of who knows and who is known counts at both its ends: as many have a server in their lists as
	// it has in its own.
	m.knownServers = m.derive("servers known to a sidecar, and sidecars that know a server", "",
		smaller(mul(in.assumption("shape.fan_out"), m.weightedServiceSize), m.servers))
	m.watchers = m.knownServers
	m.listChangeRate = m.derive("changes of lists", "1/s",
		add(mul(in.assumption("target.failed_a_day"), in.assumption("lists.changes_a_failure")),
			mul(in.assumption("target.restarted_a_day"), in.assumption("lists.changes_a_restart"))).times(1./secondsPerDay))
	m.changeRate = m.derive("changes of configuration", "1/s", in.assumption("target.changes_a_day").times(1./secondsPerDay))
	m.listMachines = m.derive("machines that tell lists", "", add(in.assumption("target.control_machines"),
		in.assumption("machines.replicas").times(-1)))
	return m
}

// derive notes a figure that rows name in place of its own sources.
func (m *model) derive(name, unit string, f Figure) Figure {
	m.derived = append(m.derived, Derived{name, unit, f})
	f.From = []string{name}
	return f
}

const secondsPerDay = 86400 // s

// smaller is the smaller of two.
func smaller(a, b Figure) Figure {
	f := a
	if b.Value < a.Value {
		f = b
	}
	return f.with(a, b)
}

// addRow adds a row and judges it. budget may be nil.
func (m *model) addRow(r Row) {
	r.judge()
	m.evaluated = append(m.evaluated, r)
}

func (m *model) rows() []Row {
	m.calls()
	m.control()
	m.coordinators()
	m.driver()
	m.lists()
	m.busiest()
	m.changesNow()
	m.changesAfter()
	m.faults()
	m.restarts()
	m.outage()
	return m.evaluated
}

func pointerTo(f Figure) *Figure { return &f }

// usable is the part of something that may be used of a machine set aside.
func (m *model) usable(name string) Figure {
	return mul(m.assumption(name), m.assumption("machines.used_share"))
}

// microseconds a second are cores.
func coresFromMicros(f Figure) Figure { return f.times(1e-6) }
