package distribute

import (
	"container/list"
	"maps"
	"slices"
	"time"
)

// MaxReporters is the maximum number of members in a ReportTable, and also the maximum number of sidecars. Both count all services.
// While either number is larger, the member with the oldest contact is removed, but never the last member.
const MaxReporters = 65_536

// MemberTimeout is the time after its last contact for which a member is kept.
const MemberTimeout = time.Hour

// ReportTable holds the reports that agents have sent to one coordinator. Times are those of the coordinator's monotonic clock.
// It must be used from a single goroutine.
type ReportTable struct {
	reporters map[memberKey]*reporter
	services  map[string]map[string]*sidecarReport // by service, by sidecar
	order     list.List                            // of *reporter, ordered by last contact, the oldest first
	sidecars  int                                  // number of sidecars of all services
}

// memberKey identifies a member of a service.
type memberKey struct{ service, member string }

// reporter is a member that has sent reports.
type reporter struct {
	memberKey
	lastContact   time.Duration
	knownRevision Revision // Watch.Known of its last watch
	// sidecars are the names in its last reports. A sidecar that another member has reported since then belongs to that member.
	sidecars []string
	element  *list.Element // in the table's order
}

// sidecarReport is the last report of a sidecar, and the member that sent it.
type sidecarReport struct {
	report   Report
	reporter *reporter
}

// NewReportTable returns a table without reports.
func NewReportTable() *ReportTable {
	return &ReportTable{reporters: map[memberKey]*reporter{}, services: map[string]map[string]*sidecarReport{}}
}

// SetReports replaces all reports of a member, so that a sidecar that is not among the new ones is removed. A sidecar belongs to
// the member that reported it last.
func (t *ReportTable) SetReports(now time.Duration, service, member string, reports []Report) {
	key := memberKey{service, member}
	m := t.reporters[key]
	if m == nil {
		m = &reporter{memberKey: key}
		m.element = t.order.PushBack(m)
		t.reporters[key] = m
	}
	t.removeSidecars(m)
	sidecars := t.services[service]
	if sidecars == nil && len(reports) > 0 {
		sidecars = map[string]*sidecarReport{}
		t.services[service] = sidecars
	}
	for _, r := range reports {
		if sidecars[r.Sidecar] == nil {
			t.sidecars++
		}
		sidecars[r.Sidecar] = &sidecarReport{r, m}
		m.sidecars = append(m.sidecars, r.Sidecar)
	}
	t.Touch(now, service, member)
	for t.order.Len() > 1 && (t.order.Len() > MaxReporters || t.sidecars > MaxReporters) {
		t.remove(t.order.Front().Value.(*reporter))
	}
}

// HasReports reports whether the table holds the member, also if its last reports were empty.
func (t *ReportTable) HasReports(service, member string) bool {
	return t.reporters[memberKey{service, member}] != nil
}

// Touch records a contact of a member that sent no new reports, so that its earlier reports are kept for another MemberTimeout.
// It has no effect for an unknown member.
func (t *ReportTable) Touch(now time.Duration, service, member string) {
	if m := t.reporters[memberKey{service, member}]; m != nil {
		m.lastContact = now
		t.order.MoveToBack(m.element)
	}
}

// SetKnownRevision records the revision that a member's watch names as known, whether it is in force or not. It has no effect for
// an unknown member.
func (t *ReportTable) SetKnownRevision(service, member string, known Revision) {
	if m := t.reporters[memberKey{service, member}]; m != nil {
		m.knownRevision = known
	}
}

// Tick removes the members whose last contact is at least MemberTimeout ago.
func (t *ReportTable) Tick(now time.Duration) {
	for e := t.order.Front(); e != nil; e = t.order.Front() {
		m := e.Value.(*reporter)
		if now-m.lastContact < MemberTimeout {
			return
		}
		t.remove(m)
	}
}

// removeSidecars removes the reports of a member's sidecars, except for those that another member has reported since.
func (t *ReportTable) removeSidecars(m *reporter) {
	sidecars := t.services[m.service]
	for _, name := range m.sidecars {
		if sidecar := sidecars[name]; sidecar != nil && sidecar.reporter == m {
			delete(sidecars, name)
			t.sidecars--
		}
	}
	if m.sidecars = m.sidecars[:0]; len(sidecars) == 0 {
		delete(t.services, m.service)
	}
}

// remove removes a member and its reports.
func (t *ReportTable) remove(m *reporter) {
	t.removeSidecars(m)
	t.order.Remove(m.element)
	delete(t.reporters, m.memberKey)
}

// Summary returns the summary of a service with all of its sidecars. Sidecars that do not run the newest version come
// first. newest is the zero Version if the service has no version.
func (t *ReportTable) Summary(now time.Duration, service string, newest Version) Summary {
	t.Tick(now)
	summary := t.count(service, newest)
	sidecars := t.services[service]
	for _, name := range slices.Sorted(maps.Keys(sidecars)) {
		sidecar := sidecars[name]
		summary.Sidecars = append(summary.Sidecars, SidecarReport{sidecar.report, sidecar.reporter.member, now - sidecar.reporter.lastContact})
	}
	summary.sortOutdatedFirst()
	return summary
}

// Summaries returns the summaries, without sidecars, of the services of the given newest versions, in the same order.
func (t *ReportTable) Summaries(now time.Duration, newest []Version) []Summary {
	t.Tick(now)
	all := make([]Summary, 0, len(newest))
	for _, v := range newest {
		all = append(all, t.count(v.Service, v))
	}
	return all
}

// count returns the summary of a service without its sidecars.
func (t *ReportTable) count(service string, newest Version) Summary {
	summary := Summary{Service: service, Newest: newest.Revision, Digest: newest.Digest}
	for _, sidecar := range t.services[service] {
		summary.addReport(sidecar.report)
		summary.addHeld(sidecar.reporter.knownRevision)
	}
	return summary
}
