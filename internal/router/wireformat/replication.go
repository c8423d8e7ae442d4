package wireformat

import "petrelhook/internal/router/replication"

// wirePreVoteReply is replication.PreVoteReply as it is sent.
type wirePreVoteReply struct {
	Voters   []string
	Accepted replication.View
	Hears    bool // LeaderContact
}

func toWirePreVoteReply(m replication.PreVoteReply) wirePreVoteReply {
	return wirePreVoteReply{Voters: m.Voters, Accepted: m.Accepted, Hears: m.LeaderContact}
}

func (w wirePreVoteReply) message() replication.PreVoteReply {
	return replication.PreVoteReply{Voters: w.Voters, Accepted: w.Accepted, LeaderContact: w.Hears}
}

// wireHeartbeat is replication.Heartbeat as it is sent.
type wireHeartbeat struct {
	Epoch     replication.Epoch
	View      *replication.View
	Beat      uint64 // Number
	Committed uint64
}

func toWireHeartbeat(m replication.Heartbeat) wireHeartbeat {
	return wireHeartbeat{Epoch: m.Epoch, View: m.View, Beat: m.Number, Committed: m.Committed}
}

func (w wireHeartbeat) message() replication.Heartbeat {
	return replication.Heartbeat{Epoch: w.Epoch, View: w.View, Number: w.Beat, Committed: w.Committed}
}

// wireHeartbeatAck is replication.HeartbeatAck as it is sent.
type wireHeartbeatAck struct {
	Epoch     replication.Epoch
	Beat      uint64 // Number
	From      replication.Member
	Promised  replication.Epoch
	Known     replication.Epoch // KnownEpoch
	DiskFails bool
	Disk      bool // HasDisk
	Position  replication.Position
	Leaving   bool
}

func toWireHeartbeatAck(m replication.HeartbeatAck) wireHeartbeatAck {
	return wireHeartbeatAck{
		Epoch:     m.Epoch,
		Beat:      m.Number,
		From:      m.From,
		Promised:  m.Promised,
		Known:     m.KnownEpoch,
		DiskFails: m.DiskFails,
		Disk:      m.HasDisk,
		Position:  m.Position,
		Leaving:   m.Leaving,
	}
}

func (w wireHeartbeatAck) message() replication.HeartbeatAck {
	return replication.HeartbeatAck{
		Epoch:      w.Epoch,
		Number:     w.Beat,
		From:       w.From,
		Promised:   w.Promised,
		KnownEpoch: w.Known,
		DiskFails:  w.DiskFails,
		HasDisk:    w.Disk,
		Position:   w.Position,
		Leaving:    w.Leaving,
	}
}
