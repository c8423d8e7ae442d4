package node

import (
	"encoding/json"
	"net/http"

	"petrelhook/internal/router/latency"
	"petrelhook/internal/router/outlier"
	"petrelhook/internal/router/replication"
)

// StatusPath is the path on the control address at which a router serves its status.
const StatusPath = "/-/status"

// Status is the state of a router and what it knows of the fleet. It is sent as JSON under the names in docs/operate.
type Status struct {
	Node         string // name of the machine, as in the settings
	Zone         string
	Ready        bool // it has become ready to serve since its start
	Core         bool // it is a core member
	Primary      bool
	InTouch      bool   // it has contact with a majority of the core, directly or through its home
	Home         string // internal address of the core member that it subscribes to
	View         replication.View
	Replica      string         // state of the replica, in readable form
	Version      uint64         // of the configuration in force here, assigned by the core
	Generation   int64          // of the same configuration, assigned by the operator
	Fleet        int            // number of routers
	Servers      map[string]int // usable ones by service
	Requests     int64
	Served       int64
	Rejected     int64 `json:"Refused"`
	Failed       int64
	Retried      int64
	SentBytes    uint64            // to other routers
	Findings     []outlier.Finding `json:"Doubted"` // servers that fail more often than others; only at a core member
	LacksPrimary bool              `json:"Silent"`  // it has no contact with a primary
	PoolHost     string            `json:"Pool"`    // host of the pool that holds its share of tenants' limits meanwhile
	Deposits     int               // number of deposits in the pool hosted here
	Migrated     int64             `json:"Moved"`      // stalled streams that were continued at another server
	Misordered   int64             `json:",omitempty"` // streams whose server sent an event that does not follow the one before it
	Latency      []latency.Report  // outcomes and waiting times of requests, by route
	Tombstones   *TombstoneStatus  `json:",omitempty"` // only at a router with a disk
	Usage        *Usage            `json:",omitempty"` // of the machine, by the process; nil in a status of an earlier version
	Clients      *ClientCounts     `json:",omitempty"` // those without room; nil in a status of an earlier version
}

// Status returns the router's present status. It acquires the lock.
func (n *Node) Status() Status {
	usage, clients := n.usage(), n.clientCounts() // these need no lock and may take longer
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	s := Status{
		Node:         n.settings.NodeName,
		Zone:         n.settings.Zone,
		Ready:        n.ready.Load(),
		Core:         n.isCoreMember(),
		Primary:      n.control.replica.IsPrimary(),
		InTouch:      n.hasCoreContact(now),
		Home:         n.subscription.home.Current(),
		View:         n.control.view,
		Replica:      n.control.replica.Status(),
		Version:      n.applied.configVersion,
		Fleet:        n.fleetSize,
		Servers:      n.gateway.ServerCounts(),
		SentBytes:    n.transport.SentBytes(),
		LacksPrimary: n.lacksPrimary(now),
		Deposits:     n.quotas.pool.Deposits(now),
		Latency:      n.gateway.LatencyReports(),
		Tombstones:   n.tombstones.status(now),
		Usage:        &usage,
		Clients:      &clients,
	}
	if table := n.gateway.Table(); table != nil {
		s.Generation = table.Generation
	}
	if s.Core {
		s.Findings = n.outliers.detector.Explain(now)
	}
	if now < n.gateway.QuotaPooledUntil() {
		s.PoolHost = n.quotas.contributor.Host()
	}
	c := &n.gateway.Counters
	s.Requests, s.Served, s.Rejected = c.Requests.Load(), c.Served.Load(), c.Rejected.Load()
	s.Failed, s.Retried, s.Migrated = c.Failed.Load(), c.Retried.Load(), c.Migrated.Load()
	s.Misordered = c.Misordered.Load()
	return s
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.Status()) // fails only if the caller has disconnected
}

// Version returns the version of the configuration in force here, or 0 if there is none. It acquires the lock.
func (n *Node) Version() uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.applied.configVersion
}

// Ready reports whether this router is ready to serve and is not shutting down. It needs no lock.
func (n *Node) Ready() bool { return n.ready.Load() && !n.shuttingDown.Load() }
