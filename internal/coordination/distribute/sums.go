package distribute

import (
	"container/list"
	"maps"
	"slices"
	"time"
)

// MaxReporters bounds what Sums hold: the members of all services together, and their sidecars together. Beyond it
// the member that was not heard for longest goes.
const MaxReporters = 65_536

// MemberTimeout is how long a member that does not speak is counted.
const MemberTimeout = time.Hour

// ReportTable are what agents have said to one coordinator. Moments are of its steady clock. One goroutine owns them.
type ReportTable struct {
	members  map[memberOf]*spoken
	services map[string]map[string]*said // by service, by sidecar
	order    list.List                   // of *spoken, the longest unheard first
	sidecars int
}

type memberOf struct{ service, member string }

// spoken is a member that has sent reports.
type spoken struct {
	memberOf
	at    time.Duration // when it spoke last
	holds Revision
	names []string // sidecars of its last reports; one that another member has reported since is not its any more
	place *list.Element
}

type said struct {
	report Report
	by     *spoken
}

// NewReportTable has heard nothing.
func NewReportTable() *ReportTable {
	return &ReportTable{members: map[memberOf]*spoken{}, services: map[string]map[string]*said{}}
}

// SetReports takes in a member's reports, which are of all its sidecars: one that it has no report of any more is
// forgotten. A sidecar is the member's that reported it last.
func (s *ReportTable) SetReports(now time.Duration, service, member string, reports []Report) {
	key := memberOf{service, member}
	m := s.members[key]
	if m == nil {
		m = &spoken{memberOf: key}
		m.place = s.order.PushBack(m)
		s.members[key] = m
	}
	s.clear(m)
	of := s.services[service]
	if of == nil && len(reports) > 0 {
		of = map[string]*said{}
		s.services[service] = of
	}
	for _, r := range reports {
		if of[r.Sidecar] == nil {
			s.sidecars++
		}
		of[r.Sidecar] = &said{r, m}
		m.names = append(m.names, r.Sidecar)
	}
	s.Touch(now, service, member)
	for s.order.Len() > 1 && (s.order.Len() > MaxReporters || s.sidecars > MaxReporters) {
		s.drop(s.order.Front().Value.(*spoken))
	}
}

// HasReports tells whether the member's reports are here.
func (s *ReportTable) HasReports(service, member string) bool {
	return s.members[memberOf{service, member}] != nil
}

// Touch takes in that a member asked without reports: what it said is so still. One that is not known stays so.
func (s *ReportTable) Touch(now time.Duration, service, member string) {
	if m := s.members[memberOf{service, member}]; m != nil {
		m.at = now
		s.order.MoveToBack(m.place)
	}
}

// SetKnownRevision takes in the revision that a known member's watch says it holds, in force or not.
func (s *ReportTable) SetKnownRevision(service, member string, holds Revision) {
	if m := s.members[memberOf{service, member}]; m != nil {
		m.holds = holds
	}
}

// Tick forgets who has not spoken for long.
func (s *ReportTable) Tick(now time.Duration) {
	for e := s.order.Front(); e != nil; e = s.order.Front() {
		m := e.Value.(*spoken)
		if now-m.at < MemberTimeout {
			return
		}
		s.drop(m)
	}
}

// clear takes a member's sidecars out.
func (s *ReportTable) clear(m *spoken) {
	of := s.services[m.service]
	for _, name := range m.names {
		if one := of[name]; one != nil && one.by == m {
			delete(of, name)
			s.sidecars--
		}
	}
	if m.names = m.names[:0]; len(of) == 0 {
		delete(s.services, m.service)
	}
}

func (s *ReportTable) drop(m *spoken) {
	s.clear(m)
	s.order.Remove(m.place)
	delete(s.members, m.memberOf)
}

// Summary is how a service stands, with each sidecar: those first that do not run the newest. A service without a
// version has the zero one.
func (s *ReportTable) Summary(now time.Duration, service string, newest Version) Summary {
	s.Tick(now)
	sum := s.sum(service, newest)
	of := s.services[service]
	for _, name := range slices.Sorted(maps.Keys(of)) {
		one := of[name]
		sum.Members = append(sum.Members, SidecarReport{one.report, one.by.member, now - one.by.at})
	}
	sum.lastFirst()
	return sum
}

// Summaries are the sums of the given services' newest versions, in that order, without names.
func (s *ReportTable) Summaries(now time.Duration, newest []Version) []Summary {
	s.Tick(now)
	all := make([]Summary, 0, len(newest))
	for _, v := range newest {
		all = append(all, s.sum(v.Service, v))
	}
	return all
}

func (s *ReportTable) sum(service string, newest Version) Summary {
	sum := Summary{Service: service, Newest: newest.Revision, Digest: newest.Digest}
	for _, one := range s.services[service] {
		sum.count(one.report)
		sum.ahead(one.by.holds)
	}
	return sum
}

// count takes a report into the sums.
func (s *Summary) count(r Report) {
	s.Reported++
	if r.InForce == s.Newest {
		s.InForce++
	}
	s.ahead(max(r.InForce, r.Refused))
}

// ahead takes in a revision that is held: one above the newest is of what the coordinators have forgotten.
func (s *Summary) ahead(held Revision) {
	if held > s.Newest {
		s.Ahead = max(s.Ahead, held)
	}
}

// lastFirst sorts members, which are by name, so that those not in force come first.
func (s *Summary) lastFirst() {
	slices.SortStableFunc(s.Members, func(a, b SidecarReport) int {
		switch in := a.InForce == s.Newest; {
		case in == (b.InForce == s.Newest):
			return 0
		case in:
			return 1
		}
		return -1
	})
}

// Merge is one summary of several coordinators' for one service, each with its members: a sidecar stands as the
// coordinator has it that its agent spoke to last, and the newest is the largest that one of them knows.
func Merge(all []Summary) Summary {
	var sum Summary
	last := map[string]SidecarReport{}
	for _, one := range all {
		sum.Service = one.Service
		if one.Newest > sum.Newest {
			sum.Newest, sum.Digest = one.Newest, one.Digest
		}
		for _, h := range one.Members {
			if was, known := last[h.Sidecar]; !known || h.Age < was.Age {
				last[h.Sidecar] = h
			}
		}
	}
	for _, one := range all {
		sum.ahead(one.Ahead)
	}
	for _, name := range slices.Sorted(maps.Keys(last)) {
		sum.count(last[name].Report)
		sum.Members = append(sum.Members, last[name])
	}
	sum.lastFirst()
	return sum
}
