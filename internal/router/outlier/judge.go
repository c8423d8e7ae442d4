package outlier

import (
	"cmp"
	"slices"
	"time"
)

const (
	minFailures         = 3.0  // minimum number of failed attempts to eject a server
	minFailureRatio     = 0.15 // minimum failure ratio to eject a server
	medianFactor        = 3.0  // multiple of the service's median failure ratio from which a server is an outlier
	ownSendsToOverrule  = 10.0 // attempts of the own reporters from which they overrule the fleet's evidence
	maxEjectedFraction  = 0.5  // of a service's servers
	trialsPerSecond     = 2.0  // at an ejected server, by all routers together
	maxTrialFraction    = 0.2  // upper bound of the trials, as a fraction of an equal part of the service's requests
	ownTrialsToOverrule = 1.5  // trials of the own reporters from which they overrule the fleet's trials
	minTrialFailures    = 0.15 // decayed number of failed trials from which an ejection is extended
)

// suspect is a suspected server with the evidence for a decision.
type suspect struct {
	id     string
	server *server
	own    Sum
	fleet  Sum
}

// failureRatio returns the failure ratio by which suspects are ranked.
func (s *suspect) failureRatio() float64 {
	return max(s.own.All.failureRatio(), s.fleet.All.failureRatio())
}

// isOutlier reports whether a server is to be ejected. The evidence of the own reporters overrules that of the fleet,
// because a server may fail only for the callers of other zones.
func (s *suspect) isOutlier(limit float64) bool {
	if s.own.fails(limit) {
		return true
	}
	contradicted := s.own.All.Sent >= ownSendsToOverrule && s.own.All.failureRatio() < limit/3
	return s.fleet.fails(limit) && !contradicted
}

// failsTrials reports whether an ejected server still fails, according to the trials of the own reporters if there were
// enough of them, otherwise of the fleet.
func (s *suspect) failsTrials() bool {
	trials := s.fleet.All
	if s.own.All.Sent >= ownTrialsToOverrule {
		trials = s.own.All
	}
	return trials.Failed >= minTrialFailures && trials.failureRatio() >= minFailureRatio
}

// Judge begins, extends and ends ejections, and returns the current ones, ordered by server ID. The argument reporting is
// the fraction of the fleet that reports to this home; the routers of this home send the same fraction of all trials. The
// home calls Judge periodically, and sends the result to its routers.
func (d *Detector) Judge(reporting float64, now time.Duration) []Ejection {
	d.prune(now)
	var out []Ejection
	for service, suspects := range d.suspectsByService(now) {
		d.judgeService(service, suspects, now)
		trial := d.trialProbability(service, reporting, now)
		for _, s := range suspects {
			if s.server.ejection.active {
				out = append(out, Ejection{Server: s.id, Trial: trial})
			}
		}
	}
	slices.SortFunc(out, func(a, b Ejection) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// suspectsByService returns the suspected servers by service, and removes servers that are no longer usable.
func (d *Detector) suspectsByService(now time.Duration) map[string][]*suspect {
	byService := map[string][]*suspect{}
	for id, s := range d.servers {
		if !s.suspected(now) {
			continue
		}
		if d.services.ServiceOf(id) != s.service {
			delete(d.servers, id)
			continue
		}
		own := s.ownSum(id, now)
		byService[s.service] = append(byService[s.service], &suspect{id, s, own, s.fleetSum(own)})
	}
	return byService
}

// judgeService begins, extends and ends the ejections of one service. It begins with the servers with the highest failure
// ratios, since the number of ejections is bounded.
func (d *Detector) judgeService(service string, suspects []*suspect, now time.Duration) {
	slices.SortFunc(suspects, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(b.failureRatio(), a.failureRatio()), cmp.Compare(a.id, b.id))
	})
	usable := d.services.UsableServers(service)
	allowed := int(maxEjectedFraction * float64(usable))
	for _, s := range suspects {
		e := &s.server.ejection
		if e.active {
			e.reviewTrials(s.failsTrials(), now)
		}
		if e.active {
			allowed--
		}
	}
	limit := ratioLimit(suspects, usable)
	for _, s := range suspects {
		if allowed <= 0 {
			return
		}
		if !s.server.ejection.active && now >= s.server.admittedUntil && s.isOutlier(limit) {
			s.server.ejection.begin(now)
			allowed--
		}
	}
}

// ratioLimit returns the failure ratio from which a server of a service is an outlier. Usable servers that are not
// suspected enter the median with a ratio of 0.
func ratioLimit(suspects []*suspect, usable int) float64 {
	ratios := make([]float64, max(usable, len(suspects)))
	for i, s := range suspects {
		ratios[i] = s.fleet.All.failureRatio()
	}
	slices.Sort(ratios)
	median := ratios[(len(ratios)-1)/2]
	return max(minFailureRatio, medianFactor*median)
}

// trialProbability returns the probability that a request of a service is a trial at a given ejected server of it.
func (d *Detector) trialProbability(service string, reporting float64, now time.Duration) float64 {
	maxProbability := maxTrialFraction / float64(max(1, d.services.UsableServers(service)))
	traffic := d.traffic[service]
	if traffic == nil || reporting <= 0 {
		return maxProbability
	}
	traffic.decay(now)
	rate := traffic.sent / decayTimeConstant.Seconds() / min(1, reporting)
	return min(maxProbability, trialsPerSecond/max(rate, minSends))
}
