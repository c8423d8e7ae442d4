package node

import (
	"net/http"
	"slices"
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/outlier"
)

const (
	// outcomeInterval is the time between two reports of how requests to servers ended, where some failed.
	outcomeInterval = 100 * time.Millisecond
	// judgementInterval is the time between two judgements of which servers to eject.
	judgementInterval = 100 * time.Millisecond
	// ejectionsRenewal is after how long ejections that have not changed are sent again, since a message may be lost.
	ejectionsRenewal = 500 * time.Millisecond
	// ejectionsTTL is after how long ejections end where they are not renewed, as at a router that is partitioned from
	// its home.
	ejectionsTTL = 2500 * time.Millisecond
	// maxReadmission bounds for how long an operator can have a server readmitted. One that is to serve for longer
	// whatever is observed of it is a matter for the service.
	maxReadmission = 24 * time.Hour
)

// outliers is a router's part in finding servers that fail more than others.
type outliers struct {
	detector     *outlier.Detector // of a core member
	ejected      []outlier.Ejection
	lastNotified time.Duration // when the ejections were last sent to subscribers
}

// usableServers is what the detector has to know of servers. Its methods are called with the node's lock held.
type usableServers struct{ node *Node }

var _ outlier.Services = usableServers{}

// ServiceOf implements outlier.Services.
func (u usableServers) ServiceOf(server string) string {
	if e := u.node.registry.Entry(server); e != nil && e.Usable() {
		return e.Service
	}
	return ""
}

// UsableServers implements outlier.Services.
func (u usableServers) UsableServers(service string) int { return u.node.gateway.ServerCount(service) }

// tickOutliers reports how this router's requests ended; a core member judges servers by all reports.
func (n *Node) tickOutliers(now time.Duration) {
	if n.timers.reports.elapsed(outcomeInterval, now) {
		n.reportOutcomes(now)
	}
	if n.isCoreMember() && n.timers.judgement.elapsed(judgementInterval, now) {
		n.judgeServers(now)
	}
}

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

// judgeServers decides which servers are ejected. It sends the decision to the subscribers, and what speaks against
// servers to the other core members.
func (n *Node) judgeServers(now time.Duration) {
	o := &n.outliers
	sums := o.detector.Sums(now)
	reporting := float64(len(n.distributor.subscribers)+1) / float64(max(1, n.fleetSize))
	ejected := o.detector.Judge(reporting, now)
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

// receiveOutcomeReport counts a subscriber's report.
func (n *Node) receiveOutcomeReport(from string, m dissemination.OutcomeReport, now time.Duration) {
	if n.isCoreMember() {
		n.outliers.detector.ApplyReport(from, m.Report, now)
	}
}

// receiveOutcomeSums counts what another core member's subscribers reported.
func (n *Node) receiveOutcomeSums(from string, m dissemination.OutcomeSums, now time.Duration) {
	if n.isCoreMember() && n.control.isMember(from) {
		n.outliers.detector.ApplyPeerSums(from, m.Sums, now)
	}
}

// receiveEjections adopts the ejections of the home.
func (n *Node) receiveEjections(from string, m dissemination.Ejections) {
	if from == n.subscription.home.Current() && !n.isCoreMember() {
		n.gateway.SetEjections(m.Servers, ejectionsTTL)
	}
}

// receiveReadmit has a server readmitted that an operator named at another core member.
func (n *Node) receiveReadmit(from string, m dissemination.Readmit, now time.Duration) {
	if n.isCoreMember() && n.control.isMember(from) {
		n.outliers.detector.Admit(m.Server, m.For, now)
	}
}

// serveReadmit has a server readmitted for some time because an operator says so, here and at the other core members.
// It acquires the lock.
func (n *Node) serveReadmit(w http.ResponseWriter, r *http.Request) {
	span, err := time.ParseDuration(r.URL.Query().Get("for"))
	if err != nil || span <= 0 || span > maxReadmission {
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
	if !n.outliers.detector.Admit(server, span, n.now()) {
		http.Error(w, "no usable server "+server, http.StatusNotFound)
		return
	}
	for _, m := range n.control.view.Members {
		if m.Address != n.self.Address {
			n.transport.Send(m.Address, dissemination.Readmit{Server: server, For: span})
		}
	}
	n.logger.Info().Str("server", server).Int64("duration_ms", span.Milliseconds()).Msg("server readmitted by an operator")
	w.WriteHeader(http.StatusOK)
}
