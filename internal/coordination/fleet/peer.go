package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"petrelhook/internal/coordination/rpc"
)

const (
	peerQueueLength = 1024 // the number of messages that are queued for one peer
	maxStepBatch    = 256  // the number of messages in one call
	peerDialTimeout = time.Second
	// stepTimeout bounds one call, snapshotTimeout one that carries a snapshot.
	stepTimeout     = 2 * time.Second
	snapshotTimeout = 30 * time.Second
	// peerRetryDelay is the delay after a failed call.
	peerRetryDelay = 50 * time.Millisecond
)

// peer sends messages to another replica. Messages that cannot be delivered are dropped; raft sends them again.
type peer struct {
	server      *Server
	id          uint64
	queue       chan *pb.Message
	incarnation atomic.Pointer[string] // the incarnation of the peer's disk that the log has recorded
}

// peer returns the sender for a replica, and starts it at the first call. Only the goroutine that owns the replica may call it.
func (s *Server) peer(ctx context.Context, background *sync.WaitGroup, id uint64) *peer {
	p := s.peers[id]
	if p == nil {
		p = &peer{server: s, id: id, queue: make(chan *pb.Message, peerQueueLength)}
		s.peers[id] = p
		addr := s.addr(id)
		background.Go(func() { p.run(ctx, addr) })
	}
	return p
}

// send queues a message, and drops it if the queue is full. It never blocks. Only the goroutine that owns the replica may call
// it.
func (p *peer) send(m *pb.Message) {
	incarnation := p.server.core.IncarnationOf(p.id)
	p.incarnation.Store(&incarnation)
	select {
	case p.queue <- m:
	default: // the peer is slow or unreachable
		if m.GetType() == pb.MessageType_MsgSnap {
			p.server.core.ReportSnapshot(p.id, false)
		}
	}
}

// run sends the queued messages, one call at a time, until ctx ends or the peer rejects this replica.
func (p *peer) run(ctx context.Context, addr string) {
	httpClient := rpc.NewHTTPClient(rpc.HTTPOptions{Dial: p.server.config.Dial, DialTimeout: peerDialTimeout, MaxIdleConnsPerHost: 2})
	defer httpClient.CloseIdleConnections()
	client := Client[StepRequest, Empty](httpClient, addr, PathStep)
	for {
		batch, ok := p.nextBatch(ctx)
		if !ok {
			return
		}
		err := p.call(ctx, client, batch)
		if err == nil {
			continue
		}
		if connect.CodeOf(err) == connect.CodeFailedPrecondition { // the group rejects this replica or its protocol version
			p.server.fail(err)
			return
		}
		p.server.post(func() { p.server.core.ReportUnreachable(p.id) })
		if !rpc.Sleep(ctx, peerRetryDelay) {
			return
		}
	}
}

// nextBatch waits for a message, and returns it with the messages that are queued behind it. ok is false if ctx has ended.
func (p *peer) nextBatch(ctx context.Context) (batch []*pb.Message, ok bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case m := <-p.queue:
		batch = append(batch, m)
	}
	for len(batch) < maxStepBatch {
		select {
		case m := <-p.queue:
			batch = append(batch, m)
		default:
			return batch, true
		}
	}
	return batch, true
}

// call sends a batch, and reports to the core whether a snapshot in it was delivered.
func (p *peer) call(ctx context.Context, client *connect.Client[StepRequest, Empty], batch []*pb.Message) error {
	s := p.server
	request := &StepRequest{Version: Version, From: s.config.ID, To: p.id, Incarnation: s.disk.Incarnation, ToIncarnation: *p.incarnation.Load()}
	timeout, hasSnapshot := stepTimeout, false
	for _, m := range batch {
		text, err := proto.Marshal(m)
		if err != nil {
			return err
		}
		request.Messages = append(request.Messages, text)
		if m.GetType() == pb.MessageType_MsgSnap {
			hasSnapshot, timeout = true, snapshotTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := client.CallUnary(ctx, connect.NewRequest(request))
	if hasSnapshot {
		s.post(func() { s.core.ReportSnapshot(p.id, err == nil) })
	}
	return err
}
