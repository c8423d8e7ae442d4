package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/monotonic"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/replica/disk"
	"petrelhook/internal/coordination/rpc"
)

// Server is one coordinator.
type Server struct {
	config *Config
	log    *slog.Logger
	disk   *disk.Disk
	core   *replica.Core
	events chan func()
	ended  chan struct{}
	peers  map[uint64]*peer
	fatal  chan error // takes one

	distribute *distributor
}

const (
	maxBatch = 512 // events that are taken in before one write
	// restStep is for how long a peer that could not be reached is left alone.
	restStep = 50 * time.Millisecond
)

// Open opens what the coordinator has kept, or begins with nothing.
func Open(c *Config, log *slog.Logger) (*Server, error) {
	if !disk.Exists(c.Data) {
		first := &replica.PersistedState{}
		if !c.Join {
			first = replica.InitialState(c.Replicas, lease.NewState())
		}
		if err := disk.Create(c.Data, c.ID, first); err != nil {
			return nil, err
		}
		log.Info("new", "data", c.Data, "join", c.Join)
	}
	d, kept, err := disk.Open(c.Data)
	if err != nil {
		return nil, err
	}
	if d.ID != c.ID {
		d.Close()
		return nil, fmt.Errorf("%s: it is of replica %d, and the file says id %d", c.Data, d.ID, c.ID)
	}
	core, err := replica.New(replica.Options{ID: c.ID, Incarnation: d.Incarnation, Rand: rand.IntN}, kept)
	if err != nil {
		d.Close()
		return nil, err
	}
	s := &Server{config: c, log: log, disk: d, core: core, events: make(chan func(), 4096), ended: make(chan struct{}),
		peers: map[uint64]*peer{}, fatal: make(chan error, 1)}
	s.distribute = newDistributor(s)
	return s, nil
}

// Run serves until ctx ends, or until it cannot go on.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	defer s.disk.Close()
	mux := http.NewServeMux()
	rpc.Handle(mux, PathRequest, maxRequest, s.ask)
	rpc.Handle(mux, PathStatus, maxRequest, s.status)
	rpc.Handle(mux, PathStep, MaxMessage+1<<20, s.step)
	rpc.Handle(mux, distribute.PathWatch, distribute.MaxWatchRequest, s.watch)
	rpc.Handle(mux, distribute.PathSummary, maxRequest, s.summary)
	// The time for reading goes on while a call waits for its answer, and would end it: it is longer than distribute.MaxHold.
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: snapTime + 5*time.Second, IdleTimeout: 2 * time.Minute, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)}
	var sides sync.WaitGroup
	defer sides.Wait()
	sides.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.fail(err)
		}
	})
	defer server.Close()
	peers, endPeers := context.WithCancel(context.Background())
	defer endPeers()
	defer close(s.ended)
	sides.Go(func() { s.distribute.confirm(peers) })
	tick := time.NewTicker(s.config.Tick)
	defer tick.Stop()
	look := time.NewTicker(tickTime)
	defer look.Stop()
	leads := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-s.fatal:
			return err
		case <-tick.C:
			s.core.Tick(monotonic.Now())
			if err := s.core.RemovedErr(); err != nil {
				return err
			}
		case <-look.C:
			s.distribute.tick()
		case f := <-s.events:
			f()
			for n := 0; n < maxBatch; n++ {
				select {
				case f := <-s.events:
					f()
					continue
				default:
				}
				break
			}
		}
		if err := s.pump(peers, &sides); err != nil {
			return err
		}
		s.distribute.applied()
		if now := s.core.Status(); now.IsLeader != leads {
			leads = now.IsLeader
			s.log.Info("leads", "now", leads, "term", now.Term, "sessions", now.Sessions, "leases", now.Leases)
			s.core.RecordIncarnation(s.config.ID, s.disk.Incarnation)
		}
	}
}

// pump does what is to be done: first the disk, then the network, then the answers.
func (s *Server) pump(peers context.Context, sides *sync.WaitGroup) error {
	for {
		w, ok := s.core.Ready()
		if !ok {
			return nil
		}
		if w.Sync {
			if err := s.disk.Save(w); err != nil {
				return fmt.Errorf("the disk: %w", err) // what is on it is not known: only a new start can tell
			}
		}
		for _, m := range w.Messages {
			s.peer(peers, sides, m.GetTo()).send(m)
		}
		own, compact, err := s.core.Advance(w, monotonic.Now())
		if err != nil {
			return err
		}
		if own != nil {
			if err := s.disk.SaveSnapshot(own, compact); err != nil {
				return fmt.Errorf("the disk: %w", err)
			}
		}
	}
}

func (s *Server) fail(err error) {
	select {
	case s.fatal <- err:
	default:
	}
}

// post has f run by the goroutine that owns the replica; false: it has ended.
func (s *Server) post(f func()) bool {
	select {
	case s.events <- f:
		return true
	case <-s.ended:
		return false
	}
}

// addr is where a replica is: as the file says, else as the log does.
func (s *Server) addr(id uint64) string {
	for _, m := range s.config.Replicas {
		if m.ID == id {
			return m.Addr
		}
	}
	for _, m := range s.core.Members() {
		if m.ID == id {
			return m.Addr
		}
	}
	return ""
}

var errEnds = connect.NewError(connect.CodeUnavailable, errors.New("this coordinator ends"))

// ask answers a question of a client.
func (s *Server) ask(ctx context.Context, in *Request) (*Response, error) {
	if err := CheckVersion(in.Version); err != nil {
		return nil, err
	}
	q, err := s.question(in)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	told := make(chan *Response, 1)
	q.Done = func(r replica.Response) { told <- s.told(in, r) }
	if !s.post(func() { s.distribute.prepare(&q, in); s.core.Submit(q) }) {
		return nil, errEnds
	}
	select {
	case t := <-told:
		return t, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.ended:
		return nil, errEnds
	}
}

// question is a client's, checked.
func (s *Server) question(in *Request) (q replica.Request, err error) {
	switch {
	case in.Command != nil:
		q.Command = in.Command
		if err = in.Command.Check(); err == nil && in.Command.Kind == lease.Open && in.Command.TTL > s.config.LongestTTL {
			err = fmt.Errorf("ttl: %v is longer than these coordinators allow; write %v at most (longest_ttl)", in.Command.TTL, s.config.LongestTTL)
		}
	case in.Rollout != nil:
		q.Rollout, err = in.Rollout, in.Rollout.Check()
	case in.KeepAlive != nil:
		q.KeepAlive = in.KeepAlive
	case in.Publish != nil:
		q.Publish, err = in.Publish, in.Publish.Check()
	case in.Limit != nil:
		q.Limit, err = in.Limit, in.Limit.Set.Check()
	case in.Share != nil:
		if q.Share = in.Share; in.Share.Request.Member == "" || len(in.Share.Request.Member) > lease.MaxNameBytes {
			err = fmt.Errorf("member: %q; write a name of 1 to %d bytes", in.Share.Request.Member, lease.MaxNameBytes)
		}
	case in.AddMember != nil:
		if _, _, bad := net.SplitHostPort(in.AddMember.Addr); in.AddMember.ID == 0 || bad != nil {
			err = fmt.Errorf("add: %d, %q: write an id from 1 on and host:port", in.AddMember.ID, in.AddMember.Addr)
		}
		q.AddMember = &replica.Member{ID: in.AddMember.ID, Addr: in.AddMember.Addr}
	case in.RemoveMember != 0:
		q.RemoveMember = in.RemoveMember
	case in.ListLeases != nil || in.Backup || in.Changes != nil || in.ListLimits || in.LastRevision != nil || in.Versions != nil:
		q.Read = true
	default:
		err = errors.New("nothing is asked")
	}
	return q, err
}

// told is the answer; it is made by the goroutine that owns the replica.
func (s *Server) told(in *Request, r replica.Response) *Response {
	t := &Response{Answer: r.Answer, SessionAlive: r.SessionAlive, Grants: r.Grants, GrantsVersion: r.GrantsVersion, Members: r.Members}
	if r.Err != nil {
		t.Err, t.OutcomeUnknown, t.Leader = r.Err.Error(), errors.Is(r.Err, replica.ErrLeaderChanged), s.addr(r.Leader)
		t.RetryAfterMs = int(s.config.Tick.Milliseconds() * replica.ElectionTicks / 2)
		if t.Leader != "" {
			t.RetryAfterMs = int(s.config.Tick.Milliseconds())
		}
	}
	if r.State != nil && in.ListLeases != nil {
		t.Leases = r.State.List(*in.ListLeases)
	}
	t.Rollout, t.Share, t.Published = r.Rollout, r.Share, r.Published
	if r.Versions != nil {
		t.LastRevision = r.Versions.Last()
		if in.Versions != nil {
			t.Versions = versions(r.Versions, *in.Versions)
		}
	}
	if r.LimitErr != nil {
		t.LimitError = r.LimitErr.Error()
	}
	if in.ListLimits && r.LimitStatuses != nil {
		t.LimitStatuses = r.LimitStatuses()
	}
	if r.Rollouts != nil && in.Changes != nil {
		if t.Changes = r.Rollouts.Application(*in.Changes, in.StageResults); *in.Changes == "" {
			t.Changes, _ = json.Marshal(r.Rollouts.Applications())
		}
	}
	if r.State != nil && in.Backup {
		t.Backup = r.State.Snapshot()
	}
	return t
}

// versions are the newest of a service, with its content; of all, without, where none is named.
func versions(r *distribute.Register, service string) []distribute.Version {
	if service == "" {
		return r.Services()
	}
	if v, ok := r.Newest(service); ok {
		return []distribute.Version{v}
	}
	return nil
}

// Status is what a coordinator says of itself.
type Status struct {
	replica.Status
	Addr string `json:"addr"`
}

func (s *Server) status(ctx context.Context, in *Empty) (*Status, error) {
	if err := CheckVersion(in.Version); err != nil {
		return nil, err
	}
	now := make(chan Status, 1)
	if !s.post(func() { now <- Status{s.core.Status(), s.config.Addr()} }) {
		return nil, errEnds
	}
	select {
	case st := <-now:
		return &st, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.ended:
		return nil, errEnds
	}
}

// step takes in messages of another replica. One whose disk is another than the log knows is refused, and one that was removed.
func (s *Server) step(ctx context.Context, in *StepRequest) (*Empty, error) {
	if err := CheckVersion(in.Version); err != nil {
		return nil, err
	}
	if in.To != s.config.ID {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("this is replica %d, not %d", s.config.ID, in.To))
	}
	all := make([]*pb.Message, len(in.Messages))
	for i, text := range in.Messages {
		all[i] = &pb.Message{}
		if err := proto.Unmarshal(text, all[i]); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	done := make(chan error, 1)
	ok := s.post(func() {
		if err := s.core.CheckReceiver(in.ToIncarnation); err != nil {
			s.fail(err)
			done <- errEnds
			return
		}
		err := s.core.CheckSender(in.From, in.Incarnation)
		if err != nil {
			err = connect.NewError(connect.CodeFailedPrecondition, err)
		}
		for _, m := range all {
			if err == nil {
				s.core.Step(m)
			}
		}
		done <- err
	})
	if !ok {
		return nil, errEnds
	}
	select {
	case err := <-done:
		if err != nil {
			return nil, err
		}
		return &Empty{Version}, nil
	case <-s.ended:
		return nil, errEnds
	}
}
