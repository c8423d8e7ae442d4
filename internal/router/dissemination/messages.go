// Package dissemination brings what the core knows to every sidecar: the committed configuration, the list of servers,
// the size of the fleet, and who the core is.
//
// Each sidecar subscribes to one control sidecar, its home, in its own zone where there is one, by a Session that says what it
// has; the home answers with a Push of what it lacks, at once whenever something changes. So the state that both want
// to be equal is in every message, and a message that is lost is made good by the next.
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

// SubscriptionHeartbeat is a sidecar's heartbeat to its home, and what it asks for.
type SubscriptionHeartbeat struct {
	Node            membership.Process
	Subscribe       bool // false: it only asks who the core is
	View            replication.Epoch
	Version         uint64 // of the configuration that it has; 0: none
	HomeIncarnation uint64 // of the home that Stamp is of
	RegistryStamp   uint64 // of the registry
	SessionsStamp   uint64 // stamp of the home's sessions, asked for by other control sidecars
	CoreMember      bool   // the sender is a control sidecar itself
	FullState       bool   // it asks for the whole list of servers, for its own differs from the home's
}

// Push is what a home tells a subscriber.
type Push struct {
	Incarnation uint64
	View        *replication.View // where it is newer
	Eligible    []replication.Member
	InTouch     bool // the home hears a majority of the core
	Complete    bool // its list of servers is whole
	Fleet       int

	FromStamp, Stamp   uint64
	Instances          []registry.Update
	Digest             uint64   // of the usable instances at Stamp
	FullState          bool     // Instances are all that there are
	HeartbeatsReceived []string // to control sidecars: servers whose heartbeat came here

	Version     uint64
	FromVersion uint64
	Orders      [][]byte // from FromVersion to Version
	Snapshot    []byte   // or the whole configuration

	SessionsStamp uint64
	Nodes         []membership.Process
}

// PrefixReport tells where shared parts of prompts were read; it is lost without harm.
type PrefixReport struct{ Uses []placement.PrefixUses }

// LoadReport tells a home what a subscriber's requests have left to do, another control sidecar what all subscribers' have, and a subscriber
// what all others' have. It stands in place of the sender's last one; it is lost without harm.
type LoadReport struct{ Loads placement.Loads }

// OutcomeReport tells a home how the sends of a subscriber ended; it is lost without harm.
type OutcomeReport struct{ Report outlier.Report }

// OutcomeSums tells another control sidecar what this one's subscribers saw of servers that are in doubt.
type OutcomeSums struct{ Sums []outlier.Sum }

// Ejections are the servers that a home's subscribers leave alone, all that there are.
type Ejections struct{ Servers []outlier.Ejection }

// Readmit tells another control sidecar of an operator's word that a server is not to be ejected.
type Readmit struct {
	Server string
	For    time.Duration
}

// ForwardedHeartbeat brings a server's call to a control sidecar; Request is not 0 where the sender waits for HeartbeatAck.
type ForwardedHeartbeat struct {
	Request  uint64
	Instance registry.Instance
}

// HeartbeatAck says that a server's call is known to a majority of the core.
type HeartbeatAck struct{ Request uint64 }

// Drain brings a server's drain or end from one control sidecar to another, which answers with DrainAck.
type Drain struct {
	Request  uint64
	Instance registry.Instance
}

// DrainAck answers Drain. View is the newest that its sender knows: an answer from a later view than the asker's does not count there.
type DrainAck struct {
	Request uint64
	View    replication.Epoch
}

// QuotaRequest tells the primary what a sidecar's tenants want, and what shares it holds.
type QuotaRequest struct {
	Nonce       uint64
	Incarnation uint64
	Demand      map[string]float64 // units a second
	Held        map[string]float64 // shares, 0 to 1
}

// QuotaGrant answers QuotaAsk with the shares to use from now on.
type QuotaGrant struct {
	Nonce  uint64
	Shares map[string]float64
}

// QuotaAcquire acquires units of a tenant's limit.
type QuotaAcquire struct {
	Request     uint64
	Tenant      string
	Need, Extra float64
}

// QuotaAcquired answers QuotaAcquire.
type QuotaAcquired struct {
	Request uint64
	Given   float64
	Wait    time.Duration
}

// PoolOffer tells a control sidecar that the sender hears no primary and would leave it a deposit.
type PoolOffer struct{}

// PoolCollect asks for a deposit, or for the next one.
type PoolCollect struct{ Nonce uint64 }

// PoolDeposit answers PoolCollect; an empty deposit takes the one before away.
type PoolDeposit struct {
	Nonce   uint64
	Deposit quota.Deposit
}

// PoolAcquire asks for units of a tenant's limit, of a pool that has the sender's deposit.
type PoolAcquire struct {
	Request uint64
	Tenant  string
	Units   float64
}

// PoolAcquired answers PoolTake.
type PoolAcquired struct {
	Request uint64
	Granted bool
	Wait    time.Duration
}
