package replica

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/share"
)

const (
	// ElectionTicks is the shortest election time-out, in ticks: a follower without contact to a leader campaigns after ElectionTicks
	// to twice as many, drawn again each time.
	ElectionTicks  = 10
	heartbeatTicks = 1

	defaultSnapshotEvery  = 20_000
	defaultCatchUpEntries = 5_000

	// The bounds of raft's messages, in bytes, and of messages in flight to one peer.
	maxMessageSize      = 1 << 20
	maxCommittedSize    = 4 << 20
	maxUncommittedSize  = 64 << 20
	maxInflightMessages = 64
)

// Options are the settings of a replica.
type Options struct {
	ID          uint64
	Incarnation string // of the replica's disk
	// Rand returns a random number from 0 to n-1.
	Rand           func(n int) int
	SnapshotEvery  uint64 // applied entries between two snapshots; 0: 20,000
	CatchUpEntries uint64 // entries that stay in the log behind a snapshot, for followers that are a little behind; 0: 5,000
}

// Core is one replica. It belongs to one goroutine.
type Core struct {
	Options
	node    *raft.RawNode
	storage *raft.MemoryStorage

	state           stateMachine
	changedServices ChangedServices
	membership      membership
	applied         uint64 // the index of the last entry that is applied
	snapshotIndex   uint64 // that of the last snapshot

	leadership leadership
	election   electionTimer
	pending    pendingRequests
}

// leadership is what a replica knows of who leads, and what it keeps for its own term as the leader.
type leadership struct {
	term     uint64 // of the last hard state
	leader   uint64 // 0: none is known
	isLeader bool   // this replica; it may not have applied all entries of earlier terms yet
	// lessor is nil unless this replica leads and has applied an entry of its own term.
	lessor *lease.Lessor
	// allocators are present when lessor is.
	allocators *share.Allocators
}

// ready reports whether this replica leads and has applied everything that was committed before its term.
func (l *leadership) ready() bool { return l.lessor != nil }

// stopServing ends what a leader keeps for its term.
func (l *leadership) stopServing() { l.lessor, l.allocators = nil, nil }

// electionTimer counts ticks since the last contact with a leader.
type electionTimer struct {
	ticks   int
	timeout int
}

// resetElectionTimer restarts the wait for a leader's message, with another time-out.
func (c *Core) resetElectionTimer() {
	c.election = electionTimer{timeout: ElectionTicks + c.Rand(ElectionTicks)}
}

// PersistedState is what a replica's disk holds, and in a Ready what is to be added to it.
type PersistedState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot // nil: none; a replica that is to be added to a group begins with nothing
	Entries   []*pb.Entry
}

// InitialState is what the disk of every replica of a new group begins with.
func InitialState(members []Member, state *lease.State) *PersistedState {
	conf := &pb.ConfState{}
	for _, m := range members {
		conf.Voters = append(conf.Voters, m.ID)
	}
	slices.Sort(conf.Voters)
	initial := newStateMachine()
	initial.leases = state
	return &PersistedState{
		HardState: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)},
		Snapshot: &pb.Snapshot{Data: initial.encode(members),
			Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}},
	}
}

// New makes a replica from what its disk holds.
func New(o Options, persisted *PersistedState) (*Core, error) {
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	if o.CatchUpEntries == 0 {
		o.CatchUpEntries = defaultCatchUpEntries
	}
	c := &Core{Options: o, storage: raft.NewMemoryStorage(), state: newStateMachine(), membership: membership{members: map[uint64]Member{}},
		pending: pendingRequests{proposals: map[uint64]func(Response){}}}
	if err := c.load(persisted); err != nil {
		return nil, err
	}
	var err error
	c.node, err = raft.NewRawNode(&raft.Config{
		ID: o.ID, ElectionTick: ElectionTicks, HeartbeatTick: heartbeatTicks, Storage: c.storage, Applied: c.applied,
		MaxSizePerMsg: maxMessageSize, MaxCommittedSizePerReady: maxCommittedSize, MaxUncommittedEntriesSize: maxUncommittedSize,
		MaxInflightMsgs: maxInflightMessages,
		CheckQuorum:     true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	})
	if err != nil {
		return nil, fmt.Errorf("start of replica %d: %w", o.ID, err)
	}
	c.resetElectionTimer()
	return c, nil
}

// load fills the storage with what the disk holds, and restores the state of the snapshot.
func (c *Core) load(persisted *PersistedState) error {
	if persisted.Snapshot != nil {
		if err := c.storage.ApplySnapshot(persisted.Snapshot); err != nil {
			return fmt.Errorf("load of the snapshot: %w", err)
		}
		if err := c.restore(persisted.Snapshot); err != nil {
			return err
		}
	}
	if persisted.HardState != nil {
		hard := proto.Clone(persisted.HardState).(*pb.HardState)
		if hard.GetCommit() < c.applied { // a commit index alone is not written at once, and a snapshot is of what was committed
			hard.Commit = proto.Uint64(c.applied)
		}
		if err := c.storage.SetHardState(hard); err != nil {
			return fmt.Errorf("load of the hard state: %w", err)
		}
		c.leadership.term = hard.GetTerm()
	}
	if err := c.storage.Append(persisted.Entries); err != nil {
		return fmt.Errorf("load of the log: %w", err)
	}
	return nil
}

// Tick advances the time by one tick; now is the reading of the owner's steady clock. A leader proposes the commands whose time has come by its clock; a follower campaigns at its
// election time-out.
func (c *Core) Tick(now lease.Instant) {
	if c.membership.ticksSinceRemoval > 0 {
		c.membership.ticksSinceRemoval++
	}
	if c.leadership.isLeader {
		c.node.Tick()
		c.proposeTimed(now)
	} else {
		c.node.TickQuiesced()
		if c.election.ticks++; c.election.ticks >= c.election.timeout {
			c.resetElectionTimer()
			_ = c.node.Campaign() // one that may not campaign, as a learner, stays a follower; the next time-out tries again
		}
	}
	c.pending.expireRead(c.leadership.leader)
}

// proposeTimed proposes what the leader's clock says is over, and the promotion of a learner that has caught up.
func (c *Core) proposeTimed(now lease.Instant) {
	if !c.leadership.ready() {
		return
	}
	for _, cmd := range c.leadership.lessor.ExpiryCommands(now) {
		if c.propose(entry{Lease: &cmd}) != nil {
			return // the lessor gives the command again
		}
	}
	c.promoteLearner()
}

func (c *Core) propose(e entry) error {
	data, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("proposal: %w", err)
	}
	return c.node.Propose(data)
}

// Step processes a message of a peer, which CheckReceiver and CheckSender have admitted. What is of no use in the present state is
// dropped.
func (c *Core) Step(m *pb.Message) {
	switch m.GetType() {
	case pb.MessageType_MsgApp, pb.MessageType_MsgHeartbeat, pb.MessageType_MsgSnap:
		if m.GetTerm() >= c.leadership.term {
			c.resetElectionTimer()
		}
	}
	_ = c.node.Step(m) // an error says that the message is of no use here; raft sends again what matters
}

// ReportUnreachable reports that a message to a peer was not delivered.
func (c *Core) ReportUnreachable(id uint64) { c.node.ReportUnreachable(id) }

// ReportSnapshot reports whether a snapshot was delivered to a peer. Until then the peer gets no entries.
func (c *Core) ReportSnapshot(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	c.node.ReportSnapshot(id, status)
}

// Ready is what the owner has to do next, in this order: persist PersistedState (durably, if Sync), send Messages, call Core.Advance.
type Ready struct {
	PersistedState
	Sync     bool
	Messages []*pb.Message
	raft     raft.Ready
}

// Ready returns what is to be done; ok is false when there is nothing. Each Ready is followed by one Advance before the next.
func (c *Core) Ready() (ready Ready, ok bool) {
	c.confirmReads()
	if !c.node.HasReady() {
		return ready, false
	}
	rd := c.node.Ready()
	ready = Ready{raft: rd, Messages: rd.Messages, Sync: rd.MustSync}
	ready.HardState, ready.Entries = rd.HardState, rd.Entries
	if !raft.IsEmptySnap(rd.Snapshot) {
		ready.Snapshot, ready.Sync = rd.Snapshot, true
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		_ = c.storage.SetHardState(rd.HardState) // raft.MemoryStorage returns no error
		c.leadership.term = rd.GetTerm()
	}
	return ready, true
}

// Advance says that a Ready was carried out: what is committed is applied, and requests are answered. When a snapshot is due it is
// returned: the owner has to persist it, and may then delete the entries up to and including the index compact. After an error, which
// says that the log or a snapshot is not what raft or this package has written, the replica has to end.
func (c *Core) Advance(ready Ready, now lease.Instant) (snapshot *pb.Snapshot, compact uint64, err error) {
	rd := ready.raft
	if ready.Snapshot != nil {
		if err := c.storage.ApplySnapshot(ready.Snapshot); err != nil {
			return nil, 0, fmt.Errorf("snapshot of the leader: %w", err)
		}
		if err := c.restore(ready.Snapshot); err != nil {
			return nil, 0, err
		}
	}
	if err := c.storage.Append(rd.Entries); err != nil {
		return nil, 0, fmt.Errorf("append to the log: %w", err)
	}
	if rd.SoftState != nil {
		c.applySoftState(rd.SoftState)
	}
	for _, e := range rd.CommittedEntries {
		if err := c.apply(e, now); err != nil {
			return nil, 0, fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
	}
	for _, r := range rd.ReadStates {
		c.pending.confirmRead(string(r.RequestCtx), r.Index)
	}
	c.node.Advance(rd)
	c.answerReads(now)
	if c.applied-c.snapshotIndex < c.SnapshotEvery && !c.membership.snapshotDue {
		return nil, 0, nil
	}
	return c.createSnapshot()
}

// applySoftState records who leads. A replica whose own leadership begins or ends answers all pending requests.
func (c *Core) applySoftState(s *raft.SoftState) {
	isLeader := s.RaftState == raft.StateLeader
	if s.Lead != c.leadership.leader && s.Lead != 0 {
		c.resetElectionTimer()
	}
	c.leadership.leader = s.Lead
	if isLeader == c.leadership.isLeader {
		return
	}
	c.leadership.isLeader = isLeader
	c.leadership.stopServing()
	c.membership.changePending = false
	c.pending.failAll(ErrLeaderChanged, c.leadership.leader)
}

// createSnapshot makes a snapshot of what is applied.
func (c *Core) createSnapshot() (snapshot *pb.Snapshot, compact uint64, err error) {
	snapshot, err = c.storage.CreateSnapshot(c.applied, c.membership.conf, c.state.encode(c.Members()))
	if err != nil {
		return nil, 0, fmt.Errorf("snapshot at %d: %w", c.applied, err)
	}
	c.snapshotIndex, c.membership.snapshotDue = c.applied, false
	if first, _ := c.storage.FirstIndex(); c.applied > c.CatchUpEntries+first {
		compact = c.applied - c.CatchUpEntries
		if err = c.storage.Compact(compact); err != nil {
			err = fmt.Errorf("compaction of the log at %d: %w", compact, err)
		}
	}
	return snapshot, compact, err
}

// IsLeader reports whether this replica is the log's leader. It may not have applied all entries of earlier terms yet.
func (c *Core) IsLeader() bool { return c.leadership.isLeader }

// Versions returns the newest configuration versions that this replica has applied. The register is the core's own: it is only to be
// read, by the goroutine that owns the core.
func (c *Core) Versions() *distribute.Register { return c.state.versions }

// ChangedServices says which services have got a newer configuration version.
type ChangedServices struct {
	All   bool // any may have: a snapshot was restored
	Names []string
}

// TakeChangedServices returns the services that have changed since the last call.
func (c *Core) TakeChangedServices() ChangedServices {
	changed := c.changedServices
	c.changedServices = ChangedServices{}
	return changed
}

// Status is what a replica knows of itself, without asking others.
type Status struct {
	ID       uint64      `json:"ID"`
	Leader   uint64      `json:"Leader"`  // 0: none is known
	Term     uint64      `json:"Term"`    // of the log
	Applied  uint64      `json:"Applied"` // the index of the last entry that is applied
	Log      uint64      `json:"Log"`     // entries in the log, since the last compaction
	IsLeader bool        `json:"Leads"`   // this replica leads and has applied an entry of its own term
	Sessions int         `json:"Sessions"`
	Leases   int         `json:"Leases"`
	Token    lease.Token `json:"Token"` // the last one that was granted
	Members  []Member    `json:"Members"`
}

// Status returns what the replica knows of itself.
func (c *Core) Status() Status {
	s := Status{ID: c.ID, Leader: c.leadership.leader, Term: c.leadership.term, Applied: c.applied,
		IsLeader: c.leadership.isLeader && c.leadership.ready(), Members: c.Members()}
	first, _ := c.storage.FirstIndex() // raft.MemoryStorage returns no error
	last, _ := c.storage.LastIndex()
	s.Log = last + 1 - first
	s.Sessions, s.Leases, s.Token = c.state.leases.Counts()
	return s
}
