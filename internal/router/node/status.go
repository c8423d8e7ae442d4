package node

import (
	"encoding/json"
	"net/http"

	"petrelhook/internal/router/latency"
	"petrelhook/internal/router/outlier"
	"petrelhook/internal/router/replication"
)

// StatusPath is where a router tells its status, on its control address.
const StatusPath = "/-/status"

// Status is what a router knows of itself and of the fleet.
type Status struct {
	Node       string
	Zone       string
	Ready      bool
	Core       bool
	Primary    bool
	InTouch    bool // with a majority of the core, itself or by its home
	Home       string
	View       replication.View
	Replica    string
	Version    uint64 // of the configuration in force here, counted by the core
	Generation int64
	Fleet      int
	Servers    map[string]int // usable ones by service
	Requests   int64
	Served     int64
	Refused    int64
	Failed     int64
	Retried    int64
	SentBytes  uint64            // to other sidecars
	Doubted    []outlier.Finding // servers that fail more than others, at a control sidecar
	Silent     bool              // it hears no primary
	Pool       string            // whose pool has what it may spend of tenants' limits meanwhile
	Deposits   int               // in its own pool
	Moved      int64             // streams that went on at another server because they stalled
	Latency    []latency.Report  // what became of requests, by route, and what they waited for
}

// Status tells the status.
func (n *Node) Status() Status {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	s := Status{Node: n.settings.NodeName, Zone: n.settings.Zone, Ready: n.ready.Load(), Core: n.core(), Primary: n.replica.IsPrimary(),
		Home: n.home.address, View: n.view, Replica: n.replica.Status(), Version: n.compiled, Fleet: n.fleet, Servers: n.gateway.ServerCounts(),
		SentBytes: n.transport.SentBytes()}
	s.InTouch = s.Core && n.replica.InTouch() || !s.Core && n.home.touch && n.now()-n.home.heard < homeSilent
	if t := n.gateway.Table(); t != nil {
		s.Generation = t.Generation
	}
	if s.Core {
		s.Doubted = n.outliers.detector.Explain(n.now())
	}
	s.Silent, s.Deposits = n.primarySilent(n.now()), n.poolHost.pool.DepositCount(n.now())
	if n.now() < n.gateway.QuotaPooledUntil() {
		s.Pool = n.poolMembership.host
	}
	c := &n.gateway.Counters
	s.Requests, s.Served, s.Refused = c.Requests.Load(), c.Served.Load(), c.Rejected.Load()
	s.Failed, s.Retried, s.Moved = c.Failed.Load(), c.Retried.Load(), c.Migrated.Load()
	s.Latency = n.gateway.LatencyReports()
	return s
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(n.Status())
}

// Version is the version of the configuration in force here.
func (n *Node) Version() uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.compiled
}

// Ready reports whether this sidecar takes clients.
func (n *Node) Ready() bool { return n.ready.Load() && !n.ending.Load() }
