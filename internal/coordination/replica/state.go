package replica

import (
	"encoding/json"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/share"
)

// entry is the data of one log entry: a command, a membership change or the incarnation of a member's disk.
type entry struct {
	Proposer       uint64              `json:"f,omitempty"` // the replica that proposed it; 0: no request waits for the result
	ProposalNumber uint64              `json:"n,omitempty"` // the number of the proposal at that replica
	Lease          *lease.Command      `json:"c,omitempty"`
	Rollout        *rollout.Command    `json:"r,omitempty"`
	Limit          *share.Command      `json:"s,omitempty"`
	Publish        *distribute.Command `json:"v,omitempty"`
	Member         *Member             `json:"m,omitempty"` // in a membership change the member; else a member with its incarnation
}

// stateMachine is the state that results from applying the log. Equal logs result in equal states.
type stateMachine struct {
	leases   *lease.State
	rollouts *rollout.Register
	limits   *share.Register
	versions *distribute.Register
}

func newStateMachine() stateMachine {
	return stateMachine{leases: lease.NewState(), rollouts: rollout.NewRegister(), limits: share.NewRegister(), versions: distribute.NewRegister()}
}

// snapshotRecord is the JSON form of a snapshot's data. A snapshot of an earlier version may lack the optional parts.
type snapshotRecord struct {
	Members  []Member        `json:"members"`
	Lease    json.RawMessage `json:"lease"`
	Rollouts json.RawMessage `json:"rollouts,omitempty"`
	Limits   json.RawMessage `json:"limits,omitempty"`
	Versions json.RawMessage `json:"versions,omitempty"`
}

// encode returns the data of a snapshot.
func (s *stateMachine) encode(members []Member) []byte {
	record := snapshotRecord{Members: members, Lease: s.leases.Snapshot(), Limits: s.limits.Snapshot(), Versions: s.versions.Snapshot()}
	if len(s.rollouts.Applications()) > 0 {
		record.Rollouts = s.rollouts.Snapshot()
	}
	data, err := json.Marshal(record)
	if err != nil {
		panic(err) // not reached: the fields are JSON already, or of types that always marshal
	}
	return data
}

// decodeSnapshot returns the state and the members that a snapshot's data holds.
func decodeSnapshot(data []byte) (state stateMachine, members []Member, err error) {
	var record snapshotRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return state, nil, err
	}
	if state.leases, err = lease.Restore(record.Lease); err != nil {
		return state, nil, err
	}
	if state.rollouts, err = rollout.RestoreRegister(record.Rollouts); err != nil {
		return state, nil, err
	}
	if state.limits, err = share.RestoreRegister(record.Limits); err != nil {
		return state, nil, err
	}
	if state.versions, err = distribute.RestoreRegister(record.Versions); err != nil {
		return state, nil, err
	}
	return state, record.Members, nil
}

// restore replaces the state and the members by those of a snapshot.
func (c *Core) restore(snapshot *pb.Snapshot) error {
	state, members, err := decodeSnapshot(snapshot.Data)
	if err != nil {
		return fmt.Errorf("restoring the snapshot at index %d: %w", snapshot.Metadata.GetIndex(), err)
	}
	c.state, c.changedServices = state, ChangedServices{All: true}
	c.leadership.stopServing()
	c.membership.members = map[uint64]Member{}
	for _, m := range members {
		c.membership.members[m.ID] = m
	}
	if _, member := c.membership.members[c.ID]; !member { // this replica was removed, and has been started again
		c.membership.ticksSinceRemoval = 1
	}
	c.membership.confState = snapshot.Metadata.ConfState
	c.applied, c.snapshotIndex = snapshot.Metadata.GetIndex(), snapshot.Metadata.GetIndex()
	return nil
}

// apply applies a committed entry, and answers its request if this replica proposed the entry in its current term as the leader.
func (c *Core) apply(e *pb.Entry, now lease.Instant) error {
	c.applied = e.GetIndex()
	data := e.Data
	var change *pb.ConfChange
	if e.GetType() == pb.EntryType_EntryConfChange {
		change = &pb.ConfChange{}
		if err := proto.Unmarshal(e.Data, change); err != nil {
			return err
		}
		c.membership.confState = c.node.ApplyConfChange(change)
		c.membership.changePending, c.membership.snapshotDue = false, true
		data = change.Context
	}
	var decoded entry
	if len(data) > 0 {
		if err := json.Unmarshal(data, &decoded); err != nil {
			return err
		}
	}
	var response Response
	switch {
	case change != nil:
		c.applyMembershipChange(change, decoded.Member)
	case decoded.Member != nil:
		c.membership.setIncarnation(*decoded.Member)
	default:
		c.applyCommand(decoded, &response, now)
	}
	c.beginLeadership(e.GetTerm(), now)
	if done := c.pending.proposals[decoded.ProposalNumber]; decoded.Proposer == c.ID && done != nil && e.GetTerm() == c.leadership.term {
		delete(c.pending.proposals, decoded.ProposalNumber)
		response.Members = c.Members()
		done(response)
	}
	return nil
}

// applyCommand applies the command of an entry, if it has one, and sets its result in response.
func (c *Core) applyCommand(e entry, response *Response, now lease.Instant) {
	switch {
	case e.Rollout != nil:
		response.Rollout = c.state.rollouts.Apply(*e.Rollout)
	case e.Limit != nil:
		if response.LimitErr = c.state.limits.Apply(*e.Limit); response.LimitErr == nil && c.leadership.ready() {
			c.leadership.allocators.Applied(*e.Limit, now)
		}
	case e.Publish != nil:
		before := c.state.versions.Last()
		if response.Published = c.state.versions.Apply(*e.Publish); c.state.versions.Last() != before {
			c.changedServices.Names = append(c.changedServices.Names, e.Publish.Service)
		}
	case e.Lease != nil:
		response.Answer = c.state.leases.Apply(*e.Lease)
		if c.leadership.ready() {
			c.leadership.lessor.Applied(*e.Lease, response.Answer, now)
		}
	}
}

// beginLeadership starts the lessor and the allocators once a leader has applied an entry of its own term. By then it has applied
// all committed entries of earlier terms.
func (c *Core) beginLeadership(entryTerm uint64, now lease.Instant) {
	if c.leadership.isLeader && !c.leadership.ready() && entryTerm == c.leadership.term {
		c.leadership.lessor = lease.NewLessor(c.state.leases, now)
		c.leadership.allocators = share.NewAllocators(c.state.limits, c.leadership.term, now)
	}
}
