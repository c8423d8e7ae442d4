package replica

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/share"
)

const (
	// ElectionTicks is after how many ticks without a leader's word a replica stands for election, at the soonest; twice as many
	// at the latest.
	ElectionTicks  = 10
	heartbeatTicks = 1
	// maxWaiting is how many questions wait at once.
	maxWaiting = 20_000
	// confirmTicks is for how long a majority's confirmation is waited for.
	confirmTicks = 2 * ElectionTicks
)

// entry is the data of one entry of the log.
type entry struct {
	From    uint64              `json:"f,omitempty"` // the replica that was asked
	Number  uint64              `json:"n,omitempty"` // its number for it
	Lease   *lease.Command      `json:"c,omitempty"`
	Rollout *rollout.Command    `json:"r,omitempty"`
	Limit   *share.Command      `json:"s,omitempty"`
	Publish *distribute.Command `json:"v,omitempty"`
	Member  *Member             `json:"m,omitempty"` // what became known of one
}

// image is the state of a snapshot.
type image struct {
	Members  []Member        `json:"members"`
	Lease    json.RawMessage `json:"lease"`
	Rollouts json.RawMessage `json:"rollouts,omitempty"` // a version before had none
	Limits   json.RawMessage `json:"limits,omitempty"`   // the same
	Versions json.RawMessage `json:"versions,omitempty"` // the same
}

// Options are the bounds of a replica.
type Options struct {
	ID             uint64
	Incarnation    string          // of its disk
	Rand           func(n int) int // below n
	SnapshotEvery  uint64          // entries; 0: 20,000
	CatchUpEntries uint64          // entries that stay in the log behind a snapshot; 0: 5,000
}

// Core is one replica.
type Core struct {
	Options
	raw      *raft.RawNode
	store    *raft.MemoryStorage
	state    *lease.State
	changes  *rollout.Register
	limits   *share.Register
	versions *distribute.Register
	changed  ChangedServices
	members  map[uint64]Member
	conf     *pb.ConfState
	applied  uint64
	saved    uint64 // the index of the last snapshot

	term    uint64 // of the last hard state
	leads   bool
	leader  uint64
	clock   *lease.Lessor     // while it leads and has applied what was before
	shares  *share.Allocators // as clock
	quiet   int               // ticks without a leader's word
	patient int               // how many it bears
	number  uint64

	changing bool // a change of the members is proposed
	fresh    bool // a snapshot is due: one of before a change is of no use to a replica that is added
	removed  int  // above 0: this replica is none of the group any more, for so many ticks
	waiting  map[uint64]func(Response)
	asked    []Request // for the next confirmation
	confirm  *confirmation
}

// PersistedState is what a disk holds of a replica.
type PersistedState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot // nil: none; a replica that is to be added begins with nothing
	Entries   []*pb.Entry
}

// InitialState is what the disks of all replicas of a new group begin with, each with the same.
func InitialState(members []Member, state *lease.State) *PersistedState {
	conf := &pb.ConfState{}
	for _, m := range members {
		conf.Voters = append(conf.Voters, m.ID)
	}
	slices.Sort(conf.Voters)
	return &PersistedState{
		HardState: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)},
		Snapshot:  &pb.Snapshot{Data: encode(members, state, rollout.NewRegister(), share.NewRegister(), distribute.NewRegister()), Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}},
	}
}

func encode(members []Member, state *lease.State, changes *rollout.Register, limits *share.Register, versions *distribute.Register) []byte {
	im := image{Members: members, Lease: state.Snapshot(), Limits: limits.Snapshot(), Versions: versions.Snapshot()}
	if len(changes.Applications()) > 0 {
		im.Rollouts = changes.Snapshot()
	}
	text, err := json.Marshal(im)
	if err != nil {
		panic(err) // no field can fail
	}
	return text
}

// New makes a replica from what its disk holds.
func New(o Options, k *PersistedState) (*Core, error) {
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = 20_000
	}
	if o.CatchUpEntries == 0 {
		o.CatchUpEntries = 5_000
	}
	c := &Core{Options: o, store: raft.NewMemoryStorage(), state: lease.NewState(), changes: rollout.NewRegister(), limits: share.NewRegister(),
		versions: distribute.NewRegister(), members: map[uint64]Member{}, waiting: map[uint64]func(Response){}}
	if k.Snapshot != nil {
		if err := c.store.ApplySnapshot(k.Snapshot); err != nil {
			return nil, err
		}
		if err := c.restore(k.Snapshot); err != nil {
			return nil, err
		}
	}
	if k.HardState != nil {
		hard := proto.Clone(k.HardState).(*pb.HardState)
		if hard.GetCommit() < c.applied { // a commit alone is not written at once, and a snapshot is of what was committed
			hard.Commit = proto.Uint64(c.applied)
		}
		c.store.SetHardState(hard)
		c.term = hard.GetTerm()
	}
	if err := c.store.Append(k.Entries); err != nil {
		return nil, err
	}
	var err error
	c.raw, err = raft.NewRawNode(&raft.Config{
		ID: o.ID, ElectionTick: ElectionTicks, HeartbeatTick: heartbeatTicks, Storage: c.store, Applied: c.applied,
		MaxSizePerMsg: 1 << 20, MaxCommittedSizePerReady: 4 << 20, MaxUncommittedEntriesSize: 64 << 20, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	})
	if err != nil {
		return nil, err
	}
	c.calm()
	return c, nil
}

// restore takes a snapshot in.
func (c *Core) restore(s *pb.Snapshot) error {
	var im image
	if err := json.Unmarshal(s.Data, &im); err != nil {
		return fmt.Errorf("snapshot at %d: %w", s.Metadata.GetIndex(), err)
	}
	state, err := lease.Restore(im.Lease)
	if err != nil {
		return fmt.Errorf("snapshot at %d: %w", s.Metadata.GetIndex(), err)
	}
	changes, err := rollout.RestoreRegister(im.Rollouts)
	if err != nil {
		return fmt.Errorf("snapshot at %d: %w", s.Metadata.GetIndex(), err)
	}
	limits, err := share.RestoreRegister(im.Limits)
	if err != nil {
		return err
	}
	versions, err := distribute.RestoreRegister(im.Versions)
	if err != nil {
		return fmt.Errorf("snapshot at %d: %w", s.Metadata.GetIndex(), err)
	}
	c.changes, c.limits, c.versions, c.changed = changes, limits, versions, ChangedServices{All: true}
	c.state, c.members, c.clock, c.shares = state, map[uint64]Member{}, nil, nil
	for _, m := range im.Members {
		c.members[m.ID] = m
	}
	if _, member := c.members[c.ID]; !member { // it had seen its end before it was started again
		c.removed = 1
	}
	c.conf = s.Metadata.ConfState
	c.applied, c.saved = s.Metadata.GetIndex(), s.Metadata.GetIndex()
	return nil
}

// calm begins to wait for a leader's word again.
func (c *Core) calm() { c.quiet, c.patient = 0, ElectionTicks+c.Rand(ElectionTicks) }

// Tick is a step of time. A leader proposes what is due by its clock.
func (c *Core) Tick(now lease.Instant) {
	if c.removed > 0 {
		c.removed++
	}
	if c.leads {
		c.raw.Tick()
		c.due(now)
	} else {
		c.raw.TickQuiesced()
		if c.quiet++; c.quiet >= c.patient {
			c.calm()
			c.raw.Campaign()
		}
	}
	if c.confirm != nil && c.confirm.index == 0 {
		if c.confirm.age++; c.confirm.age > confirmTicks {
			c.fail(c.confirm.asks, ErrNoLeader)
			c.confirm = nil
		}
	}
}

func (c *Core) due(now lease.Instant) {
	if c.clock == nil {
		return
	}
	for _, cmd := range c.clock.ExpiryCommands(now) {
		if c.propose(entry{Lease: &cmd}) != nil {
			return // it comes again
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		if m := c.members[id]; m.Learner && c.caughtUp(id) {
			c.change(m, pb.ConfChangeAddNode)
			return
		}
	}
}

func (c *Core) propose(e entry) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return c.raw.Propose(text)
}

// Step takes in a message of another replica.
func (c *Core) Step(m *pb.Message) {
	switch m.GetType() {
	case pb.MessageType_MsgApp, pb.MessageType_MsgHeartbeat, pb.MessageType_MsgSnap:
		if m.GetTerm() >= c.term {
			c.calm()
		}
	}
	c.raw.Step(m) // an error says that it is of no use here
}

// ReportUnreachable tells that a message to a replica did not get there.
func (c *Core) ReportUnreachable(id uint64) { c.raw.ReportUnreachable(id) }

// ReportSnapshot tells what became of a snapshot that was sent.
func (c *Core) ReportSnapshot(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	c.raw.ReportSnapshot(id, status)
}

// Ready is what is to be done now, in this order: keep Kept (durably, if Sync), send Messages, call Done.
type Ready struct {
	PersistedState
	Sync     bool
	Messages []*pb.Message
	ready    raft.Ready
}

// Ready is what is to be done, if anything is.
func (c *Core) Ready() (w Ready, ok bool) {
	if c.confirm == nil && len(c.asked) > 0 && c.clock != nil {
		c.number++
		c.confirm = &confirmation{number: c.number, asks: c.asked}
		c.asked = nil
		c.raw.ReadIndex(fmt.Appendf(nil, "%d", c.number))
	}
	if !c.raw.HasReady() {
		return w, false
	}
	rd := c.raw.Ready()
	w = Ready{ready: rd, Messages: rd.Messages, Sync: rd.MustSync}
	w.HardState, w.Entries = rd.HardState, rd.Entries
	if !raft.IsEmptySnap(rd.Snapshot) {
		w.Snapshot, w.Sync = rd.Snapshot, true
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		c.store.SetHardState(rd.HardState)
		c.term = rd.HardState.GetTerm()
	}
	return w, true
}

// Advance takes in that a work was done: what is committed is applied, and answered. If it is time for a snapshot, own is one that is to
// be kept before the log is cut before compact.
func (c *Core) Advance(w Ready, now lease.Instant) (own *pb.Snapshot, compact uint64, err error) {
	rd := w.ready
	if w.Snapshot != nil {
		if err := c.store.ApplySnapshot(w.Snapshot); err != nil {
			return nil, 0, err
		}
		if err := c.restore(w.Snapshot); err != nil {
			return nil, 0, err
		}
	}
	if err := c.store.Append(rd.Entries); err != nil {
		return nil, 0, err
	}
	if rd.SoftState != nil {
		c.softState(rd.SoftState)
	}
	for _, e := range rd.CommittedEntries {
		if err := c.apply(e, now); err != nil {
			return nil, 0, err
		}
	}
	for _, r := range rd.ReadStates {
		if c.confirm != nil && string(r.RequestCtx) == fmt.Sprint(c.confirm.number) {
			c.confirm.index = r.Index
		}
	}
	c.raw.Advance(rd)
	c.confirmed(now)
	if c.applied-c.saved < c.SnapshotEvery && !c.fresh {
		return nil, 0, nil
	}
	return c.snapshot()
}

// softState takes in who leads.
func (c *Core) softState(s *raft.SoftState) {
	leads := s.RaftState == raft.StateLeader
	if s.Lead != c.leader && s.Lead != 0 {
		c.calm()
	}
	c.leader = s.Lead
	if leads == c.leads {
		return
	}
	c.leads, c.clock, c.shares, c.changing = leads, nil, nil, false
	c.lose()
}

// apply carries out a committed entry.
func (c *Core) apply(e *pb.Entry, now lease.Instant) error {
	c.applied = e.GetIndex()
	var in entry
	data := e.Data
	var change *pb.ConfChange
	if e.GetType() == pb.EntryType_EntryConfChange {
		change = &pb.ConfChange{}
		if err := proto.Unmarshal(e.Data, change); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		c.conf, c.changing, c.fresh = c.raw.ApplyConfChange(change), false, true
		data = change.Context
	}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &in); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
	}
	var r Response
	switch {
	case change != nil && change.GetType() == pb.ConfChangeRemoveNode:
		delete(c.members, change.GetNodeId())
		if change.GetNodeId() == c.ID {
			c.removed = 1
		}
	case change != nil && in.Member != nil:
		in.Member.Learner = change.GetType() == pb.ConfChangeAddLearnerNode
		in.Member.Incarnation = c.members[in.Member.ID].Incarnation
		c.members[in.Member.ID] = *in.Member
	case in.Member != nil:
		if m, ok := c.members[in.Member.ID]; ok && m.Incarnation == "" {
			m.Incarnation = in.Member.Incarnation
			c.members[m.ID] = m
		}
	case in.Rollout != nil:
		r.Rollout = c.changes.Apply(*in.Rollout)
	case in.Limit != nil:
		if r.LimitErr = c.limits.Apply(*in.Limit); r.LimitErr == nil && c.shares != nil {
			c.shares.Applied(*in.Limit, now)
		}
	case in.Publish != nil:
		before := c.versions.Last()
		if r.Published = c.versions.Apply(*in.Publish); c.versions.Last() != before {
			c.changed.Names = append(c.changed.Names, in.Publish.Service)
		}
	case in.Lease != nil:
		r.Answer = c.state.Apply(*in.Lease)
		if c.clock != nil {
			c.clock.Applied(*in.Lease, r.Answer, now)
		}
	}
	if c.leads && c.clock == nil && e.GetTerm() == c.term {
		c.clock = lease.NewLessor(c.state, now)
		c.shares = share.NewAllocators(c.limits, c.term, now)
	}
	if done := c.waiting[in.Number]; in.From == c.ID && done != nil && e.GetTerm() == c.term {
		delete(c.waiting, in.Number)
		r.Members = c.Members()
		done(r)
	}
	return nil
}

// snapshot makes one of what is applied.
func (c *Core) snapshot() (own *pb.Snapshot, compact uint64, err error) {
	own, err = c.store.CreateSnapshot(c.applied, c.conf, encode(c.Members(), c.state, c.changes, c.limits, c.versions))
	if err != nil {
		return nil, 0, err
	}
	c.saved, c.fresh = c.applied, false
	if first, _ := c.store.FirstIndex(); c.applied > c.CatchUpEntries+first {
		compact = c.applied - c.CatchUpEntries
		err = c.store.Compact(compact)
	}
	return own, compact, err
}

// Versions are the newest versions of configurations as this replica has applied them; the core's own.
func (c *Core) Versions() *distribute.Register { return c.versions }

// ChangedServices is which services have got a version.
type ChangedServices struct {
	All   bool // any may have: a snapshot came in
	Names []string
}

// TakeChangedServices is what has changed since it was asked last.
func (c *Core) TakeChangedServices() ChangedServices {
	was := c.changed
	c.changed = ChangedServices{}
	return was
}

// IsLeader reports whether the log has this replica for its leader; it may not have applied all that was before.
func (c *Core) IsLeader() bool { return c.leads }

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

// Status is what the replica knows.
func (c *Core) Status() Status {
	s := Status{ID: c.ID, Leader: c.leader, Term: c.term, Applied: c.applied, IsLeader: c.leads && c.clock != nil, Members: c.Members()}
	first, _ := c.store.FirstIndex()
	last, _ := c.store.LastIndex()
	s.Log = last + 1 - first
	s.Sessions, s.Leases, s.Token = c.state.Counts()
	return s
}
