package outlier

import (
	"cmp"
	"slices"
	"time"
)

// Finding is what a home believes of a server that somebody saw fail lately, and from what.
type Finding struct {
	Server   string
	Service  string
	Own      Count // what the home's own subscribers saw, forgotten exponentially
	Fleet    Count // what all saw
	Ejected  bool
	For      time.Duration // the ejection lasts at the least
	Admitted time.Duration // an operator's word that it is not ejected lasts for
}

// Explain lists the servers in doubt, and those that an operator spoke of.
func (d *Detector) Explain(now time.Duration) []Finding {
	var out []Finding
	for id, s := range d.servers {
		admitted := max(0, s.admitted-now)
		if !s.doubted(now) && admitted == 0 {
			continue
		}
		own := s.own(id, now)
		out = append(out, Finding{Server: id, Service: s.service, Own: own.All, Fleet: s.fleet(own).All,
			Ejected: s.ejection.active, For: max(0, s.ejection.until-now), Admitted: admitted})
	}
	slices.SortFunc(out, func(a, b Finding) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// Admit takes in an operator's word that a server is not to be ejected for some time; a present ejection ends. It reports
// whether there is such a server.
func (d *Detector) Admit(id string, span, now time.Duration) bool {
	s := d.find(id)
	if s == nil {
		return false
	}
	s.admitted = now + span
	if s.ejection.active {
		s.ejection.active, s.ejection.ended = false, now
	}
	return true
}
