package balance

import "math"

// The settings, and what stands in for those that are not given. All times are milliseconds. Package wire
// reads the settings and has the names that operators write them by.

// Effect says whether the requests of a class may be executed more than once.
type Effect uint8

// The three effects that a class of requests can have.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // has an idempotency key: the servers of one group drop repeats within a window
	Unsafe               // must never run twice
)

// Group says which servers share the idempotency keys that they remember: a keyed request that may have been
// executed is sent again only to a server of the same group as the first.
type Group uint8

// The groups.
const (
	GroupAll  Group = iota // all servers
	GroupZone              // those of one zone
	GroupCell              // those of one cell
)

// Class describes one class of requests, which a request names by its position in Config.Classes.
type Class struct {
	Effect               Effect
	Group                Group   // of a keyed class
	Window               float64 // of a keyed class: how long a group remembers a key, from the send on
	LatencyTarget        float64 // an answer within this has its full value
	LatencyTargetStretch float64 // the target grows by this multiple of a request's own work; not used
	Deadline             float64 // the longest that a client waits, its own retries included
	Value                float64 // of an answer within the latency target
	LateValue            float64 // fraction of Value that an answer after the latency target still has
	Stream               bool    // answers are streams; not used: ResponseStarted says so of each
}

// Tenant is one customer of the service, which a request names by its position in Config.Tenants.
type Tenant struct {
	Allowance float64 // requests a second within its share, over all sidecars; not used
	Share     float64 // its fraction of the requests, of which answers have their full value; 0: no limit
}

// ReportVia says how load reports reach a sidecar.
type ReportVia uint8

// The ways of load reports.
const (
	ReportNone      ReportVia = iota // servers report no load
	ReportPiggyback                  // with each answer
	ReportProbe                      // as the answer to a probe
)

// ReportField is what one number of a load report means.
type ReportField uint8

// The numbers that a load report can have. Of these the module uses FieldInFlight alone.
const (
	FieldUnknown   ReportField = iota
	FieldInFlight              // requests being handled
	FieldQueue                 // requests waiting
	FieldUtil                  // fraction of CPU in use
	FieldLatency               // recent service time
	FieldRate                  // requests served a second
	FieldErrorRate             // errors a second
)

// Config holds the settings that one sidecar starts with. New completes them; see withDefaults. The settings
// are one page to operators, of which the module does not use all: what it does not use says so.
type Config struct {
	Seed                        uint64 // of all random choices
	SidecarNumber, SidecarCount int    // this sidecar's number, from 0, and how many sidecars there are
	Zone                        int    // this sidecar's zone, as in Server.Zone
	Classes                     []Class
	Tenants                     []Tenant
	OverShareValue              float64 // value of a request beyond its tenant's share, as a fraction
	BatchInterval               float64 // shortest time between two batches of events

	Subscribe bool          // the server list does not come by itself: subscribe to it
	Reports   ReportVia     // how load reports come
	Fields    []ReportField // what their numbers mean, in order

	MaxAttempts    int     // of one request
	Parallel       bool    // two attempts of a request may be in flight together; not used
	Cancel         bool    // attempts may be cancelled
	Probes         bool    // servers may be probed
	Messages       bool    // sidecars may message each other; not used
	KeyAffinity    bool    // a server that had a key lately does less work for it; see keys.go
	RetryAfter     bool    // rejected clients are told when to retry
	MaxRetryAfter  float64 // the longest such time that a client obeys; 0: any
	ConnectTimeout float64 // of a connection to a server; used by its caller

	DrainGrace        float64 // sends to a draining or removed server must stop within this
	SlowStartFraction float64 // a server that has just started has at least this fraction of its capacity ...
	SlowStartTime     float64 // ... and all of it after this; between the two it grows linearly
	OverloadMultiple  float64 // a server that warms up and gets more than this multiple of its capacity ...
	OverloadTime      float64 // ... for this long breaks down
	MaxPollInterval   float64 // without a subscription the list must be asked for this often; see retryWatch
	AnswerSlack       float64 // an answer this long after the client's deadline still counts; not used

	Goal      Goal
	Penalties Penalties
}

// Goal has the weights of the parts of the operators' result: the value of all answers, that in the worst
// window of time, that of the worst-served class, and that of the worst-served tenant. Their ratios decide
// which requests are shed in overload; see answerValue.
type Goal struct{ Overall, WorstWindow, WorstClass, WorstTenant float64 }

// Penalties are taken off the operators' result. Each is the fraction of it that is lost where every request
// has one occurrence of what it is named after: an answer from another zone, as much work wasted as its own,
// a handshake, a probe, a message to another sidecar, a failure after the latency target. Handshake,
// PeerMessage and LateFailure are not used.
type Penalties struct{ CrossZone, Waste, Handshake, Probe, PeerMessage, LateFailure float64 }

// withDefaults replaces impossible numbers: negative, infinite or not a number counts as not given. Defaults:
// the latency target is the deadline, or the reverse, or both a second; a key's window has no end; one
// attempt; one sidecar; a server starts with all its capacity; the goal is the overall result.
func (c Config) withDefaults() Config {
	c.Classes = append([]Class(nil), c.Classes...)
	for i := range c.Classes {
		class := &c.Classes[i]
		zeroUnlessFinite(&class.LatencyTarget, &class.LatencyTargetStretch, &class.Deadline)
		zeroUnlessFinite(&class.Value, &class.LateValue)
		switch {
		case class.Deadline == 0 && class.LatencyTarget == 0:
			class.Deadline, class.LatencyTarget = 1000, 1000
		case class.Deadline == 0:
			class.Deadline = class.LatencyTarget
		case class.LatencyTarget == 0:
			class.LatencyTarget = class.Deadline
		}
		if !(class.Window >= 0) {
			class.Window = math.Inf(1)
		}
	}
	c.Tenants = append([]Tenant(nil), c.Tenants...)
	for i := range c.Tenants {
		zeroUnlessFinite(&c.Tenants[i].Allowance, &c.Tenants[i].Share)
	}
	zeroUnlessFinite(&c.OverShareValue, &c.BatchInterval, &c.MaxRetryAfter, &c.ConnectTimeout, &c.DrainGrace,
		&c.SlowStartTime, &c.OverloadMultiple, &c.OverloadTime, &c.MaxPollInterval, &c.AnswerSlack)
	zeroUnlessFinite(&c.Goal.Overall, &c.Goal.WorstWindow, &c.Goal.WorstClass, &c.Goal.WorstTenant)
	p := &c.Penalties
	zeroUnlessFinite(&p.CrossZone, &p.Waste, &p.Handshake, &p.Probe, &p.PeerMessage, &p.LateFailure)
	if !(c.SlowStartFraction >= 0 && c.SlowStartFraction <= 1) {
		c.SlowStartFraction = 1
	}
	if c.Goal == (Goal{}) {
		c.Goal.Overall = 1
	}
	c.MaxAttempts = max(c.MaxAttempts, 1)
	c.SidecarCount, c.SidecarNumber = max(c.SidecarCount, 1), max(c.SidecarNumber, 0)
	return c
}

// zeroUnlessFinite sets to zero what is no finite number of at least zero.
func zeroUnlessFinite(values ...*float64) {
	for _, v := range values {
		if *v = finite(*v, math.Inf(1)); math.IsInf(*v, 1) {
			*v = 0
		}
	}
}

// finite returns v, at most the given bound, and 0 for what is negative or not a number.
func finite(v, highest float64) float64 {
	if !(v > 0) {
		return 0
	}
	return math.Min(v, highest)
}
