package distribute

import "time"

// SubscriberOptions are how an agent asks for one service. Times are above 0 but for Spread and Answer.
type SubscriberOptions struct {
	Service string
	Member  string // the agent's name
	Servers int    // coordinators, numbered from 0

	// Hold is the longest a call waits for something newer: each is drawn from 3/4 of it to the whole, so that none go
	// in step.
	MaxWait         time.Duration
	ResponseTimeout time.Duration // beyond the hold: then a call is given up
	// Spread is the window that the first ask falls into, and the first after a coordinator was lost: N agents that
	// lose one together are back at a rate of N/Spread in the mean.
	ReconnectWindow time.Duration
	MaxBackoff      time.Duration // the longest pause while nobody answers; at least twice Spread
	// Stay is how long one coordinator is asked: after half to the whole of it another is drawn, so that load spreads
	// again after restarts.
	RebalanceAfter time.Duration

	Rand func(n int64) int64 // a random number from 0 up to n, n not included; n is above 0
}

// DefaultSubscriberOptions are the options of an agent at so many coordinators.
func DefaultSubscriberOptions(service, member string, servers int, rand func(n int64) int64) SubscriberOptions {
	return SubscriberOptions{
		Service: service, Member: member, Servers: servers, Rand: rand,
		MaxWait: 5 * time.Second, ResponseTimeout: 1500 * time.Millisecond,
		ReconnectWindow: 2 * time.Second, MaxBackoff: 5 * time.Second, RebalanceAfter: time.Minute,
	}
}

// Subscriber is one agent's part for one service. It has one call out at most. Moments are of the agent's steady
// clock.
//
// Asks that follow a loss come in windows that do not overlap: one in each, at a random moment in it. Windows are
// Spread long at least and double, while nobody answers, to half of Most, so that no pause is above Most; and
// however often agents lose coordinators, asks after a loss never come at more than one each Spread in the mean.
// (With windows that begin where the last pause ended, of which some are short, those asks would come in crowds
// where refusals come fast.)
type Subscriber struct {
	o      SubscriberOptions
	holds  Revision
	server int           // that is asked; -1: one is to be drawn
	lost   int           // that failed last, which is not drawn next; -1: none
	until  time.Duration // when another is drawn
	at     time.Duration // when to ask
	out    bool          // a call is out
	failed int           // calls in a row
	window time.Duration // when the last window ends
}

// Call is an ask.
type Call struct {
	Server   int
	Watch    Watch         // without Reports: the caller adds them
	Deadline time.Duration // the moment, not the time, at which the call has failed
}

// NewSubscriber is one that has a version, or none (0).
func NewSubscriber(o SubscriberOptions, holds Revision, now time.Duration) *Subscriber {
	s := &Subscriber{o: o, holds: holds, server: -1, lost: -1}
	s.pause(now, o.ReconnectWindow)
	return s
}

// pause sets the next ask to a random moment in a window of that length, which begins when the last one has ended.
func (s *Subscriber) pause(now, length time.Duration) {
	begin := max(now, s.window)
	s.at, s.window = begin+s.draw(length), begin+length
}

// draw is a random time from 0 up to d.
func (s *Subscriber) draw(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.o.Rand(int64(d)))
}

// NextCallAt is when to begin the next call; false: one is out.
func (s *Subscriber) NextCallAt() (at time.Duration, ok bool) { return s.at, !s.out }

// Begin is the next call. One that is out still is as good as failed: what comes of it is for Take.
func (s *Subscriber) Begin(now time.Duration) Call {
	if s.server >= 0 && now >= s.until {
		s.lost, s.server = s.server, -1
	}
	if s.server < 0 {
		s.server = s.other(s.lost)
		s.until = now + s.o.RebalanceAfter/2 + s.draw(s.o.RebalanceAfter-s.o.RebalanceAfter/2)
	}
	s.out = true
	hold := s.o.MaxWait - s.draw(s.o.MaxWait/4)
	return Call{
		Server:   s.server,
		Watch:    Watch{Version: WireVersion, Service: s.o.Service, Member: s.o.Member, Known: s.holds, MaxWait: hold},
		Deadline: now + hold + s.o.ResponseTimeout,
	}
}

// other draws a coordinator, but not that one where there is another.
func (s *Subscriber) other(not int) int {
	switch {
	case s.o.Servers <= 1:
		return 0
	case not < 0:
		return int(s.o.Rand(int64(s.o.Servers)))
	}
	return (not + 1 + int(s.o.Rand(int64(s.o.Servers-1)))) % s.o.Servers
}

// Answered takes in the answer to the call that is out, and gives the version to take, which it holds from here on;
// nil: nothing newer. A version that it refuses makes the call a failed one.
func (s *Subscriber) Answered(now time.Duration, told WatchResponse) (*Version, error) {
	v, err := s.Accept(told)
	if err != nil {
		s.Failed(now)
		return nil, err
	}
	if s.out {
		s.out, s.at, s.failed, s.lost = false, now, 0, -1
	}
	return v, nil
}

// Accept is Answered for what comes late, after its call was given up: a newer version is as good, but when to ask
// stays as it is.
func (s *Subscriber) Accept(told WatchResponse) (*Version, error) {
	v := told.Newer
	switch {
	case v == nil:
		return nil, nil
	case v.Service != s.o.Service:
		return nil, ErrWrongService
	case v.Revision <= s.holds:
		return nil, ErrNotNewer
	case v.check() != nil:
		return nil, ErrDigestMismatch
	}
	s.holds = v.Revision
	return v, nil
}

// Failed takes in that the call that is out got no answer, or an error.
func (s *Subscriber) Failed(now time.Duration) {
	if !s.out {
		return
	}
	s.out, s.lost, s.server = false, s.server, -1
	length := s.o.ReconnectWindow
	for range min(s.failed, 32) {
		length = min(2*length, max(s.o.MaxBackoff/2, s.o.ReconnectWindow))
	}
	s.failed++
	s.pause(now, length)
}

// Revision is the revision of the version that it took last, or began with.
func (s *Subscriber) Revision() Revision { return s.holds }
