package wireformat

import (
	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/membership"
	"petrelhook/internal/router/replication"
)

// wireRouter is the wire type of membership.Router.
type wireRouter struct {
	Address string
	Zone    string
	Life    uint64 // membership.Router.Incarnation
	Member  *replication.Member
}

func toWireRouter(r membership.Router) wireRouter {
	return wireRouter{Address: r.Address, Zone: r.Zone, Life: r.Incarnation, Member: r.Member}
}

func (w wireRouter) router() membership.Router {
	return membership.Router{Address: w.Address, Zone: w.Zone, Incarnation: w.Life, Member: w.Member}
}

func toWireRouters(routers []membership.Router) []wireRouter {
	if routers == nil {
		return nil
	}
	wire := make([]wireRouter, 0, len(routers))
	for _, r := range routers {
		wire = append(wire, toWireRouter(r))
	}
	return wire
}

func fromWireRouters(wire []wireRouter) []membership.Router {
	if wire == nil {
		return nil
	}
	routers := make([]membership.Router, 0, len(wire))
	for _, w := range wire {
		routers = append(routers, w.router())
	}
	return routers
}

// wireSubscriptionHeartbeat is the wire type of dissemination.SubscriptionHeartbeat. A comment on a field names the field of
// the message if the names differ.
type wireSubscriptionHeartbeat struct {
	Node      wireRouter // Router
	Subscribe bool
	View      replication.Epoch
	Version   uint64
	HomeLife  uint64 // HomeIncarnation
	Stamp     uint64 // RegistryStamp
	Sessions  uint64 // SessionsStamp
	Core      bool   // CoreMember
	Whole     bool   // FullState
}

func toWireSubscriptionHeartbeat(m dissemination.SubscriptionHeartbeat) wireSubscriptionHeartbeat {
	return wireSubscriptionHeartbeat{
		Node:      toWireRouter(m.Router),
		Subscribe: m.Subscribe,
		View:      m.View,
		Version:   m.Version,
		HomeLife:  m.HomeIncarnation,
		Stamp:     m.RegistryStamp,
		Sessions:  m.SessionsStamp,
		Core:      m.CoreMember,
		Whole:     m.FullState,
	}
}

func (w wireSubscriptionHeartbeat) message() dissemination.SubscriptionHeartbeat {
	return dissemination.SubscriptionHeartbeat{
		Router:          w.Node.router(),
		Subscribe:       w.Subscribe,
		View:            w.View,
		Version:         w.Version,
		HomeIncarnation: w.HomeLife,
		RegistryStamp:   w.Stamp,
		SessionsStamp:   w.Sessions,
		CoreMember:      w.Core,
		FullState:       w.Whole,
	}
}

// wirePush is the wire type of dissemination.Push. A comment on a field names the field of the message if the names
// differ.
type wirePush struct {
	Life     uint64 // Incarnation
	View     *replication.View
	Eligible []replication.Member
	InTouch  bool
	Complete bool
	Fleet    int // FleetSize

	FromStamp, Stamp uint64
	Instances        []wireUpdate
	Digest           uint64
	Whole            bool     // FullState
	Heard            []string // HeartbeatsReceived

	Version     uint64
	FromVersion uint64
	Orders      [][]byte
	Snapshot    []byte

	SessionsStamp uint64
	Nodes         []wireRouter // Routers
}

func toWirePush(m dissemination.Push) wirePush {
	return wirePush{
		Life:          m.Incarnation,
		View:          m.View,
		Eligible:      m.Eligible,
		InTouch:       m.InTouch,
		Complete:      m.Complete,
		Fleet:         m.FleetSize,
		FromStamp:     m.FromStamp,
		Stamp:         m.Stamp,
		Instances:     toWireUpdates(m.Instances),
		Digest:        m.Digest,
		Whole:         m.FullState,
		Heard:         m.HeartbeatsReceived,
		Version:       m.Version,
		FromVersion:   m.FromVersion,
		Orders:        m.Orders,
		Snapshot:      m.Snapshot,
		SessionsStamp: m.SessionsStamp,
		Nodes:         toWireRouters(m.Routers),
	}
}

func (w wirePush) message() dissemination.Push {
	return dissemination.Push{
		Incarnation:        w.Life,
		View:               w.View,
		Eligible:           w.Eligible,
		InTouch:            w.InTouch,
		Complete:           w.Complete,
		FleetSize:          w.Fleet,
		FromStamp:          w.FromStamp,
		Stamp:              w.Stamp,
		Instances:          fromWireUpdates(w.Instances),
		Digest:             w.Digest,
		FullState:          w.Whole,
		HeartbeatsReceived: w.Heard,
		Version:            w.Version,
		FromVersion:        w.FromVersion,
		Orders:             w.Orders,
		Snapshot:           w.Snapshot,
		SessionsStamp:      w.SessionsStamp,
		Routers:            fromWireRouters(w.Nodes),
	}
}

// wireForwardedHeartbeat is the wire type of dissemination.ForwardedHeartbeat.
type wireForwardedHeartbeat struct {
	Request  uint64
	Instance wireInstance
}

// wireDrain is the wire type of dissemination.Drain.
type wireDrain struct {
	Request  uint64
	Instance wireInstance
}

// wireQuotaRequest is the wire type of dissemination.QuotaRequest. A comment on a field names the field of the message if
// the names differ.
type wireQuotaRequest struct {
	Nonce  uint64
	Life   uint64 // Incarnation
	Demand map[string]float64
	Held   map[string]float64 // HeldShares
}

func toWireQuotaRequest(m dissemination.QuotaRequest) wireQuotaRequest {
	return wireQuotaRequest{Nonce: m.Nonce, Life: m.Incarnation, Demand: m.Demand, Held: m.HeldShares}
}

func (w wireQuotaRequest) message() dissemination.QuotaRequest {
	return dissemination.QuotaRequest{Nonce: w.Nonce, Incarnation: w.Life, Demand: w.Demand, HeldShares: w.Held}
}
