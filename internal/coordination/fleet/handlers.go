package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"connectrpc.com/connect"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
)

// handleRequest submits a client's request to the replica and waits for the response.
func (s *Server) handleRequest(ctx context.Context, in *Request) (*codedResponse, error) {
	if err := CheckVersion(in.Version); err != nil {
		return nil, err
	}
	r, err := s.toReplica(in)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	response := make(chan *codedResponse, 1)
	r.Done = func(out replica.Response) {
		response <- &codedResponse{*s.toClient(in, out), codeOf(errors.Join(out.Err, out.Rollout.Err))}
	}
	if !s.post(func() { s.distribute.prepare(&r, in); s.core.Submit(r) }) {
		return nil, errShutdown
	}
	return await(ctx, s, response)
}

// errEmptyRequest rejects a request that has none of the fields that this version knows.
var errEmptyRequest = errors.New("the request is empty")

// toReplica validates a client's request and converts it to a request to the replica.
func (s *Server) toReplica(in *Request) (r replica.Request, err error) {
	switch {
	case in.Command != nil:
		r.Command = in.Command
		if err = in.Command.Check(); err == nil && in.Command.Kind == lease.Open && in.Command.TTL > s.config.MaxTTL {
			err = fmt.Errorf("ttl: %v is longer than these coordinators allow; write %v at most (max_ttl)", in.Command.TTL, s.config.MaxTTL)
		}
	case in.Rollout != nil:
		r.Rollout, err = in.Rollout, in.Rollout.Check()
	case in.KeepAlive != nil:
		r.KeepAlive = in.KeepAlive
	case in.Publish != nil:
		r.Publish, err = in.Publish, in.Publish.Check()
	case in.Limit != nil:
		r.Limit, err = in.Limit, in.Limit.Set.Check()
	case in.Share != nil:
		if r.Share = in.Share; in.Share.Request.Member == "" || len(in.Share.Request.Member) > lease.MaxNameBytes {
			err = fmt.Errorf("member: %q; write a name of 1 to %d bytes", in.Share.Request.Member, lease.MaxNameBytes)
		}
	case in.AddMember != nil:
		if _, _, addrErr := net.SplitHostPort(in.AddMember.Addr); in.AddMember.ID == 0 || addrErr != nil {
			err = fmt.Errorf("add: %d, %q: write an id from 1 on and host:port", in.AddMember.ID, in.AddMember.Addr)
		}
		r.AddMember = &replica.Member{ID: in.AddMember.ID, Addr: in.AddMember.Addr}
	case in.RemoveMember != 0:
		r.RemoveMember = in.RemoveMember
	case in.ListLeases != nil || in.Backup || in.Changes != nil || in.ListLimits || in.LastRevision != nil || in.Versions != nil:
		r.Read = true
	default:
		err = errEmptyRequest
	}
	return r, err
}

// toClient converts the replica's response to a request of a client. Only the goroutine that owns the replica may call it.
func (s *Server) toClient(in *Request, r replica.Response) *Response {
	out := &Response{Answer: r.Answer, SessionAlive: r.SessionAlive, Grants: r.Grants, GrantsVersion: r.GrantsVersion, Members: r.Members,
		Rollout: r.Rollout, Share: r.Share, Published: r.Published}
	if r.Err != nil {
		s.setError(out, r)
	}
	if r.LimitErr != nil {
		out.LimitError = r.LimitErr.Error()
	}
	if r.State != nil && in.ListLeases != nil {
		out.Leases = r.State.List(*in.ListLeases)
	}
	if r.State != nil && in.Backup {
		out.Backup = r.State.Snapshot()
	}
	if r.Versions != nil {
		out.LastRevision = r.Versions.Last()
		if in.Versions != nil {
			out.Versions = newestVersions(r.Versions, *in.Versions)
		}
	}
	if in.ListLimits && r.LimitStatuses != nil {
		out.LimitStatuses = r.LimitStatuses()
	}
	if r.Rollouts != nil && in.Changes != nil {
		if out.Changes = r.Rollouts.Application(*in.Changes, in.StageResults); *in.Changes == "" {
			out.Changes, _ = json.Marshal(r.Rollouts.Applications()) // strings cannot fail to marshal
		}
	}
	return out
}

// setError sets the error, the leader if it is known, and the delay before the next attempt: one tick if the leader is known, or
// else half the time of an election.
func (s *Server) setError(out *Response, r replica.Response) {
	out.Err, out.OutcomeUnknown, out.Leader = r.Err.Error(), errors.Is(r.Err, replica.ErrLeaderChanged), s.addr(r.Leader)
	out.RetryAfterMs = int(s.config.Tick.Milliseconds() * replica.ElectionTicks / 2)
	if out.Leader != "" {
		out.RetryAfterMs = int(s.config.Tick.Milliseconds())
	}
}

// newestVersions returns the newest version of a service with its content. If service is empty, it returns those of all services
// without content.
func newestVersions(r *distribute.Register, service string) []distribute.Version {
	if service == "" {
		return r.Services()
	}
	if v, ok := r.Newest(service); ok {
		return []distribute.Version{v}
	}
	return nil
}

// Status is the status of one coordinator.
type Status struct {
	replica.Status
	Addr string `json:"addr"`
}

// handleStatus returns the status of this coordinator, whether it leads or not.
func (s *Server) handleStatus(ctx context.Context, in *Empty) (*Status, error) {
	if err := CheckVersion(in.Version); err != nil {
		return nil, err
	}
	status := make(chan *Status, 1)
	if !s.post(func() { status <- &Status{s.core.Status(), s.config.Addr()} }) {
		return nil, errShutdown
	}
	return await(ctx, s, status)
}

// handleStep passes messages from another replica to this one. It rejects a sender that was removed from the group or whose disk
// is not the recorded one.
func (s *Server) handleStep(_ context.Context, in *StepRequest) (*Empty, error) {
	if err := CheckVersion(in.Version); err != nil {
		return nil, err
	}
	if in.To != s.config.ID {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("this is replica %d, not %d", s.config.ID, in.To))
	}
	messages := make([]*pb.Message, len(in.Messages))
	for i, text := range in.Messages {
		messages[i] = &pb.Message{}
		if err := proto.Unmarshal(text, messages[i]); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("messages[%d]: %w", i, err))
		}
	}
	done := make(chan error, 1)
	if !s.post(func() { done <- s.step(in, messages) }) {
		return nil, errShutdown
	}
	select {
	case err := <-done:
		if err != nil {
			return nil, err
		}
		return &Empty{Version}, nil
	case <-s.ended:
		return nil, errShutdown
	}
}

// step passes messages to the core, if sender and receiver have the recorded disks. Only the goroutine that owns the replica may
// call it.
func (s *Server) step(in *StepRequest, messages []*pb.Message) error {
	if err := s.core.CheckReceiver(in.ToIncarnation); err != nil {
		s.fail(err)
		return errShutdown
	}
	if err := s.core.CheckSender(in.From, in.Incarnation); err != nil {
		return connect.NewError(connect.CodeFailedPrecondition, err)
	}
	for _, m := range messages {
		s.core.Step(m)
	}
	return nil
}
