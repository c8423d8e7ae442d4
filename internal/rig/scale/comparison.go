package scale

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"petrelhook/internal/coordination/capacity"
)

// The costs of hollow and of real members to the coordinators are compared by publishing at this rate for this duration each, to
// services with about the same number of members.
const (
	comparedRate     = 8 // versions a second
	comparedDuration = 6 * time.Second
)

// compare adds what a version costs all coordinators together for each member that gets it: hollow members (of the service whose
// size is nearest to the number of real machines) and real ones, both less the cost of the smallest service.
func (p *publisher) compare(ctx context.Context) error {
	p.progress("real and hollow members are compared")
	membersOf := make([]int, slices.Max(p.services)+1)
	for _, service := range p.services {
		membersOf[service]++
	}
	similar, smallest := 0, 0
	for service, n := range membersOf {
		if abs(n-p.options.RealMachines) < abs(membersOf[similar]-p.options.RealMachines) {
			similar = service
		}
		if n < membersOf[smallest] {
			smallest = service
		}
	}
	base, err := p.costs(ctx, func() error { _, err := p.publishTo(ctx, smallest); return err })
	if err != nil {
		return err
	}
	hollow, err := p.costs(ctx, func() error { _, err := p.publishTo(ctx, similar); return err })
	if err != nil {
		return err
	}
	real, err := p.costs(ctx, func() error { return p.publishReal(ctx) })
	if err != nil {
		return err
	}
	for _, c := range []struct {
		role    string
		cost    rates
		members int
	}{{"member", hollow, membersOf[similar]}, {"agent", real, p.options.RealMachines}} {
		each := 1 / float64(comparedRate*(c.members-membersOf[smallest]))
		p.add(c.role, "told_cpu_us", each*(c.cost.cpuMicros-base.cpuMicros))
		p.add(c.role, "told_messages", each*(c.cost.messagesIn-base.messagesIn))
		p.add(c.role, "told_bytes_in", each*(c.cost.bytesIn-base.bytesIn))
		p.add(c.role, "told_bytes_out", each*(c.cost.bytesOut-base.bytesOut))
	}
	return nil
}

// comparedMetrics are the metrics in which a hollow member has to cost the coordinators the same as a real agent.
var comparedMetrics = []struct{ workload, metric string }{
	{Subscriptions, "messages_in_s"}, {Subscriptions, "messages_out_s"}, {Subscriptions, "bytes_in_s"}, {Subscriptions, "bytes_out_s"},
	{Publishing, "told_cpu_us"}, {Publishing, "told_messages"}, {Publishing, "told_bytes_in"},
}

// tolerance is the fraction of a real agent's cost by which a hollow member's may differ.
const tolerance = 0.2

// compareCosts returns a finding for each metric in which the medians of a hollow member and of a real agent differ by more than
// tolerance.
func compareCosts(points []capacity.Point) (all []string) {
	median := func(workload, role, metric string) (float64, bool) {
		var v []float64
		for _, p := range points {
			if p.Workload == workload && p.Role == role && p.Metric == metric {
				v = append(v, p.Value)
			}
		}
		slices.Sort(v)
		if len(v) == 0 {
			return 0, false
		}
		return (v[(len(v)-1)/2] + v[len(v)/2]) / 2, true
	}
	for _, m := range comparedMetrics {
		real, known := median(m.workload, "agent", m.metric)
		hollow, also := median(m.workload, "member", m.metric)
		if known && also && math.Abs(hollow-real) > tolerance*math.Abs(real) {
			all = append(all, fmt.Sprintf("%s: %s of a hollow member is %.4g, and of a real agent %.4g",
				m.workload, m.metric, hollow, real))
		}
	}
	return all
}

func abs(n int) int { return max(n, -n) }

// costs are the rates of all coordinators together while publish is called at comparedRate for comparedDuration.
func (p *publisher) costs(ctx context.Context, publish func() error) (all rates, err error) {
	before, err := p.observe(ctx)
	if err != nil {
		return all, err
	}
	began := time.Now()
	for i := range int(comparedRate * comparedDuration.Seconds()) {
		if err := sleep(ctx, time.Until(began.Add(time.Duration(i)*time.Second/comparedRate))); err != nil {
			return all, err
		}
		if err := publish(); err != nil {
			return all, err
		}
	}
	if err := sleep(ctx, time.Until(began.Add(comparedDuration))); err != nil {
		return all, err
	}
	after, err := p.observe(ctx)
	if err != nil {
		return all, err
	}
	for i, addr := range p.group.addrs {
		v := coordinatorRates(before, after, i, addr).withAgents(before, after, slices.Index(p.machines.coordinators, addr))
		all.cpuMicros += v.cpuMicros
		all.bytesIn += v.bytesIn - v.peerBytesIn
		all.bytesOut += v.bytesOut - v.peerBytesOut
		all.messagesIn += v.messagesIn
	}
	return all, nil
}
