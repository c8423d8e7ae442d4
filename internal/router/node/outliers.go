package node

import (
	"net/http"
	"slices"
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/outlier"
)

const (
	reportEvery     = 100 * time.Millisecond // at the most, where sends failed
	judgeEvery      = 100 * time.Millisecond
	ejectionsRenew  = 500 * time.Millisecond  // ejections are told again
	ejectionsExpire = 2500 * time.Millisecond // unless they are told again
)

// outliers is a node's part in finding servers that fail more than others.
type outliers struct {
	detector *outlier.Detector // of a control sidecar
	ejected  []outlier.Ejection
	told     time.Duration // when subscribers were told last
}

// usableServers is what the detector has to know of the list of servers.
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

// tickOutliers reports how this sidecar's sends ended; a control sidecar judges servers by what was reported.
func (n *Node) tickOutliers(now time.Duration) {
	if n.every.report.due(reportEvery, now) {
		n.reportOutcomes(now)
	}
	if n.core() && n.every.judge.due(judgeEvery, now) {
		n.judge(now)
	}
}

func (n *Node) reportOutcomes(now time.Duration) {
	report, ok := n.gateway.TakeOutcomeReport()
	switch {
	case !ok:
	case n.core():
		n.outliers.detector.ApplyReport(n.self.Address, report, now)
	case n.home.address != "":
		n.transport.Send(n.home.address, dissemination.OutcomeReport{Report: report})
	}
}

// judge tells other control sidecars of servers in doubt, and the subscribers whom they leave alone.
func (n *Node) judge(now time.Duration) {
	o := &n.outliers
	sums := o.detector.Sums(now)
	reporting := float64(len(n.subscribers)+1) / float64(max(1, n.fleet))
	ejected := o.detector.Judge(reporting, now)
	same := func(a, b outlier.Ejection) bool { return a.Server == b.Server }
	changed := !slices.EqualFunc(ejected, o.ejected, same)
	if changed {
		n.logEjections(ejected)
	}
	tell := changed || len(ejected) > 0 && now-o.told >= ejectionsRenew
	o.ejected = ejected
	if tell {
		o.told = now
		n.gateway.SetEjections(ejected, ejectionsExpire)
	}
	for _, s := range n.subscribers {
		if s.core && len(sums) > 0 {
			n.transport.Send(s.address, dissemination.OutcomeSums{Sums: sums})
		}
		if !s.core && tell {
			n.transport.Send(s.address, dissemination.Ejections{Servers: ejected})
		}
	}
}

func (n *Node) logEjections(next []outlier.Ejection) {
	var ids []string
	for _, e := range next {
		ids = append(ids, e.Server)
	}
	n.logger.Info().Strs("servers", ids).Msg("ejected")
}

func (n *Node) onOutcomes(from string, m dissemination.OutcomeReport, now time.Duration) {
	if n.core() {
		n.outliers.detector.ApplyReport(from, m.Report, now)
	}
}

func (n *Node) onOutcomeSums(from string, m dissemination.OutcomeSums, now time.Duration) {
	if n.core() && n.isMember(from) {
		n.outliers.detector.ApplyPeerSums(from, m.Sums, now)
	}
}

func (n *Node) onEjections(from string, m dissemination.Ejections) {
	if from == n.home.address && !n.core() {
		n.gateway.SetEjections(m.Servers, ejectionsExpire)
	}
}

func (n *Node) onAdmit(from string, m dissemination.Readmit, now time.Duration) {
	if n.core() && n.isMember(from) {
		n.outliers.detector.Admit(m.Server, m.For, now)
	}
}

// maxAdmit bounds an operator's word: a server that is to serve for longer whatever is seen of it is a matter for the service.
const maxAdmit = 24 * time.Hour

// serveAdmit takes an operator's word that a server is not to be ejected for some time, and tells the other control sidecars.
func (n *Node) serveAdmit(w http.ResponseWriter, r *http.Request) {
	span, err := time.ParseDuration(r.URL.Query().Get("for"))
	if err != nil || span <= 0 || span > maxAdmit {
		http.Error(w, "for: a time like 10m is wanted, up to "+maxAdmit.String(), http.StatusBadRequest)
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.core() {
		http.Error(w, "this is no machine of the core", http.StatusServiceUnavailable)
		return
	}
	server := r.PathValue("id")
	if !n.outliers.detector.Admit(server, span, n.now()) {
		http.Error(w, "no usable server "+server, http.StatusNotFound)
		return
	}
	for _, m := range n.view.Members {
		if m.Address != n.self.Address {
			n.transport.Send(m.Address, dissemination.Readmit{Server: server, For: span})
		}
	}
	n.logger.Info().Str("server", server).Dur("for", span).Msg("admitted by an operator")
	w.WriteHeader(http.StatusOK)
}
