// Package dissemination is what routers send one another besides replication: the messages, and the committed
// configuration as each router holds it (Versions). It brings the configuration, the list of servers, the size of the
// fleet and the view of the core to every router. It does not send anything itself, nor decide when; package node does.
// All of it is pure.
//
// Each router subscribes to one core member, its home, in its own zone where there is one. Its SubscriptionHeartbeat
// says what it has; the home answers with a Push of what it lacks, and pushes at once whenever something changes. So
// every message carries the state that both are to have in common, and what a lost message would have brought comes
// with the next one. No message is acknowledged otherwise unless its comment says so.
//
// Messages are sent in the form of package wireformat, under names and with fields that do not change.
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

// SubscriptionHeartbeat is sent by every router to its home, by core members and those that can become one to all core
// members, and, without Subscribe, to the seeds to learn who the core is. The receiver renews the sender's session and
// answers with a Push.
type SubscriptionHeartbeat struct {
	Router          membership.Router
	Subscribe       bool // false: the sender only wants to know the core
	View            replication.Epoch
	Version         uint64 // of the configuration that the sender has; 0: none
	HomeIncarnation uint64 // incarnation of the receiver in which the stamps below count
	RegistryStamp   uint64 // up to which the sender has all changes of the receiver's registry
	SessionsStamp   uint64 // the same of the receiver's sessions, which core members follow
	CoreMember      bool   // the sender is a core member, or can become one
	FullState       bool   // the sender wants the complete list of servers, since its own differs from the receiver's
}

// Push is sent by a core member to its subscribers: as the answer to a SubscriptionHeartbeat, and whenever something
// changes. The receiver applies what is newer than what it has. Fields are in force only as far as Stamp, Version and
// SessionsStamp say; a Push in which all three are 0 only introduces the core to a router that does not subscribe.
type Push struct {
	Incarnation uint64               // of the sender
	View        *replication.View    // nil where the receiver has it
	Eligible    []replication.Member // who can become a core member, while there is no view yet
	InTouch     bool                 // the sender has contact with a majority of the core
	Complete    bool                 // the sender's list of servers has every server that lives
	FleetSize   int                  // number of routers

	FromStamp, Stamp   uint64 // Instances are the changes of the sender's registry after FromStamp, up to Stamp
	Instances          []registry.Update
	Digest             uint64   // of the sender's usable instances at Stamp
	FullState          bool     // Instances is the complete list
	HeartbeatsReceived []string // to core members: servers that sent the sender a heartbeat since the last Push

	Version     uint64   // of the sender's configuration
	FromVersion uint64   // that Orders apply to
	Orders      [][]byte // the operator's orders that lead from FromVersion to Version
	Snapshot    []byte   // or the complete configuration, compressed; neither where the receiver has Version

	SessionsStamp uint64
	Routers       []membership.Router // to core members: the sender's sessions at SessionsStamp; nil where the receiver has them
}

// PrefixReport says at which servers shared prefixes of prompts were prefilled. Every router sends it to its home,
// which passes it on to its other subscribers; they prefer these servers for prompts with the same prefix. A lost one
// costs cache hits alone.
type PrefixReport struct{ Uses []placement.PrefixUses }

// LoadReport says what work requests have left at each server. A router sends its own to its home; a core member sends
// the sum of its subscribers' to the other core members, and to each subscriber the sum of all others'. The receiver
// replaces the sender's last report by it. A lost one is made good by the next.
type LoadReport struct{ Loads placement.Loads }

// OutcomeReport says how a router's requests to servers ended since its last report. Every router sends it to its home,
// whose outlier detector counts them. A lost one is not repeated.
type OutcomeReport struct{ Report outlier.Report }

// OutcomeSums is sent by a core member to the others: what its subscribers saw of servers whose failures stand out. The
// receiver's detector counts it in place of the sender's last one.
type OutcomeSums struct{ Sums []outlier.Sum }

// Ejections is the complete list of servers that are ejected. A home sends it to its subscribers whenever it changes,
// and again before it expires; they send these servers trial requests alone.
type Ejections struct{ Servers []outlier.Ejection }

// Readmit is sent by the core member where an operator had a server readmitted to the other core members. They do not
// eject the server for that time.
type Readmit struct {
	Server string
	For    time.Duration
}

// ForwardedHeartbeat is sent by a router that received a server's heartbeat to its home, which applies it. Where
// Request is not 0 the server is draining or has ended, and the home answers with ForwardedHeartbeatAck.
type ForwardedHeartbeat struct {
	Request  uint64
	Instance registry.Instance
}

// ForwardedHeartbeatAck answers a ForwardedHeartbeat once a majority of the core has the server's state. The receiver
// acknowledges the server's call.
type ForwardedHeartbeatAck struct{ Request uint64 }

// Drain is sent by a core member to the others: the state of a server that is draining or has ended. The receiver
// applies it and answers with DrainAck.
type Drain struct {
	Request  uint64
	Instance registry.Instance
}

// DrainAck answers Drain. View is the newest that its sender knows; where it is later than the receiver's, the receiver
// does not count the answer, since its majority may be none any more.
type DrainAck struct {
	Request uint64
	View    replication.Epoch
}

// QuotaRequest is sent by every router to the primary: what its tenants want, and which shares of their limits it
// holds. The primary answers with QuotaGrant.
type QuotaRequest struct {
	Nonce       uint64 // of this request; the grant repeats it
	Incarnation uint64
	Demand      map[string]float64 // by tenant, units a second
	HeldShares  map[string]float64 // by tenant, 0 to 1
}

// QuotaGrant answers QuotaRequest with the shares that the receiver may use from now on, in place of those that it
// held.
type QuotaGrant struct {
	Nonce  uint64
	Shares map[string]float64
}

// QuotaAcquire is sent by a router to the primary for one client request that its own share does not cover: it wants
// Need units of a tenant's limit, and up to Extra more for the requests that follow. The primary answers with
// QuotaAcquired.
type QuotaAcquire struct {
	Request     uint64
	Tenant      string
	Need, Extra float64
}

// QuotaAcquired answers QuotaAcquire with the units given; where there are none, Wait is the time until there are.
type QuotaAcquired struct {
	Request uint64
	Given   float64
	Wait    time.Duration
}

// PoolOffer is sent by a router that has no contact with the primary to the core member that is to host its deposit.
// The receiver asks for the deposit by PoolCollect.
type PoolOffer struct{}

// PoolCollect is sent by the host of a pool to a router that offered a deposit, again and again while it has one there.
// The receiver answers with PoolDeposit.
type PoolCollect struct{ Nonce uint64 }

// PoolDeposit answers PoolCollect with what its sender may spend of tenants' limits. It replaces the sender's last
// deposit; an empty one takes that back, because the sender has contact with a primary again.
type PoolDeposit struct {
	Nonce   uint64
	Deposit quota.Deposit
}

// PoolAcquire is sent by a router for one client request to the host that has its deposit: it wants units of a tenant's
// limit. The host answers with PoolAcquired.
type PoolAcquire struct {
	Request uint64
	Tenant  string
	Units   float64
}

// PoolAcquired answers PoolAcquire. Where the units are not granted, Wait is the time until they would be.
type PoolAcquired struct {
	Request uint64
	Granted bool
	Wait    time.Duration
}
