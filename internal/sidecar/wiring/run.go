package wiring

import (
	"context"
	"net"
	"sync"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/sidecar/admin"
	"petrelhook/internal/sidecar/counts"
	"petrelhook/internal/sidecar/lifecycle"
)

// Run serves clients until stop ends, and then drains. It returns when all accepted requests are answered and the core has ended. It also
// serves operators if their listener is not nil, and takes part in hand-overs if succession is not nil. It is called once.
func (s *Sidecar) Run(stop context.Context, clients, operators net.Listener, succession *Succession) error {
	stopWaiting := context.AfterFunc(stop, func() { s.terminate(clients, succession) })
	defer stopWaiting()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	if operators != nil {
		tasks.Go(func() { s.serveOperators(operators) })
		defer operators.Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tasks.Go(func() { s.logStates(ctx) })
	if succession != nil {
		if succession.Predecessor != nil { // before the first client is accepted
			s.limits.joinPredecessor(*succession.Share)
		}
		tasks.Go(func() { s.serveHandovers(ctx, succession, clients) })
	}
	tasks.Go(func() { s.becomeReady(ctx, succession) })

	coreCtx, endCore := context.WithCancel(context.Background())
	coreEnded := make(chan struct{})
	go func() {
		defer close(coreEnded)
		s.core.Run(coreCtx)
	}()
	err := s.front.Serve(clients)
	endCore()
	<-coreEnded
	return err
}

// terminate begins the drain. Where another process listens at the same address with its own socket, new connections go to that socket from
// then on.
func (s *Sidecar) terminate(clients net.Listener, succession *Succession) {
	if succession != nil && s.lifecycle.Status().After(lifecycle.Terminate).YieldsListener() {
		if err := sock.Yield(clients); err != nil {
			s.log.Warn("could not direct new connections to the other process", "err", err)
		}
	}
	s.lifecycle.Apply(lifecycle.Terminate)
}

// serveOperators serves the calls of operators until their listener is closed.
func (s *Sidecar) serveOperators(listener net.Listener) {
	endpoint := admin.New(s.lifecycle)
	if s.requestCounts != nil {
		endpoint.Counts = s.operatorCounts
	}
	if err := endpoint.Serve(listener); err != nil {
		s.log.Error("admin listener failed; operators are no longer served", "err", err)
	}
}

// operatorCounts returns the response body of GET /api/counts.
func (s *Sidecar) operatorCounts() any {
	return struct {
		counts.Report
		File *counts.ConfigFile `json:"file"`
	}{counts.Report{Classes: s.requestCounts.Snapshot(), ServerUse: s.serverCounts.Snapshot()}, s.loadedFile.Load()}
}

// becomeReady makes the process ready once a server is known. A process that takes part in no hand-overs becomes ready after
// lifecycle.MaxStartWait even without a server. A process that takes part in them waits without limit, because its predecessor stays in
// service until this process can serve.
func (s *Sidecar) becomeReady(ctx context.Context, succession *Succession) {
	var maxWaitElapsed <-chan time.Time
	if succession == nil {
		maxWaitElapsed = time.After(lifecycle.MaxStartWait)
	}
	select {
	case <-s.serverKnown:
	case <-maxWaitElapsed:
		s.log.Warn("became ready without a known server", "waited", lifecycle.MaxStartWait)
	case <-ctx.Done():
		return
	}
	s.announceReady(succession)
}

// logStates logs each change of the lifecycle's state until ctx ends.
func (s *Sidecar) logStates(ctx context.Context) {
	for last := lifecycle.Starting; ; {
		status, changed := s.lifecycle.Watch()
		if status.State() != last {
			last = status.State()
			s.log.Info("lifecycle state changed", "now", last.String())
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
