package outlier

import (
	"cmp"
	"slices"
	"time"
)

// The figures of a decision.
const (
	minFailures         = 3.0  // failed attempts, to eject a server
	minFailureRatio     = 0.15 // of attempts, to eject a server
	medianFactor        = 3.0  // times the median failure ratio of the service
	ownSendsToOverrule  = 10.0 // attempts of the own reporters that overrule the fleet's
	maxEjectedFraction  = 0.5  // of a service's servers
	trialsPerSecond     = 2.0  // of an ejected server, by all routers together
	maxTrialFraction    = 0.2  // of an ejected server's part of the requests
	ownTrialsToOverrule = 1.5  // trials of the own reporters that overrule those of the fleet
	minTrialFailures    = 0.15 // failed trials that extend an ejection
)

// suspect is a server that is judged.
type suspect struct {
	id     string
	server *server
	own    Sum
	fleet  Sum
}

// failureRatio ranks suspects.
func (s *suspect) failureRatio() float64 {
	return max(s.own.All.failureRatio(), s.fleet.All.failureRatio())
}

// isOutlier reports whether a server fails so much that it is to be ejected. What the own reporters see overrules what
// the fleet sees: a server may fail for others alone.
func (s *suspect) isOutlier(limit float64) bool {
	if s.own.fails(limit) {
		return true
	}
	contradicted := s.own.All.Sent >= ownSendsToOverrule && s.own.All.failureRatio() < limit/3
	return s.fleet.fails(limit) && !contradicted
}

// failsTrials reports whether an ejected server still fails: by the own reporters' trials where there were enough.
func (s *suspect) failsTrials() bool {
	seen := s.fleet.All
	if s.own.All.Sent >= ownTrialsToOverrule {
		seen = s.own.All
	}
	return seen.Failed >= minTrialFailures && seen.failureRatio() >= minFailureRatio
}

// Judge begins, extends and ends ejections, and returns the present ones, ordered by ID. Reporting is the fraction of
// the fleet that reports to this home: of the trials of all routers together, its routers send as many. The home calls
// it at intervals, and sends the result to its routers.
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

// suspectsByService lists the suspected servers, and drops those that ended or may not be used any more.
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

// judgeService begins and ends the ejections of one service; the worst servers come first.
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

// ratioLimit is the failure ratio from which a server of a service is an outlier. Servers without failures in any
// home's reports count as well.
func ratioLimit(suspects []*suspect, usable int) float64 {
	ratios := make([]float64, max(usable, len(suspects)))
	for i, s := range suspects {
		ratios[i] = s.fleet.All.failureRatio()
	}
	slices.Sort(ratios)
	median := ratios[(len(ratios)-1)/2]
	return max(minFailureRatio, medianFactor*median)
}

// trialProbability is the probability with which a request of a service is a trial at one of its ejected servers.
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
