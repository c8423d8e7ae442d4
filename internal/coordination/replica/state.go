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

// entry is the data of one entry of the log: a command, or what became known of a member.
type entry struct {
	From    uint64              `json:"f,omitempty"` // the replica that proposed it; 0: no request waits for the outcome
	Number  uint64              `json:"n,omitempty"` // the number of the request at that replica
	Lease   *lease.Command      `json:"c,omitempty"`
	Rollout *rollout.Command    `json:"r,omitempty"`
	Limit   *share.Command      `json:"s,omitempty"`
	Publish *distribute.Command `json:"v,omitempty"`
	Member  *Member             `json:"m,omitempty"` // in a membership change the member, else its incarnation
}

// stateMachine is what the entries of the log make. Equal logs make equal states.
type stateMachine struct {
	leases   *lease.State
	rollouts *rollout.Register
	limits   *share.Register
	versions *distribute.Register
}

func newStateMachine() stateMachine {
	return stateMachine{leases: lease.NewState(), rollouts: rollout.NewRegister(), limits: share.NewRegister(), versions: distribute.NewRegister()}
}

// snapshotRecord is the form of a snapshot's data. A snapshot of an earlier version may lack the optional parts.
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
		panic(err) // every field was marshalled before
	}
	return data
}

// decodeSnapshot returns the state and the members of a snapshot's data.
func decodeSnapshot(data []byte) (s stateMachine, members []Member, err error) {
	var record snapshotRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return s, nil, err
	}
	if s.leases, err = lease.Restore(record.Lease); err != nil {
		return s, nil, err
	}
	if s.rollouts, err = rollout.RestoreRegister(record.Rollouts); err != nil {
		return s, nil, err
	}
	if s.limits, err = share.RestoreRegister(record.Limits); err != nil {
		return s, nil, err
	}
	if s.versions, err = distribute.RestoreRegister(record.Versions); err != nil {
		return s, nil, err
	}
	return s, record.Members, nil
}

// restore replaces the state by that of a snapshot.
func (c *Core) restore(s *pb.Snapshot) error {
	state, members, err := decodeSnapshot(s.Data)
	if err != nil {
		return fmt.Errorf("snapshot at %d: %w", s.Metadata.GetIndex(), err)
	}
	c.state, c.changedServices = state, ChangedServices{All: true}
	c.leadership.stopServing()
	c.membership.members = map[uint64]Member{}
	for _, m := range members {
		c.membership.members[m.ID] = m
	}
	if _, member := c.membership.members[c.ID]; !member { // it was removed, and has been started again
		c.membership.ticksSinceRemoval = 1
	}
	c.membership.conf = s.Metadata.ConfState
	c.applied, c.snapshotIndex = s.Metadata.GetIndex(), s.Metadata.GetIndex()
	return nil
}

// apply carries out a committed entry, and answers its request where this replica proposed it in the same term.
func (c *Core) apply(e *pb.Entry, now lease.Instant) error {
	c.applied = e.GetIndex()
	data := e.Data
	var change *pb.ConfChange
	if e.GetType() == pb.EntryType_EntryConfChange {
		change = &pb.ConfChange{}
		if err := proto.Unmarshal(e.Data, change); err != nil {
			return err
		}
		c.membership.conf = c.node.ApplyConfChange(change)
		c.membership.changePending, c.membership.snapshotDue = false, true
		data = change.Context
	}
	var in entry
	if len(data) > 0 {
		if err := json.Unmarshal(data, &in); err != nil {
			return err
		}
	}
	var r Response
	switch {
	case change != nil:
		c.applyMembershipChange(change, in.Member)
	case in.Member != nil:
		c.membership.setIncarnation(*in.Member)
	default:
		c.applyCommand(in, &r, now)
	}
	c.beginLeadership(e.GetTerm(), now)
	if done := c.pending.proposals[in.Number]; in.From == c.ID && done != nil && e.GetTerm() == c.leadership.term {
		delete(c.pending.proposals, in.Number)
		r.Members = c.Members()
		done(r)
	}
	return nil
}

// applyCommand applies the one command of an entry, if it has one, and sets what the response says of it.
func (c *Core) applyCommand(in entry, r *Response, now lease.Instant) {
	switch {
	case in.Rollout != nil:
		r.Rollout = c.state.rollouts.Apply(*in.Rollout)
	case in.Limit != nil:
		if r.LimitErr = c.state.limits.Apply(*in.Limit); r.LimitErr == nil && c.leadership.ready() {
			c.leadership.allocators.Applied(*in.Limit, now)
		}
	case in.Publish != nil:
		before := c.state.versions.Last()
		if r.Published = c.state.versions.Apply(*in.Publish); c.state.versions.Last() != before {
			c.changedServices.Names = append(c.changedServices.Names, in.Publish.Service)
		}
	case in.Lease != nil:
		r.Answer = c.state.leases.Apply(*in.Lease)
		if c.leadership.ready() {
			c.leadership.lessor.Applied(*in.Lease, r.Answer, now)
		}
	}
}

// beginLeadership starts the lessor and the allocators once a leader has applied an entry of its own term: by then it has applied all
// entries of earlier terms.
func (c *Core) beginLeadership(entryTerm uint64, now lease.Instant) {
	if c.leadership.isLeader && !c.leadership.ready() && entryTerm == c.leadership.term {
		c.leadership.lessor = lease.NewLessor(c.state.leases, now)
		c.leadership.allocators = share.NewAllocators(c.state.limits, c.leadership.term, now)
	}
}
