package node

import (
	"net/http"
	"slices"
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/outlier"
)

const (
	// outcomeInterval is the time between two reports of the outcomes of requests to servers if some requests have failed.
	// Without failures the gateway returns reports less often.
	outcomeInterval = 100 * time.Millisecond
	// judgementInterval is the time between two decisions of which servers to eject.
	judgementInterval = 100 * time.Millisecond
	// ejectionsRenewal is the interval at which unchanged ejections are sent again, since a message may be lost.
	ejectionsRenewal = 500 * time.Millisecond
	// ejectionsTTL is how long ejections remain in force without renewal, for example on a router that is partitioned
	// from its home.
	ejectionsTTL = 2500 * time.Millisecond
	// maxReadmission bounds the time for which an operator can have a server readmitted. A server that has to serve for
	// longer, whatever its failures, needs a change to the service instead.
	maxReadmission = 24 * time.Hour
)

// outliers is the state of a router's detection of servers that fail more often than others.
type outliers struct {
	detector     *outlier.Detector // used by a core member
	ejected      []outlier.Ejection
	lastNotified time.Duration // when the ejections were last sent to subscribers
}

// usableServers tells the detector which servers are usable. Its methods are called with the node's lock held.
type usableServers struct{ node *Node }

var _ outlier.Services = usableServers{}

// ServiceOf implements outlier.Services. It returns an empty string for a server that is not usable.
func (u usableServers) ServiceOf(server string) string {
	if e := u.node.registry.Entry(server); e != nil && e.Usable() {
		return e.Service
	}
	return ""
}

// UsableServers implements outlier.Services.
func (u usableServers) UsableServers(service string) int { return u.node.gateway.ServerCount(service) }

// tickOutliers reports the outcomes of this router's requests. A core member then decides from all reports which servers
// to eject.
func (n *Node) tickOutliers(now time.Duration) {
	if n.timers.reports.elapsed(outcomeInterval, now) {
		n.reportOutcomes(now)
	}
	if n.isCoreMember() && n.timers.judgement.elapsed(judgementInterval, now) {
		n.judgeServers(now)
	}
}

// reportOutcomes sends the outcomes since the last report to the home; a core member applies them itself.
func (n *Node) reportOutcomes(now time.Duration) {
	report, ok := n.gateway.TakeOutcomeReport()
	home := n.subscription.home.Current()
	switch {
	case !ok:
	case n.isCoreMember():
		n.outliers.detector.ApplyReport(n.self.Address, report, now)
	case home != "":
		n.transport.Send(home, dissemination.OutcomeReport{Report: report})
	}
}

// judgeServers decides which servers to eject. It sends the ejections to the subscribers when they change and at each
// ejectionsRenewal, and its sums for suspected servers to the other core members.
func (n *Node) judgeServers(now time.Duration) {
	o := &n.outliers
	sums := o.detector.Sums(now)
	reportingFraction := float64(len(n.distributor.subscribers)+1) / float64(max(1, n.fleetSize))
	ejected := o.detector.Judge(reportingFraction, now)
	changed := !slices.EqualFunc(ejected, o.ejected, func(a, b outlier.Ejection) bool { return a.Server == b.Server })
	if changed {
		n.logEjections(ejected)
	}
	notify := changed || len(ejected) > 0 && now-o.lastNotified >= ejectionsRenewal
	o.ejected = ejected
	if notify {
		o.lastNotified = now
		n.gateway.SetEjections(ejected, ejectionsTTL)
	}
	for _, s := range n.distributor.subscribers {
		if s.coreMember && len(sums) > 0 {
			n.transport.Send(s.address, dissemination.OutcomeSums{Sums: sums})
		}
		if !s.coreMember && notify {
			n.transport.Send(s.address, dissemination.Ejections{Servers: ejected})
		}
	}
}

func (n *Node) logEjections(ejected []outlier.Ejection) {
	var ids []string
	for _, e := range ejected {
		ids = append(ids, e.Server)
	}
	n.logger.Info().Strs("servers", ids).Msg("ejected servers changed")
}

// receiveOutcomeReport adds a subscriber's report to the detector.
func (n *Node) receiveOutcomeReport(from string, m dissemination.OutcomeReport, now time.Duration) {
	if n.isCoreMember() {
		n.outliers.detector.ApplyReport(from, m.Report, now)
	}
}

// receiveOutcomeSums adds the sums that another core member's subscribers reported to the detector.
func (n *Node) receiveOutcomeSums(from string, m dissemination.OutcomeSums, now time.Duration) {
	if n.isCoreMember() && n.control.isMember(from) {
		n.outliers.detector.ApplyPeerSums(from, m.Sums, now)
	}
}

// receiveEjections adopts the ejections sent by the home, and ignores those of other routers.
func (n *Node) receiveEjections(from string, m dissemination.Ejections) {
	if from == n.subscription.home.Current() && !n.isCoreMember() {
		n.gateway.SetEjections(m.Servers, ejectionsTTL)
	}
}

// receiveReadmit readmits a server that an operator has readmitted at another core member.
func (n *Node) receiveReadmit(from string, m dissemination.Readmit, now time.Duration) {
	if n.isCoreMember() && n.control.isMember(from) {
		n.outliers.detector.Admit(m.Server, m.For, now)
	}
}

// serveReadmit readmits a server for a time that an operator chooses, at this core member and at the others. It acquires
// the lock.
func (n *Node) serveReadmit(w http.ResponseWriter, r *http.Request) {
	duration, err := time.ParseDuration(r.URL.Query().Get("for"))
	if err != nil || duration <= 0 || duration > maxReadmission {
		http.Error(w, "for: a time like 10m is wanted, up to "+maxReadmission.String(), http.StatusBadRequest)
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.isCoreMember() {
		http.Error(w, "this router is not a core member", http.StatusServiceUnavailable)
		return
	}
	server := r.PathValue("id")
	if !n.outliers.detector.Admit(server, duration, n.now()) {
		http.Error(w, "no usable server "+server, http.StatusNotFound)
		return
	}
	for _, m := range n.control.view.Members {
		if m.Address != n.self.Address {
			n.transport.Send(m.Address, dissemination.Readmit{Server: server, For: duration})
		}
	}
	n.logger.Info().Str("server", server).Int64("duration_ms", duration.Milliseconds()).Msg("server readmitted by an operator")
	w.WriteHeader(http.StatusOK)
}
