package distribute

import "time"

// SubscriberOptions are the settings of an agent's subscription to one service. ReconnectWindow and ResponseTimeout may be 0; all other times
// are above 0.
type SubscriberOptions struct {
	Service string
	Member  string // the agent's name
	Servers int    // the number of coordinators, which are numbered from 0

	// MaxWait is the longest that a call waits for a newer version: each waits for three quarters of it to the whole, drawn at random,
	// so that calls of many agents do not end at the same moments.
	MaxWait time.Duration
	// ResponseTimeout is how long after the end of its wait a call has failed.
	ResponseTimeout time.Duration
	// ReconnectWindow is the window of the first call, and of the first call after a coordinator was lost: N agents that lose one together
	// are back at a mean rate of N/ReconnectWindow.
	ReconnectWindow time.Duration
	// MaxBackoff is the longest pause while no coordinator answers; at least twice ReconnectWindow.
	MaxBackoff time.Duration
	// RebalanceAfter is how long one coordinator is used: after half of it to the whole, drawn at random, another one is chosen, so that
	// load spreads again after restarts.
	RebalanceAfter time.Duration

	// Rand returns a random number from 0 to n-1; n is above 0.
	Rand func(n int64) int64
}

// DefaultSubscriberOptions returns the options of an agent, for a number of coordinators.
func DefaultSubscriberOptions(service, member string, servers int, rand func(n int64) int64) SubscriberOptions {
	return SubscriberOptions{
		Service: service, Member: member, Servers: servers, Rand: rand,
		MaxWait: 5 * time.Second, ResponseTimeout: 1500 * time.Millisecond,
		ReconnectWindow: 2 * time.Second, MaxBackoff: 5 * time.Second, RebalanceAfter: time.Minute,
	}
}

// maxDoublings bounds the doublings of the window after calls that failed; MaxBackoff is reached long before.
const maxDoublings = 32

// noServer stands for no coordinator.
const noServer = -1

// Subscriber is one agent's subscription to one service: which coordinator to call, when, and whether to accept a version. It has at most
// one call in flight. It belongs to one goroutine; moments are of the agent's steady clock.
//
// Calls after a loss come in windows that do not overlap: one in each, at a random moment in it. Windows are at least ReconnectWindow
// long and double, while no coordinator answers, to half of MaxBackoff, so that no pause is above MaxBackoff. However often agents lose
// coordinators, calls after a loss never come at more than one each ReconnectWindow in the mean. (With windows that begin where the last
// pause ended, of which some are short, calls would come in crowds where refusals come fast.)
type Subscriber struct {
	options    SubscriberOptions
	revision   Revision      // of the version that was accepted last
	server     int           // that is called; noServer: one is to be drawn
	lostServer int           // that failed last, which is not drawn next; or noServer
	drawAt     time.Duration // when another server is drawn
	nextCallAt time.Duration
	inFlight   bool
	failures   int           // calls that failed in a row
	windowEnd  time.Duration // of the last window
}

// Call is a call to make.
type Call struct {
	Server   int
	Watch    Watch         // without Reports: the caller adds them
	Deadline time.Duration // the moment at which the call has failed
}

// NewSubscriber returns the subscription of an agent that holds a revision, or none (0).
func NewSubscriber(o SubscriberOptions, revision Revision, now time.Duration) *Subscriber {
	s := &Subscriber{options: o, revision: revision, server: noServer, lostServer: noServer}
	s.scheduleCall(now, o.ReconnectWindow)
	return s
}

// scheduleCall sets the next call to a random moment in a window of that length, which begins when the last one has ended.
func (s *Subscriber) scheduleCall(now, length time.Duration) {
	begin := max(now, s.windowEnd)
	s.nextCallAt, s.windowEnd = begin+s.draw(length), begin+length
}

// draw returns a random time from 0 up to d.
func (s *Subscriber) draw(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.options.Rand(int64(d)))
}

// NextCallAt returns when to begin the next call; ok is false where one is in flight.
func (s *Subscriber) NextCallAt() (at time.Duration, ok bool) { return s.nextCallAt, !s.inFlight }

// Begin returns the next call to make. A call that is still in flight is given up; its response may still be given to Accept.
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

// drawServer draws a coordinator, but not the excluded one where there is another.
func (s *Subscriber) drawServer(excluded int) int {
	switch {
	case s.options.Servers <= 1:
		return 0
	case excluded < 0:
		return int(s.options.Rand(int64(s.options.Servers)))
	}
	return (excluded + 1 + int(s.options.Rand(int64(s.options.Servers-1)))) % s.options.Servers
}

// Answered processes the response to the call in flight, and returns the version to apply, which counts as held from here on; nil: there
// is none. A version that is refused makes the call a failed one.
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

// Accept is Answered for a response that comes after its call has failed: a newer version is as good, but the time of the next call stays.
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

// Failed records that the call in flight got no response, or an error.
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

// StoreFailed undoes the last version that was accepted, which the machine could not store; before is the revision of before. The version
// is requested again after a pause.
func (s *Subscriber) StoreFailed(now time.Duration, before Revision) {
	s.revision = before
	s.scheduleCall(now, s.options.ReconnectWindow)
}

// Revision returns that of the version that was accepted last, or that the agent began with.
func (s *Subscriber) Revision() Revision { return s.revision }
