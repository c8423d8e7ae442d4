package outlier

import (
	"cmp"
	"slices"
	"time"
)

// Finding is a home's evidence on a suspected server, and its decision. It is part of a router's status.
type Finding struct {
	Server             string
	Service            string
	Own                Count // attempts of the home's own reporters, decaying exponentially
	Fleet              Count // attempts of all reporters
	Ejected            bool
	EjectionRemaining  time.Duration `json:"For"`      // time until the earliest end of the ejection, if Ejected
	AdmissionRemaining time.Duration `json:"Admitted"` // time for which an operator's override prevents an ejection
}

// Explain returns the findings for suspected servers and for servers with an operator's override, ordered by ID.
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

// Admit is an operator's override: it ends a current ejection of a server, and prevents ejections for span from now. It
// returns false if the server is not usable.
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
