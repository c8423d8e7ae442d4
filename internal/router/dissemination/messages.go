// Package dissemination defines the messages that routers send one another apart from replication, and the committed
// configuration as each router holds it (Versions). The messages bring the configuration, the list of servers, the size
// of the fleet and the view of the core to every router. The package sends nothing itself and does not decide when
// something is sent; package node does. It has no clock, network or goroutine of its own.
//
// Each router subscribes to one core member, its home, in its own zone if there is one. Its SubscriptionHeartbeat says
// which state it has; the home answers with a Push of the state that the router lacks, and also pushes as soon as
// something changes. Since each heartbeat and each Push says which state it refers to, the next one makes up for a lost
// one. Messages are not acknowledged in any other way unless their comment says so.
//
// Package wireformat encodes the messages, under names and with fields that do not change.
package dissemination

import (
	"time"

	"petrelhook/internal/router/membership"
	"petrelhook/internal/router/outlier"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/quota"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/replication"
)

// SubscriptionHeartbeat is sent by every router to its home, by core members and candidates for the core to all core
// members, and, with Subscribe false, to the seeds to find out the members of the core. A core member that receives one
// with Subscribe renews the session of the sender and answers with a Push. Any other receiver answers with a Push that
// has only the view of the core or the candidates for it, if the sender lacks them.
type SubscriptionHeartbeat struct {
	Router          membership.Router
	Subscribe       bool // false: the sender only asks for the members of the core
	View            replication.Epoch
	Version         uint64 // of the sender's configuration; 0: none
	HomeIncarnation uint64 // incarnation of the receiver that the stamps below belong to
	RegistryStamp   uint64 // the sender has all changes of the receiver's registry up to this stamp
	SessionsStamp   uint64 // the same for the receiver's sessions, which only core members receive
	CoreMember      bool   // the sender is a core member, or can become one
	FullState       bool   // the sender requests the complete list of servers, because its own differs from the receiver's
}

// Push is sent by a core member to its subscribers, both as the answer to a SubscriptionHeartbeat and whenever
// something changes. The receiver applies everything that is newer than its own state. Stamp, Version and SessionsStamp
// each say up to which state their fields are valid; a Push in which all three are 0 only tells a router that does not
// subscribe who the members of the core are.
type Push struct {
	Incarnation uint64               // of the sender
	View        *replication.View    // nil if the receiver has it
	Eligible    []replication.Member // candidates for the core, while there is no view yet
	InTouch     bool                 // the sender has contact with a majority of the core
	Complete    bool                 // the sender's list of servers includes all live servers
	FleetSize   int                  // number of routers

	FromStamp, Stamp   uint64 // Instances holds the changes of the sender's registry after FromStamp, up to Stamp
	Instances          []registry.Update
	Digest             uint64   // of the sender's usable instances at Stamp
	FullState          bool     // Instances is the complete list
	HeartbeatsReceived []string // only to core members: IDs of the servers that sent the sender a heartbeat since the last Push

	Version     uint64   // of the sender's configuration
	FromVersion uint64   // the version that Orders apply to
	Orders      [][]byte // the operator's orders that lead from FromVersion to Version
	Snapshot    []byte   // instead of Orders: the complete configuration, compressed; both are empty if the receiver has Version

	SessionsStamp uint64
	Routers       []membership.Router // only to core members: the sender's sessions at SessionsStamp; nil if the receiver has them
}

// PrefixReport lists the servers that have prefilled shared prompt prefixes. Every router sends it to its home, which
// forwards it to its other subscribers; they prefer these servers for prompts with the same prefix. A lost report only
// costs cache hits.
type PrefixReport struct{ Uses []placement.PrefixUses }

// LoadReport says how much work of unfinished requests remains at each server. A router sends its own report to its
// home; a core member sends the sum of its subscribers' reports to the other core members, and to each subscriber the
// sum of the reports of all other routers. The receiver replaces the sender's last report by it, so the next report
// makes up for a lost one.
type LoadReport struct{ Loads placement.Loads }

// OutcomeReport says how a router's requests to servers ended since its last report. Every router sends it to its home,
// which passes it to its outlier detector. A lost report is not repeated.
type OutcomeReport struct{ Report outlier.Report }

// OutcomeSums is sent by a core member to the others: the outcomes that its subscribers reported for servers whose
// failure rates stand out. The receiver's detector replaces the sender's last sums by it.
type OutcomeSums struct{ Sums []outlier.Sum }

// Ejections is the complete list of ejected servers. A home sends it to its subscribers whenever it changes, and again
// before it expires; they send only trial requests to these servers.
type Ejections struct{ Servers []outlier.Ejection }

// Readmit is sent to the other core members by the core member at which an operator readmitted a server. The receivers
// do not eject the server for the duration For.
type Readmit struct {
	Server string
	For    time.Duration
}

// ForwardedHeartbeat is sent to its home by a router that received a server's heartbeat. The home applies the
// heartbeat. If Request is not 0, the server is draining or has ended, and the home answers with ForwardedHeartbeatAck.
type ForwardedHeartbeat struct {
	Request  uint64
	Instance registry.Instance
}

// ForwardedHeartbeatAck answers a ForwardedHeartbeat once a majority of the core has the server's state. Its receiver
// then acknowledges the server's call.
type ForwardedHeartbeatAck struct{ Request uint64 }

// Drain is sent by a core member to the others and carries the state of a server that is draining or has ended. The
// receiver applies it and answers with DrainAck.
type Drain struct {
	Request  uint64
	Instance registry.Instance
}

// DrainAck answers Drain. View is the newest view that its sender knows; if it is later than the view of the receiver,
// the receiver does not count the answer, because its majority may no longer be a majority of the core.
type DrainAck struct {
	Request uint64
	View    replication.Epoch
}

// QuotaRequest is sent by every router to the primary and carries its tenants' demand and the shares of their limits
// that the router holds. The primary answers with QuotaGrant.
type QuotaRequest struct {
	Nonce       uint64 // of this request; the grant repeats it
	Incarnation uint64
	Demand      map[string]float64 // by tenant, in units per second
	HeldShares  map[string]float64 // by tenant, 0 to 1
}

// QuotaGrant answers QuotaRequest with the shares that the receiver may use from now on. They replace the shares that
// it held.
type QuotaGrant struct {
	Nonce  uint64
	Shares map[string]float64
}

// QuotaAcquire is sent by a router to the primary for one client request that the router's own share does not cover. It
// asks for Need units of a tenant's limit, and up to Extra more for the requests that follow. The primary answers with
// QuotaAcquired.
type QuotaAcquire struct {
	Request     uint64
	Tenant      string
	Need, Extra float64
}

// QuotaAcquired answers QuotaAcquire with the units granted; if there are none, Wait is the time until some are
// available.
type QuotaAcquired struct {
	Request uint64
	Given   float64
	Wait    time.Duration
}

// PoolOffer is sent by a router without contact with the primary to the core member that is to host its deposit. The
// receiver requests the deposit with PoolCollect.
type PoolOffer struct{}

// PoolCollect is sent by the host of a pool to a router that offered a deposit, repeatedly for as long as the host
// holds a deposit of that router. The receiver answers with PoolDeposit.
type PoolCollect struct{ Nonce uint64 }

// PoolDeposit answers PoolCollect with the part of the tenants' limits that its sender contributes to the pool. It
// replaces the sender's last deposit; an empty one withdraws that deposit, because the sender has contact with a
// primary again.
type PoolDeposit struct {
	Nonce   uint64
	Deposit quota.Deposit
}

// PoolAcquire is sent by a router to the host of its deposit for one client request, and asks for units of a tenant's
// limit. The host answers with PoolAcquired.
type PoolAcquire struct {
	Request uint64
	Tenant  string
	Units   float64
}

// PoolAcquired answers PoolAcquire. If the units are not granted, Wait is the time until they would be.
type PoolAcquired struct {
	Request uint64
	Granted bool
	Wait    time.Duration
}
