package scale

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"petrelhook/internal/coordination/capacity"
)

const (
	realEvery    = 4 // versions of other services to one of the real machines'
	quietLeast   = 8 * time.Second
	laterQuantum = 3 // ms; the first release has 2
)

// oneReal publishes a version of the real machines' service, if there are any.
func (p *publishing) oneReal(ctx context.Context) error {
	if p.machines == nil {
		return nil
	}
	text, err := p.machines.content(len(p.real)+1, p.quantum)
	if err != nil {
		return err
	}
	v, err := p.accepted(ctx, realService, text)
	if err == nil {
		p.real = append(p.real, v)
	}
	return err
}

// realInForce publishes one and waits until it is in force at all.
func (p *publishing) realInForce(ctx context.Context) error {
	if err := p.oneReal(ctx); err != nil || p.machines == nil {
		return err
	}
	_, err := p.machines.await(ctx, p.real[len(p.real)-1].revision, 0)
	return err
}

// realTimes adds how long versions took from when they were accepted until they, or newer ones, were in force at each
// real sidecar: those since it was called last.
func (p *publishing) realTimes(ctx context.Context, prefix string) error {
	all := p.real[p.told:]
	if p.told = len(p.real); len(all) == 0 {
		return nil
	}
	takes, err := p.machines.await(ctx, all[len(all)-1].revision, all[0].revision)
	if err != nil {
		return err
	}
	took, err := inForce(all, make([]int, p.o.Real), takes)
	if err != nil {
		return fmt.Errorf("real machines: %w", err)
	}
	p.add("agent", prefix+"in_force_p50_s", took[len(took)/2])
	p.add("agent", prefix+"in_force_p99_s", took[len(took)*99/100])
	p.add("agent", prefix+"in_force_max_s", took[len(took)-1])
	return nil
}

// quiet has the real sidecars serve for a while before the first version, so that what calls take can stand beside it;
// calls does so at the end.
func (p *publishing) quiet(ctx context.Context) error {
	p.progress("calls without versions")
	p.from = time.Now()
	return wait(ctx, max(p.o.Steady, quietLeast))
}

// handOver is a version that takes another process of each real sidecar; and what calls took until then, beside the
// time before the first version.
func (p *publishing) handOver(ctx context.Context) error {
	p.progress("a version that takes a hand-over")
	p.quantum = laterQuantum
	if err := p.oneReal(ctx); err != nil {
		return err
	}
	if err := p.realTimes(ctx, "hand_over_"); err != nil {
		return err
	}
	first := time.Now()
	if err := wait(ctx, callsEnd); err != nil { // the last of them are still on their way
		return err
	}
	p.calls("quiet_", p.from, p.from.Add(max(p.o.Steady, quietLeast)))
	p.calls("versions_", p.from.Add(max(p.o.Steady, quietLeast)), first)
	return nil
}

// callsEnd is after how long a call has ended, whatever comes of it: its deadline, and tries.
const callsEnd = 4 * time.Second

// calls adds what calls took that were due in a time, from when they were due.
func (p *publishing) calls(prefix string, from, to time.Time) {
	took, not := p.serving.latencies(from, to)
	p.add("sidecar", prefix+"calls", float64(len(took)+not))
	p.add("sidecar", prefix+"calls_not_served", float64(not))
	if len(took) > 0 {
		p.add("sidecar", prefix+"call_p50_s", took[len(took)/2])
		p.add("sidecar", prefix+"call_p99_s", took[len(took)*99/100])
	}
}

// What a hollow member costs the coordinators is compared with what a real one costs by so many versions a second of
// services of about as many members, for so long each.
const (
	comparedRate = 8
	comparedFor  = 6 * time.Second
)

// compare adds what a version costs the coordinators, all three together, for each member that it is told to: hollow
// ones (of the service that has most nearly as many as there are real machines) and real ones, both above a service
// with one member.
func (p *publishing) compare(ctx context.Context) error {
	p.progress("real and hollow members are compared")
	of := make([]int, slices.Max(p.services)+1)
	for _, service := range p.services {
		of[service]++
	}
	like, least := 0, 0
	for service, n := range of {
		if abs(n-p.o.Real) < abs(of[like]-p.o.Real) {
			like = service
		}
		if n < of[least] {
			least = service
		}
	}
	base, err := p.costs(ctx, func() error { _, err := p.one(ctx, least); return err })
	if err != nil {
		return err
	}
	hollow, err := p.costs(ctx, func() error { _, err := p.one(ctx, like); return err })
	if err != nil {
		return err
	}
	real, err := p.costs(ctx, func() error { return p.oneReal(ctx) })
	if err != nil {
		return err
	}
	for _, c := range []struct {
		role    string
		cost    rates
		members int
	}{{"member", hollow, of[like]}, {"agent", real, p.o.Real}} {
		each := 1 / float64(comparedRate*(c.members-of[least]))
		p.add(c.role, "told_cpu_us", each*(c.cost.cpu-base.cpu))
		p.add(c.role, "told_messages", each*(c.cost.messagesIn-base.messagesIn))
		p.add(c.role, "told_bytes_in", each*(c.cost.in-base.in))
		p.add(c.role, "told_bytes_out", each*(c.cost.out-base.out))
	}
	return nil
}

// alike are the figures in which a hollow member has to cost the coordinators what a real agent does.
var alike = []struct{ workload, metric string }{
	{Watches, "messages_in_s"}, {Watches, "messages_out_s"}, {Watches, "bytes_in_s"}, {Watches, "bytes_out_s"},
	{Publish, "told_cpu_us"}, {Publish, "told_messages"}, {Publish, "told_bytes_in"},
}

// tolerated is the part of a real agent's cost by which a hollow member's may differ.
const tolerated = 0.2

// compared says where a hollow member costs the coordinators more or less than a real agent, by more than is
// tolerated: medians of all runs.
func compared(points []capacity.Point) (all []string) {
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
	for _, m := range alike {
		real, known := median(m.workload, "agent", m.metric)
		hollow, also := median(m.workload, "member", m.metric)
		if known && also && math.Abs(hollow-real) > tolerated*math.Abs(real) {
			all = append(all, fmt.Sprintf("%s: %s of a hollow member is %.4g, and of a real agent %.4g",
				m.workload, m.metric, hollow, real))
		}
	}
	return all
}

func abs(n int) int { return max(n, -n) }

// costs is what all coordinators together spend while versions are published at a rate.
func (p *publishing) costs(ctx context.Context, publish func() error) (all rates, err error) {
	before, err := p.see(ctx)
	if err != nil {
		return all, err
	}
	began := time.Now()
	for i := range int(comparedRate * comparedFor.Seconds()) {
		if err := wait(ctx, time.Until(began.Add(time.Duration(i)*time.Second/comparedRate))); err != nil {
			return all, err
		}
		if err := publish(); err != nil {
			return all, err
		}
	}
	if err := wait(ctx, time.Until(began.Add(comparedFor))); err != nil {
		return all, err
	}
	after, err := p.see(ctx)
	if err != nil {
		return all, err
	}
	for i, addr := range p.group.addrs {
		v := between(before, after, i, addr).withAgents(before, after, slices.Index(p.machines.coordinators, addr))
		all.cpu += v.cpu
		all.in += v.in - v.peerIn
		all.out += v.out - v.peerOut
		all.messagesIn += v.messagesIn
	}
	return all, nil
}
