package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"petrelhook/internal/rig/arrival"
	"petrelhook/internal/rig/scenario"
)

// requestMix draws what arrivals do not specify. It is used by one goroutine, in the order of the arrivals.
type requestMix struct {
	scenario *scenario.Scenario
	shares   []float64 // of classes, cumulative
	zipf     *rand.Zipf
}

// newRequestMix makes a mix whose draws depend on the scenario's seed alone.
func newRequestMix(s *scenario.Scenario) *requestMix {
	m := &requestMix{scenario: s}
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Share
		m.shares = append(m.shares, sum)
	}
	if s.Clients.Skew > 1 {
		m.zipf = rand.NewZipf(rand.New(rand.NewPCG(s.Seed, 1<<32)), s.Clients.Skew, 1, uint64(s.Clients.Objects-1))
	}
	return m
}

// completeArrival is an arrival with everything specified.
type completeArrival struct {
	arrival.Arrival
	scenario *scenario.Scenario
	number   int
	class    int
}

// draw completes arrival number n of the schedule.
func (m *requestMix) draw(n int, a arrival.Arrival) completeArrival {
	o := completeArrival{Arrival: a, scenario: m.scenario, number: n}
	if o.class = m.scenario.Class(a.Class); o.class < 0 {
		u := o.draw("class") * m.shares[len(m.shares)-1]
		for o.class = 0; m.shares[o.class] <= u; o.class++ {
		}
		o.Class = m.scenario.Classes[o.class].Name
	}
	if o.Tenant == "" && len(m.scenario.Tenants) > 0 {
		o.Tenant = m.tenant(o.draw("tenant"))
	}
	if o.Object == "" {
		object := uint64(o.draw("about") * float64(m.scenario.Clients.Objects))
		if m.zipf != nil {
			object = m.zipf.Uint64()
		}
		o.Object = strconv.FormatUint(object, 10)
	}
	if o.Patience == 0 {
		o.Patience = o.patience(&m.scenario.Classes[o.class], 0)
	}
	return o
}

// tenant is the tenant for a random number in [0, 1), by the tenants' shares.
func (m *requestMix) tenant(u float64) string {
	sum := 0.0
	for _, t := range m.scenario.Tenants {
		sum += t.Share
	}
	u *= sum
	for _, t := range m.scenario.Tenants {
		if u -= t.Share; u < 0 {
			return t.Name
		}
	}
	return m.scenario.Tenants[len(m.scenario.Tenants)-1].Name
}

// draw returns a random number in [0, 1) that depends on the seed, the purpose and the arrival alone.
func (o *completeArrival) draw(what string, more ...string) float64 {
	return scenario.Draw(o.scenario.Seed, append(more, what, strconv.Itoa(o.number))...)
}

// patience is how long the client waits for one request.
func (o *completeArrival) patience(class *scenario.Class, retry int) time.Duration {
	if retry == 0 && o.Patience > 0 {
		return o.Patience
	}
	p := o.scenario.Clients.Patience
	u := o.draw("patience", strconv.Itoa(retry))
	return time.Duration((p[0] + u*(p[1]-p[0])) * float64(class.Deadline))
}

// id is a name that no other request or operation has, nor one of a run with another seed.
func (o *completeArrival) id(what string, retry int) string {
	return fmt.Sprintf("%013x%08x%02x", uint64(o.draw(what, strconv.Itoa(retry))*(1<<52)), o.number, retry)
}
