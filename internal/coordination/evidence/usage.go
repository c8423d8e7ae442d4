package evidence

import (
	"time"

	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/sidecar/counts"
)

// Usage is compared once per short span. Memory grows in bursts, so that its growth is compared over long spans as well.
const (
	comparisonsPerTimeout = 100 // short spans in the evidence timeout, which is the plan's ProgressTimeout
	longSpanFactor        = 5   // short spans in a long span
)

// In a comparison one side counts as larger if it exceeds the other by more than these fractions.
const (
	maxGrowthFraction      = 0.01 // of the side's memory
	maxCPUFraction         = 0.25 // of the processor time per request
	maxAttemptsFraction    = 0.1  // of the attempts per request
	maxConnectionsFraction = 0.5  // of the connections opened per request, and of the health checks
)

// maxLoadFraction is the fraction by which the load of one side's sidecars may exceed that of the other in a comparison.
const maxLoadFraction = 0.25

// pairedMetrics is the number of cells that compareUsage may add to the judge.
const pairedMetrics = 6

// usage holds what a group of sidecars used over some time.
type usage struct {
	growthBytes      float64 // growth of memory; negative if it shrank
	memoryBytes      float64 // at the end
	cpuTicks         float64
	requests         float64
	sidecarWindows   float64 // number of polls, summed over the sidecars
	serverUse        counts.ServerUse
	serverUseMissing bool // at least one process does not report its use of servers
}

// add adds the usage of a later time. The memory is that of the later time.
func (u *usage) add(more usage) {
	u.growthBytes += more.growthBytes
	u.memoryBytes = more.memoryBytes
	u.cpuTicks += more.cpuTicks
	u.requests += more.requests
	u.sidecarWindows += more.sidecarWindows
	u.serverUseMissing = u.serverUseMissing || more.serverUseMissing
	u.serverUse.Attempts += more.serverUse.Attempts
	u.serverUse.Connections += more.serverUse.Connections
	u.serverUse.HealthChecks += more.serverUse.HealthChecks
}

// similarLoad reports whether the sidecars of both sides had about the same load per sidecar and poll. The fixed cost of a
// process is spread over its requests: with fewer requests each of them costs more, and memory grows differently, whatever the
// release is.
func similarLoad(newUsage, controlUsage usage) bool {
	if newUsage.sidecarWindows == 0 || controlUsage.sidecarWindows == 0 {
		return false
	}
	newLoad, controlLoad := newUsage.requests/newUsage.sidecarWindows, controlUsage.requests/controlUsage.sidecarWindows
	return newLoad <= (1+maxLoadFraction)*controlLoad && controlLoad <= (1+maxLoadFraction)*newLoad
}

// usageSpan holds the usage of new and control since the last comparison.
type usageSpan struct {
	newUsage, controlUsage usage
	length                 time.Duration
}

func (s *usageSpan) add(newUsage, controlUsage usage, elapsed time.Duration) {
	s.newUsage.add(newUsage)
	s.controlUsage.add(controlUsage)
	s.length += elapsed
}

// compareUsage compares the usage of new and control over each span that is long enough, and begins that span anew.
func (e *Evidence) compareUsage(evidenceTimeout time.Duration) error {
	interval := evidenceTimeout / comparisonsPerTimeout
	if e.longSpan.length >= longSpanFactor*interval {
		if err := e.compareGrowth("growth of memory over longer times", e.longSpan); err != nil {
			return err
		}
		e.longSpan = usageSpan{}
	}
	if e.shortSpan.length < interval {
		return nil
	}
	span := e.shortSpan
	e.shortSpan = usageSpan{}
	if err := e.compareGrowth("growth of memory", span); err != nil {
		return err
	}
	if !similarLoad(span.newUsage, span.controlUsage) {
		return nil
	}
	return e.comparePerRequest(span.newUsage, span.controlUsage)
}

// comparePerRequest compares processor time, health checks, attempts and connections. The metrics' names are part of the log.
func (e *Evidence) comparePerRequest(newUsage, controlUsage usage) error {
	larger := func(name string, newValue, controlValue, fraction float64) error {
		return e.addPair(name, newValue > (1+fraction)*controlValue, controlValue > (1+fraction)*newValue)
	}
	if newUsage.requests > 0 && controlUsage.requests > 0 && controlUsage.cpuTicks > 0 {
		err := larger("processor time", newUsage.cpuTicks/newUsage.requests, controlUsage.cpuTicks/controlUsage.requests, maxCPUFraction)
		if err != nil {
			return err
		}
	}
	if newUsage.serverUseMissing || controlUsage.serverUseMissing {
		return nil
	}
	newServerUse, controlServerUse := newUsage.serverUse, controlUsage.serverUse
	err := larger("probes", float64(newServerUse.HealthChecks)/newUsage.sidecarWindows,
		float64(controlServerUse.HealthChecks)/controlUsage.sidecarWindows, maxConnectionsFraction)
	if err != nil || newUsage.requests == 0 || controlUsage.requests == 0 {
		return err
	}
	err = larger("tries", float64(newServerUse.Attempts)/newUsage.requests,
		float64(controlServerUse.Attempts)/controlUsage.requests, maxAttemptsFraction)
	if err != nil {
		return err
	}
	return larger("connections", float64(newServerUse.Connections)/newUsage.requests,
		float64(controlServerUse.Connections)/controlUsage.requests, maxConnectionsFraction)
}

// compareGrowth compares the growth of memory of each side, as a fraction of the side's memory.
func (e *Evidence) compareGrowth(name string, span usageSpan) error {
	newUsage, controlUsage := span.newUsage, span.controlUsage
	if newUsage.memoryBytes == 0 || controlUsage.memoryBytes == 0 || !similarLoad(newUsage, controlUsage) {
		return nil
	}
	newGrowth, controlGrowth := newUsage.growthBytes/newUsage.memoryBytes, controlUsage.growthBytes/controlUsage.memoryBytes
	return e.addPair(name, newGrowth > controlGrowth+maxGrowthFraction, controlGrowth > newGrowth+maxGrowthFraction)
}

// addPair adds a paired comparison to the judge. A comparison in which neither side counts as larger is left out: between bursts
// memory does not grow on either side.
func (e *Evidence) addPair(metric string, newLarger, controlLarger bool) error {
	if newLarger == controlLarger {
		return nil
	}
	return e.judge.AddPair(judge.Cell{Class: allZones, Zone: allZones, Metric: metric}, newLarger)
}
