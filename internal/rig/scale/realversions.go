package scale

import (
	"context"
	"fmt"
	"time"
)

const (
	realEvery          = 4 // one version in so many is of the real machines' service
	minQuietWindow     = 8 * time.Second
	laterQuantumMillis = 3 // the first release has 2
)

// publishReal publishes a version of the real machines' service, if the run has real machines.
func (p *publisher) publishReal(ctx context.Context) error {
	if p.machines == nil {
		return nil
	}
	text, err := p.machines.content(len(p.real)+1, p.quantumMillis)
	if err != nil {
		return err
	}
	v, err := p.publishVersion(ctx, realService, text)
	if err == nil {
		p.real = append(p.real, v)
	}
	return err
}

// realInForce does the same and waits until the version is in force at all real machines.
func (p *publisher) realInForce(ctx context.Context) error {
	if err := p.publishReal(ctx); err != nil || p.machines == nil {
		return err
	}
	_, err := p.machines.await(ctx, p.real[len(p.real)-1].revision, 0)
	return err
}

// addRealTimes adds points on how long versions took from their acceptance until they, or newer ones, were in force at each real
// sidecar, for the versions published since its last call.
func (p *publisher) addRealTimes(ctx context.Context, prefix string) error {
	all := p.real[p.realReported:]
	if p.realReported = len(p.real); len(all) == 0 {
		return nil
	}
	adoptions, err := p.machines.await(ctx, all[len(all)-1].revision, all[0].revision)
	if err != nil {
		return err
	}
	took, err := inForce(all, make([]int, p.options.RealMachines), adoptions)
	if err != nil {
		return fmt.Errorf("real machines: %w", err)
	}
	p.add("agent", prefix+"in_force_p50_s", took[len(took)/2])
	p.add("agent", prefix+"in_force_p99_s", took[len(took)*99/100])
	p.add("agent", prefix+"in_force_max_s", took[len(took)-1])
	return nil
}

// quiet has the real sidecars serve for a while before the first version, for comparison: handOver adds the latencies of both times.
func (p *publisher) quiet(ctx context.Context) error {
	p.progress("calls without versions")
	p.quietSince = time.Now()
	return sleep(ctx, max(p.options.Window, minQuietWindow))
}

// handOver publishes a version that takes a new process of each real sidecar. It adds the latencies of calls before the first
// version, and from then until this one.
func (p *publisher) handOver(ctx context.Context) error {
	p.progress("a version that takes a hand-over")
	p.quantumMillis = laterQuantumMillis
	if err := p.publishReal(ctx); err != nil {
		return err
	}
	if err := p.addRealTimes(ctx, "hand_over_"); err != nil {
		return err
	}
	first := time.Now()
	if err := sleep(ctx, maxCallDuration); err != nil { // until the last of them have ended
		return err
	}
	p.addCalls("quiet_", p.quietSince, p.quietSince.Add(max(p.options.Window, minQuietWindow)))
	p.addCalls("versions_", p.quietSince.Add(max(p.options.Window, minQuietWindow)), first)
	return nil
}

// maxCallDuration is the time after which a call has ended in any case: its deadline, with retries.
const maxCallDuration = 4 * time.Second

// addCalls adds points on the calls scheduled from one time up to another; latency counts from the scheduled time.
func (p *publisher) addCalls(prefix string, from, to time.Time) {
	latencies, notServed := p.serving.latencies(from, to)
	p.add("sidecar", prefix+"calls", float64(len(latencies)+notServed))
	p.add("sidecar", prefix+"calls_not_served", float64(notServed))
	if len(latencies) > 0 {
		p.add("sidecar", prefix+"call_p50_s", latencies[len(latencies)/2])
		p.add("sidecar", prefix+"call_p99_s", latencies[len(latencies)*99/100])
	}
}
