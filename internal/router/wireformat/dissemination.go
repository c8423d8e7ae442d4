package wireformat

import (
	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/membership"
	"petrelhook/internal/router/replication"
)

// wireProcess is membership.Process as it is sent.
type wireProcess struct {
	Address string
	Zone    string
	Life    uint64 // membership.Process.Incarnation
	Member  *replication.Member
}

func toWireProcess(p membership.Router) wireProcess {
	return wireProcess{Address: p.Address, Zone: p.Zone, Life: p.Incarnation, Member: p.Member}
}

func (w wireProcess) process() membership.Router {
	return membership.Router{Address: w.Address, Zone: w.Zone, Incarnation: w.Life, Member: w.Member}
}

func toWireProcesses(processes []membership.Router) []wireProcess {
	if processes == nil {
		return nil
	}
	wire := make([]wireProcess, 0, len(processes))
	for _, p := range processes {
		wire = append(wire, toWireProcess(p))
	}
	return wire
}

func fromWireProcesses(wire []wireProcess) []membership.Router {
	if wire == nil {
		return nil
	}
	processes := make([]membership.Router, 0, len(wire))
	for _, w := range wire {
		processes = append(processes, w.process())
	}
	return processes
}

// wireSubscriptionHeartbeat is dissemination.SubscriptionHeartbeat as it is sent.
type wireSubscriptionHeartbeat struct {
	Node      wireProcess
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
		Node:      toWireProcess(m.Router),
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
		Router:          w.Node.process(),
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

// wirePush is dissemination.Push as it is sent.
type wirePush struct {
	Life     uint64 // Incarnation
	View     *replication.View
	Eligible []replication.Member
	InTouch  bool
	Complete bool
	Fleet    int

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
	Nodes         []wireProcess
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
		Nodes:         toWireProcesses(m.Routers),
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
		Routers:            fromWireProcesses(w.Nodes),
	}
}

// wireForwardedHeartbeat is dissemination.ForwardedHeartbeat as it is sent.
type wireForwardedHeartbeat struct {
	Request  uint64
	Instance wireInstance
}

// wireDrain is dissemination.Drain as it is sent.
type wireDrain struct {
	Request  uint64
	Instance wireInstance
}

// wireQuotaRequest is dissemination.QuotaRequest as it is sent.
type wireQuotaRequest struct {
	Nonce  uint64
	Life   uint64 // Incarnation
	Demand map[string]float64
	Held   map[string]float64
}

func toWireQuotaRequest(m dissemination.QuotaRequest) wireQuotaRequest {
	return wireQuotaRequest{Nonce: m.Nonce, Life: m.Incarnation, Demand: m.Demand, Held: m.HeldShares}
}

func (w wireQuotaRequest) message() dissemination.QuotaRequest {
	return dissemination.QuotaRequest{Nonce: w.Nonce, Incarnation: w.Life, Demand: w.Demand, HeldShares: w.Held}
}
