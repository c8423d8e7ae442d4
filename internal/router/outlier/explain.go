package outlier

import (
	"cmp"
	"slices"
	"time"
)

// Finding is what a home knows of a server that failed for somebody recently, and what it decided. It is part of a
// router's status.
type Finding struct {
	Server             string
	Service            string
	Own                Count // what the home's own reporters saw, decaying exponentially
	Fleet              Count // what all reporters saw
	Ejected            bool
	EjectionRemaining  time.Duration `json:"For"`      // at least so long, while Ejected
	AdmissionRemaining time.Duration `json:"Admitted"` // for so long an operator's override prevents an ejection
}

// Explain returns what is known of the suspected servers and of those with an operator's override, ordered by ID.
func (d *Detector) Explain(now time.Duration) []Finding {
	var out []Finding
	for id, s := range d.servers {
		admitted := max(0, s.admittedUntil-now)
		if !s.suspected(now) && admitted == 0 {
			continue
		}
		own := s.ownSum(id, now)
		out = append(out, Finding{Server: id, Service: s.service, Own: own.All, Fleet: s.fleetSum(own).All,
			Ejected: s.ejection.active, EjectionRemaining: max(0, s.ejection.earliestEnd-now), AdmissionRemaining: admitted})
	}
	slices.SortFunc(out, func(a, b Finding) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// Admit is an operator's override: for span from now a server is not ejected, and a present ejection ends. It returns
// false where no such server is usable.
func (d *Detector) Admit(id string, span, now time.Duration) bool {
	s := d.server(id)
	if s == nil {
		return false
	}
	s.admittedUntil = now + span
	if s.ejection.active {
		s.ejection.end(now)
	}
	return true
}
