package distribute

import "time"

// SubscriberOptions are the settings of an agent's subscription to one service. ReconnectWindow and ResponseTimeout may be 0; all
// other durations are positive.
type SubscriberOptions struct {
	Service string
	Member  string // the agent's name
	Servers int    // the number of coordinators, which are numbered from 0

	// MaxWait is the longest time for which a call waits for a newer version. Each call waits for a random time between three
	// quarters of MaxWait and all of it, so that the calls of many agents do not end at the same time.
	MaxWait time.Duration
	// ResponseTimeout is the time after the end of its wait at which a call without a response fails.
	ResponseTimeout time.Duration
	// ReconnectWindow is the window in which the first call is made, and the first call after a coordinator was lost. N agents
	// that lose a coordinator at the same time reconnect at a mean rate of N/ReconnectWindow.
	ReconnectWindow time.Duration
	// MaxBackoff is the longest pause between calls while no coordinator answers. It is at least twice ReconnectWindow.
	MaxBackoff time.Duration
	// RebalanceAfter is the longest time for which one coordinator is used. Another one is drawn after a random time between half
	// of RebalanceAfter and all of it, so that load is balanced again after restarts.
	RebalanceAfter time.Duration

	// Rand returns a random number in [0, n) for a positive n.
	Rand func(n int64) int64
}

// DefaultSubscriberOptions returns the default options for an agent. servers is the number of coordinators.
func DefaultSubscriberOptions(service, member string, servers int, rand func(n int64) int64) SubscriberOptions {
	return SubscriberOptions{
		Service: service, Member: member, Servers: servers, Rand: rand,
		MaxWait: 5 * time.Second, ResponseTimeout: 1500 * time.Millisecond,
		ReconnectWindow: 2 * time.Second, MaxBackoff: 5 * time.Second, RebalanceAfter: time.Minute,
	}
}

// maxDoublings bounds how often the window is doubled after failed calls. The window reaches its maximum long before.
const maxDoublings = 32

// noServer is the server number that stands for no coordinator.
const noServer = -1

// Subscriber is one agent's subscription to one service. It decides which coordinator to call and when, and whether to accept a
// version. It has at most one call in flight. It must be used from a single goroutine. Times are those of the agent's monotonic
// clock.
//
// After the loss of a coordinator, calls are made in windows that do not overlap, one call at a random time in each window. A
// window is at least ReconnectWindow long. While no coordinator answers, its length doubles up to half of MaxBackoff, so that no
// pause exceeds MaxBackoff. However often agents lose coordinators, each makes at most one call per ReconnectWindow on average
// after a loss. If a window instead began at the end of the last pause, some pauses would be short, and calls would cluster when
// coordinators refuse them fast.
type Subscriber struct {
	options    SubscriberOptions
	revision   Revision      // of the last accepted version
	server     int           // the coordinator in use; noServer: one has to be drawn
	lostServer int           // the coordinator that is not drawn next, because it failed or was left last; or noServer
	drawAt     time.Duration // when another coordinator is drawn
	nextCallAt time.Duration
	inFlight   bool
	failures   int           // consecutive failed calls
	windowEnd  time.Duration // the end of the last window
}

// Call is a watch call that the agent has to make.
type Call struct {
	Server   int
	Watch    Watch         // without Reports: the caller adds them
	Deadline time.Duration // when the call fails if there is no response
}

// NewSubscriber returns the subscription of an agent that holds the given revision; 0 stands for none.
func NewSubscriber(o SubscriberOptions, revision Revision, now time.Duration) *Subscriber {
	s := &Subscriber{options: o, revision: revision, server: noServer, lostServer: noServer}
	s.scheduleCall(now, o.ReconnectWindow)
	return s
}

// scheduleCall schedules the next call at a random time in a window of the given length, which begins no earlier than the last
// one ends.
func (s *Subscriber) scheduleCall(now, length time.Duration) {
	begin := max(now, s.windowEnd)
	s.nextCallAt, s.windowEnd = begin+s.draw(length), begin+length
}

// draw returns a random duration in [0, d), or 0 if d is not positive.
func (s *Subscriber) draw(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.options.Rand(int64(d)))
}

// NextCallAt returns when to begin the next call; ok is false if a call is in flight.
func (s *Subscriber) NextCallAt() (at time.Duration, ok bool) { return s.nextCallAt, !s.inFlight }

// Begin returns the next call to make. A call that is still in flight is abandoned; its response may still be passed to Accept.
func (s *Subscriber) Begin(now time.Duration) Call {
	if s.server >= 0 && now >= s.drawAt {
		s.lostServer, s.server = s.server, noServer
	}
	if s.server < 0 {
		s.server = s.drawServer(s.lostServer)
		s.drawAt = now + s.options.RebalanceAfter/2 + s.draw(s.options.RebalanceAfter-s.options.RebalanceAfter/2)
	}
	s.inFlight = true
	wait := s.options.MaxWait - s.draw(s.options.MaxWait/4)
	return Call{
		Server:   s.server,
		Watch:    Watch{Version: WireVersion, Service: s.options.Service, Member: s.options.Member, Known: s.revision, MaxWait: wait},
		Deadline: now + wait + s.options.ResponseTimeout,
	}
}

// drawServer returns a random coordinator, other than the excluded one if there are several.
func (s *Subscriber) drawServer(excluded int) int {
	switch {
	case s.options.Servers <= 1:
		return 0
	case excluded < 0:
		return int(s.options.Rand(int64(s.options.Servers)))
	}
	return (excluded + 1 + int(s.options.Rand(int64(s.options.Servers-1)))) % s.options.Servers
}

// Answered processes the response to the call in flight and returns the version to apply, or nil if there is none. The version
// counts as held from now on. If the version is rejected, Answered returns an error and the call counts as failed.
func (s *Subscriber) Answered(now time.Duration, response WatchResponse) (*Version, error) {
	v, err := s.Accept(response)
	if err != nil {
		s.Failed(now)
		return nil, err
	}
	if s.inFlight {
		s.inFlight, s.nextCallAt, s.failures, s.lostServer = false, now, 0, noServer
	}
	return v, nil
}

// Accept processes a response that arrives after its call has failed. It accepts or rejects the version as Answered does, but
// does not change when the next call is made.
func (s *Subscriber) Accept(response WatchResponse) (*Version, error) {
	v := response.Newer
	switch {
	case v == nil:
		return nil, nil
	case v.Service != s.options.Service:
		return nil, ErrWrongService
	case v.Revision <= s.revision:
		return nil, ErrNotNewer
	case v.check() != nil:
		return nil, ErrDigestMismatch
	}
	s.revision = v.Revision
	return v, nil
}

// Failed records that the call in flight got an error or no response.
func (s *Subscriber) Failed(now time.Duration) {
	if !s.inFlight {
		return
	}
	s.inFlight, s.lostServer, s.server = false, s.server, noServer
	length := s.options.ReconnectWindow
	for range min(s.failures, maxDoublings) {
		length = min(2*length, max(s.options.MaxBackoff/2, s.options.ReconnectWindow))
	}
	s.failures++
	s.scheduleCall(now, length)
}

// StoreFailed reverts the last acceptance of a version, because the machine could not store it. before is the revision held
// before. The version is requested again after a pause.
func (s *Subscriber) StoreFailed(now time.Duration, before Revision) {
	s.revision = before
	s.scheduleCall(now, s.options.ReconnectWindow)
}

// Revision returns the revision of the last accepted version, or the one that the agent started with.
func (s *Subscriber) Revision() Revision { return s.revision }
