package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Member is a replica of the group.
type Member struct {
	ID          uint64 `json:"id"`
	Addr        string `json:"addr"`
	Incarnation string `json:"life,omitempty"` // of its disk; "": not known yet
	Learner     bool   `json:"learner,omitempty"`
}

// caughtUp reports whether a learner has nearly all of the log.
func (c *Core) caughtUp(id uint64) bool {
	s := c.raw.Status()
	p, ok := s.Progress[id]
	return ok && p.Match > 0 && p.Match+100 >= s.GetCommit()
}

// change proposes a change of the members, one at a time.
func (c *Core) change(m Member, kind pb.ConfChangeType) (number uint64, err error) {
	if c.changing || c.clock == nil {
		return 0, ErrMembershipChangePending
	}
	c.number++
	text, err := json.Marshal(entry{From: c.ID, Number: c.number, Member: &m})
	if err != nil {
		return 0, err
	}
	err = c.raw.ProposeConfChange(&pb.ConfChange{Type: kind.Enum(), NodeId: proto.Uint64(m.ID), Context: text})
	c.changing = err == nil
	return c.number, err
}

// RecordIncarnation tells of the disk of a member, as it said itself. It is kept in the log: another disk under the same id is refused.
func (c *Core) RecordIncarnation(id uint64, life string) {
	if m, ok := c.members[id]; ok && m.Incarnation == "" && c.leads && c.clock != nil {
		m.Incarnation = life
		c.propose(entry{Member: &m})
	}
}

// ErrLostDisk says that a replica's disk is another than the one whose votes and entries the group counts on.
var ErrLostDisk = errors.New("it has lost its disk, and may not come back under its id: remove it, and add it with an id that was never used")

// ErrRemoved says that a replica is none of the group.
var ErrRemoved = errors.New("it is none of this group: it was removed, or is not added yet")

// farewell is for how many ticks a removed replica stays: who asked for its end has his answer by then.
const farewell = 2 * ElectionTicks

// RemovedErr says why this replica has to end; nil: it goes on.
func (c *Core) RemovedErr() error {
	if c.removed > farewell {
		return fmt.Errorf("replica %d: %w", c.ID, ErrRemoved)
	}
	return nil
}

// CheckReceiver says why this replica has to end that is sent messages for a disk of another life: what they rest on is not here.
func (c *Core) CheckReceiver(life string) error {
	if life != "" && life != c.Options.Incarnation {
		return fmt.Errorf("replica %d: %w", c.ID, ErrLostDisk)
	}
	return nil
}

// IncarnationOf is that of a member's disk, as the log has it; "": it is not known.
func (c *Core) IncarnationOf(id uint64) string { return c.members[id].Incarnation }

// CheckSender says why nothing is to be taken from a replica whose disk has a life: it is another disk than the log knows, or the group
// has removed it. A leader keeps in the log what it hears first.
func (c *Core) CheckSender(id uint64, life string) error {
	m, member := c.members[id]
	switch {
	case member && m.Incarnation != "" && m.Incarnation != life:
		return fmt.Errorf("replica %d: %w", id, ErrLostDisk)
	case !member && c.leads && c.clock != nil:
		return fmt.Errorf("replica %d: %w", id, ErrRemoved)
	}
	c.RecordIncarnation(id, life)
	return nil
}

// Members are the replicas, in order.
func (c *Core) Members() (all []Member) {
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		all = append(all, c.members[id])
	}
	return all
}
