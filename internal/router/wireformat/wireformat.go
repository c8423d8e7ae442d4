// Package wireformat defines the encoding in which routers send messages to one another and keep the list of servers on
// disk: encoding/gob, with names that never change.
//
// Routers of several versions work in one fleet. gob identifies a message by the name under which its type is
// registered, and a field by its Go name; it silently ignores a field that the reader does not have. So each message is
// registered under a fixed name, independent of the current name of its Go type. A type whose fields were renamed since
// they were first sent has a wire type here, which keeps the field names that are sent, and conversions in both
// directions. All other messages are sent as they are.
//
// To rename a field of a message, give the message a wire type. To add a field, add it to the message and to its wire
// type; older routers ignore it. A field or message can only be removed in a release in which no router depends on it
// any more. The tests compare every message with bytes and with a schema that were recorded from an earlier version.
package wireformat

import (
	"encoding/gob"
	"sync"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/replication"
)

// Name prefixes under which messages are registered. They are the paths that the packages had when the messages were
// first sent.
const (
	disseminationPrefix = "petrelhook/internal/router/dissemination."
	replicationPrefix   = "petrelhook/internal/router/replication."
)

// registered maps the name under which each message is sent to a value of its wire type.
var registered = map[string]any{
	disseminationPrefix + "Session":            wireSubscriptionHeartbeat{},
	disseminationPrefix + "Push":               wirePush{},
	disseminationPrefix + "Used":               dissemination.PrefixReport{},
	disseminationPrefix + "UnderWay":           dissemination.LoadReport{},
	disseminationPrefix + "Outcomes":           dissemination.OutcomeReport{},
	disseminationPrefix + "OutcomeSums":        dissemination.OutcomeSums{},
	disseminationPrefix + "Ejections":          dissemination.Ejections{},
	disseminationPrefix + "Admit":              dissemination.Readmit{},
	disseminationPrefix + "ForwardedHeartbeat": wireForwardedHeartbeat{},
	disseminationPrefix + "HeartbeatAck":       dissemination.ForwardedHeartbeatAck{},
	disseminationPrefix + "Drain":              wireDrain{},
	disseminationPrefix + "DrainAck":           dissemination.DrainAck{},
	disseminationPrefix + "QuotaAsk":           wireQuotaRequest{},
	disseminationPrefix + "QuotaGrant":         dissemination.QuotaGrant{},
	disseminationPrefix + "QuotaAcquire":       dissemination.QuotaAcquire{},
	disseminationPrefix + "QuotaAcquired":      dissemination.QuotaAcquired{},
	disseminationPrefix + "PoolOffer":          dissemination.PoolOffer{},
	disseminationPrefix + "PoolCollect":        dissemination.PoolCollect{},
	disseminationPrefix + "PoolDeposit":        dissemination.PoolDeposit{},
	disseminationPrefix + "PoolTake":           dissemination.PoolAcquire{},
	disseminationPrefix + "PoolTaken":          dissemination.PoolAcquired{},

	replicationPrefix + "PreVote":        replication.PreVote{},
	replicationPrefix + "PreVoteReply":   wirePreVoteReply{},
	replicationPrefix + "Prepare":        replication.Prepare{},
	replicationPrefix + "Promise":        replication.Promise{},
	replicationPrefix + "Sync":           replication.Sync{},
	replicationPrefix + "Synced":         replication.Synced{},
	replicationPrefix + "Accept":         replication.Accept{},
	replicationPrefix + "Accepted":       replication.Accepted{},
	replicationPrefix + "Replicate":      replication.Replicate{},
	replicationPrefix + "Replicated":     replication.Replicated{},
	replicationPrefix + "Heartbeat":      wireHeartbeat{},
	replicationPrefix + "HeartbeatAck":   wireHeartbeatAck{},
	replicationPrefix + "TakeOver":       replication.TransferLeadership{},
	replicationPrefix + "SnapshotPiece":  replication.SnapshotChunk{},
	replicationPrefix + "MissingEntries": replication.MissingEntries{},
	replicationPrefix + "LearnerAck":     replication.LearnerAck{},
}

// register registers all messages with gob. It runs once, because gob's table is global to the process.
var register = sync.OnceFunc(func() {
	for name, message := range registered {
		gob.RegisterName(name, message)
	}
})

// Codec converts messages to the values that are sent, and back. It has no state and may be used from any goroutine.
type Codec struct{}

// NewCodec registers all messages with gob, so that they can be encoded and decoded, and returns a Codec.
func NewCodec() Codec {
	register()
	return Codec{}
}

// ToWire returns the value that is sent for a message. It may share memory with the message.
func (Codec) ToWire(message any) any {
	switch m := message.(type) {
	case dissemination.SubscriptionHeartbeat:
		return toWireSubscriptionHeartbeat(m)
	case dissemination.Push:
		return toWirePush(m)
	case dissemination.ForwardedHeartbeat:
		return wireForwardedHeartbeat{Request: m.Request, Instance: toWireInstance(m.Instance)}
	case dissemination.Drain:
		return wireDrain{Request: m.Request, Instance: toWireInstance(m.Instance)}
	case dissemination.QuotaRequest:
		return toWireQuotaRequest(m)
	case replication.PreVoteReply:
		return toWirePreVoteReply(m)
	case replication.Heartbeat:
		return toWireHeartbeat(m)
	case replication.HeartbeatAck:
		return toWireHeartbeatAck(m)
	default:
		return message
	}
}

// FromWire returns the message for a value that was received. It may share memory with the value.
func (Codec) FromWire(value any) any {
	switch w := value.(type) {
	case wireSubscriptionHeartbeat:
		return w.message()
	case wirePush:
		return w.message()
	case wireForwardedHeartbeat:
		return dissemination.ForwardedHeartbeat{Request: w.Request, Instance: w.Instance.instance()}
	case wireDrain:
		return dissemination.Drain{Request: w.Request, Instance: w.Instance.instance()}
	case wireQuotaRequest:
		return w.message()
	case wirePreVoteReply:
		return w.message()
	case wireHeartbeat:
		return w.message()
	case wireHeartbeatAck:
		return w.message()
	default:
		return value
	}
}
