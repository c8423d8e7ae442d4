package balance

import "math"

// The settings and their defaults. All times are in milliseconds. Package wire parses the settings and
// defines the names under which operators write them.

// Effect says whether the requests of a class may be executed more than once.
type Effect uint8

// The effects of a class of requests.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // has an idempotency key: the servers of one group drop repeats within a window
	Unsafe               // must never run twice
)

// Group says which servers share their memory of idempotency keys. A keyed request that may have been
// executed is retried only at a server of the same group as the first.
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
	Window               float64 // of a keyed class: how long a group remembers a key, counted from the send
	LatencyTarget        float64 // an answer within this has its full value
	LatencyTargetStretch float64 // the target grows by this multiple of a request's own work; not used
	Deadline             float64 // the longest that a client waits, its own retries included
	Value                float64 // of an answer within the latency target
	LateValue            float64 // fraction of Value that an answer after the latency target still has
	Stream               bool    // answers are streamed; not used: ResponseStarted marks each such answer
}

// Tenant is one customer of the service, which a request names by its position in Config.Tenants.
type Tenant struct {
	Allowance float64 // requests a second within its share, over all sidecars; not used
	Share     float64 // fraction of all requests up to which its answers have full value; 0: no limit
}

// ReportVia says how load reports reach a sidecar.
type ReportVia uint8

// The ways in which load reports arrive.
const (
	ReportNone      ReportVia = iota // servers report no load
	ReportPiggyback                  // with each answer
	ReportProbe                      // as the answer to a probe
)

// ReportField is the meaning of one number of a load report.
type ReportField uint8

// The fields of load reports. The balancer uses only FieldInFlight.
const (
	FieldUnknown   ReportField = iota
	FieldInFlight              // requests being handled
	FieldQueue                 // requests waiting
	FieldUtil                  // fraction of CPU in use
	FieldLatency               // recent service time
	FieldRate                  // requests served a second
	FieldErrorRate             // errors a second
)

// Config holds the settings that one sidecar starts with. New completes them; see withDefaults. They mirror
// the operators' settings, of which the balancer does not use all; unused fields are marked.
type Config struct {
	Seed                        uint64 // of all random choices
	SidecarNumber, SidecarCount int    // this sidecar's number, from 0, and how many sidecars there are
	Zone                        int    // this sidecar's zone, as in Server.Zone
	Classes                     []Class
	Tenants                     []Tenant
	OverShareValue              float64 // value of a request beyond its tenant's share, as a fraction
	BatchInterval               float64 // shortest time between two batches of events

	Subscribe bool          // the server list is not pushed: the sidecar has to subscribe to it
	Reports   ReportVia     // how load reports arrive
	Fields    []ReportField // meanings of the numbers of a load report, in order

	MaxAttempts    int     // of one request
	Parallel       bool    // two attempts of a request may be in flight together; not used
	Cancel         bool    // attempts may be cancelled
	Probes         bool    // servers may be probed
	Messages       bool    // sidecars may message each other; not used
	KeyAffinity    bool    // a server that recently had a key does less work for it; see keys.go
	RetryAfter     bool    // rejected clients are told when to retry
	MaxRetryAfter  float64 // the longest such time that a client obeys; 0: any
	ConnectTimeout float64 // of a connection to a server; used by the caller only

	DrainGrace        float64 // sends to a draining or removed server must stop within this
	SlowStartFraction float64 // a server that has just started has at least this fraction of its capacity ...
	SlowStartTime     float64 // ... and all of it after this time; in between the fraction grows linearly
	OverloadMultiple  float64 // a server that warms up and gets more than this multiple of its capacity ...
	OverloadTime      float64 // ... for this long breaks down
	MaxPollInterval   float64 // without a subscription the list must be fetched this often; see retryWatch
	AnswerSlack       float64 // an answer this long after the client's deadline still counts; not used

	Goal      Goal
	Penalties Penalties
}

// Goal holds the weights of the components of the operators' result: the value of all answers, of those in
// the worst time window, of those to the worst-served class, and of those to the worst-served tenant. The
// ratios of the weights decide which requests are shed in overload; see answerValue.
type Goal struct{ Overall, WorstWindow, WorstClass, WorstTenant float64 }

// Penalties are subtracted from the operators' result. Each is the fraction of the result that is lost if
// every request has one occurrence of its subject: an answer from another zone, wasted work equal to the
// request's own, a handshake, a probe, a message to another sidecar, a failure after the latency target.
// Handshake, PeerMessage and LateFailure are not used.
type Penalties struct{ CrossZone, Waste, Handshake, Probe, PeerMessage, LateFailure float64 }

// withDefaults returns the settings with defaults for missing numbers; negative, infinite and NaN count as
// missing. The latency target defaults to the deadline and the reverse, or both to a second; a key's window
// to unlimited; attempts and sidecars to one; a server's initial capacity to all of it; the goal to the
// overall result.
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

// zeroUnlessFinite sets values to zero that are negative, infinite or NaN.
func zeroUnlessFinite(values ...*float64) {
	for _, v := range values {
		if *v = finite(*v, math.Inf(1)); math.IsInf(*v, 1) {
			*v = 0
		}
	}
}

// finite returns v limited to the given bound, or 0 if v is negative or NaN.
func finite(v, highest float64) float64 {
	if !(v > 0) {
		return 0
	}
	return math.Min(v, highest)
}
