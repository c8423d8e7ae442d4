package fleet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// peer is another replica, as this one sends to it: what does not get there is lost, and the log sends it again.
type peer struct {
	s     *Server
	id    uint64
	queue chan *pb.Message
	life  atomic.Pointer[string] // of its disk, as the log has it
}

const (
	peerQueue = 1024
	stepTime  = 2 * time.Second  // for one call
	snapTime  = 30 * time.Second // for one with a snapshot
)

// peer is the sender to a replica, begun when it is first needed.
func (s *Server) peer(ctx context.Context, sides *sync.WaitGroup, id uint64) *peer {
	p := s.peers[id]
	if p == nil {
		p = &peer{s: s, id: id, queue: make(chan *pb.Message, peerQueue)}
		s.peers[id] = p
		addr := s.addr(id)
		sides.Go(func() { p.run(ctx, addr) })
	}
	return p
}

func (p *peer) send(m *pb.Message) {
	life := p.s.core.IncarnationOf(p.id)
	p.life.Store(&life)
	select {
	case p.queue <- m:
	default: // it is slow, or gone
		if m.GetType() == pb.MessageType_MsgSnap {
			p.s.core.ReportSnapshot(p.id, false)
		}
	}
}

func (p *peer) run(ctx context.Context, addr string) {
	over := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 2, DisableCompression: true}}
	defer over.CloseIdleConnections()
	client := Client[StepRequest, Empty](over, addr, PathStep)
	for {
		var batch []*pb.Message
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			batch = append(batch, m)
		}
		for more := true; more && len(batch) < 256; {
			select {
			case m := <-p.queue:
				batch = append(batch, m)
			default:
				more = false
			}
		}
		err := p.call(ctx, client, batch)
		if err == nil {
			continue
		}
		if connect.CodeOf(err) == connect.CodeFailedPrecondition { // the group refuses this replica, or its version
			p.s.fail(err)
			return
		}
		p.s.post(func() { p.s.core.ReportUnreachable(p.id) })
		select {
		case <-ctx.Done():
			return
		case <-time.After(restStep):
		}
	}
}

func (p *peer) call(ctx context.Context, client *connect.Client[StepRequest, Empty], batch []*pb.Message) error {
	steps, within, snap := &StepRequest{Version: Version, From: p.s.config.ID, To: p.id, Incarnation: p.s.disk.Incarnation, ToIncarnation: *p.life.Load()}, stepTime, false
	for _, m := range batch {
		text, err := proto.Marshal(m)
		if err != nil {
			return err
		}
		steps.Messages = append(steps.Messages, text)
		if m.GetType() == pb.MessageType_MsgSnap {
			snap, within = true, snapTime
		}
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	_, err := client.CallUnary(ctx, connect.NewRequest(steps))
	if snap {
		p.s.post(func() { p.s.core.ReportSnapshot(p.id, err == nil) })
	}
	return err
}
