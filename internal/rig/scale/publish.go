package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"petrelhook/internal/coordination/monotonic"
)

const (
	ordinaryVersions = 10
	publishersAtOnce = 8 // of a version for every service
	// busyEvery is ten times the rate of the mean minute of 11,000 changes a day.
	busyEvery = 24 * time.Hour / 11_000 / 10
	busyLeast = 8 * time.Second
)

// publish is the members of watches with versions on their way: one after the other; at the rate of the busiest
// minute; one for every service at once; and, at some sizes, while a coordinator is killed.
func (r *run) publish(ctx context.Context) error {
	if err := r.joinWatchers(ctx); err != nil {
		return err
	}
	if err := r.joinMachines(ctx, busyCalls); err != nil {
		return err
	}
	if err := wait(ctx, settle); err != nil {
		return err
	}
	p := &publishing{run: r, services: drawServices(r.o.Seed, r.size),
		draw: rand.New(rand.NewPCG(r.o.Seed, uint64(r.number)))}
	steps := []func(context.Context) error{p.ordinary, p.busy, p.every}
	if r.size == killedAt || r.size == r.o.Beyond {
		steps = append(steps, p.killFollower, p.killLeader)
	}
	if r.machines != nil {
		following, end := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { defer close(ended); r.machines.follow(following) }()
		defer func() { end(); <-ended }()
		steps = append(append([]func(context.Context) error{p.quiet}, steps...), p.handOver)
		if r.size == killedAt {
			steps = append(steps, p.compare)
		}
	}
	for _, step := range append(steps, p.newest, p.summary) {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if err := r.stopServing(); err != nil {
		return err
	}
	return r.state(ctx, "leader", "")
}

// publishing is the state of a run that publishes.
type publishing struct {
	*run
	services []int // of each member
	draw     *rand.Rand

	mu     sync.Mutex
	number int // of contents
	all    []published

	real    []published // of the real machines' service
	told    int         // of them, those whose times were added
	from    time.Time   // when the quiet time began
	quantum int         // of the real sidecars' settings; 0: that of their release
}

// one publishes a version of a service, and returns when it is accepted.
func (p *publishing) one(ctx context.Context, service int) (published, error) {
	p.mu.Lock()
	p.number++
	text := content(serviceName(service), p.number)
	p.mu.Unlock()
	v, err := p.accepted(ctx, serviceName(service), text)
	v.service = service
	if err != nil {
		return v, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, v)
	return v, nil
}

// accepted has a version accepted.
func (p *publishing) accepted(ctx context.Context, service string, text []byte) (v published, err error) {
	ctx, cancel := context.WithTimeout(ctx, sayWithin)
	defer cancel()
	v.asked = int64(monotonic.Now())
	if v.revision, _, err = p.group.operator.Publish(ctx, service, text, false); err != nil {
		return v, fmt.Errorf("a version of %s is not accepted: %w", service, err)
	}
	v.accepted = int64(monotonic.Now())
	return v, nil
}

// drawn publishes a version of a service that is drawn. Each is as likely.
func (p *publishing) drawn(ctx context.Context) (published, error) {
	return p.one(ctx, p.draw.IntN(slices.Max(p.services)+1))
}

// times waits until these versions, or newer ones, were taken, and adds how long each took at each member.
func (p *publishing) times(ctx context.Context, all []published, prefix string) error {
	if err := p.awaitWatchers(ctx, "versions are taken", &await{Holds: newest(all)}); err != nil {
		return err
	}
	first := slices.MinFunc(all, func(a, b published) int { return int(a.revision) - int(b.revision) })
	takes, err := p.taken(ctx, first.revision)
	if err != nil {
		return err
	}
	took, err := inForce(all, p.services, takes)
	if err != nil {
		return err
	}
	slowest := int64(0)
	for _, v := range all {
		slowest = max(slowest, v.accepted-v.asked)
	}
	p.add("tool", prefix+"accepted_max_s", seconds(slowest)) // from when it was asked for, which in_force is not
	p.add("member", prefix+"in_force_p50_s", took[len(took)/2])
	p.add("member", prefix+"in_force_p99_s", took[len(took)*99/100])
	p.add("member", prefix+"in_force_max_s", took[len(took)-1])
	return p.realTimes(ctx, prefix)
}

// ordinary is one version after the other, each waited for.
func (p *publishing) ordinary(ctx context.Context) error {
	p.progress("versions, one after the other")
	var all []published
	for range ordinaryVersions {
		v, err := p.drawn(ctx)
		if err != nil {
			return err
		}
		all = append(all, v)
		if err := p.awaitWatchers(ctx, "a version is taken", &await{Holds: newest(all[len(all)-1:])}); err != nil {
			return err
		}
		if err := p.realInForce(ctx); err != nil {
			return err
		}
	}
	return p.times(ctx, all, "")
}

// busy is versions at the rate of the busiest minute, in a window.
func (p *publishing) busy(ctx context.Context) error {
	p.progress("versions at the rate of the busiest minute")
	leader := p.group.leads(ctx)
	before, err := p.see(ctx)
	if err != nil {
		return err
	}
	all, err := p.atRate(ctx, nil)
	if err != nil {
		return err
	}
	after, err := p.see(ctx)
	if err != nil {
		return err
	}
	if now := p.group.leads(ctx); leader < 0 || now != leader {
		return fmt.Errorf("coordinator %d led before the versions, and %d after them (0: none)", leader+1, now+1)
	}
	p.group.leader = leader
	p.roles(before, after, "busy_")
	return p.times(ctx, all, "busy_")
}

// atRate publishes drawn versions at the rate of the busiest minute for as long as a window; halfway it calls what is
// given. Those that are late, as while nobody leads, follow one another without a pause.
func (p *publishing) atRate(ctx context.Context, halfway func() error) (all []published, err error) {
	long := max(p.o.Steady, busyLeast)
	began := time.Now()
	for i := 0; ; i++ {
		due := began.Add(time.Duration(i) * busyEvery)
		if due.Sub(began) >= long {
			return all, wait(ctx, time.Until(began.Add(long)))
		}
		if err := wait(ctx, time.Until(due)); err != nil {
			return nil, err
		}
		if halfway != nil && due.Sub(began) >= long/2 {
			if err := halfway(); err != nil {
				return nil, err
			}
			halfway = nil
		}
		v, err := p.drawn(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, v)
		if i%realEvery == 0 {
			if err := p.oneReal(ctx); err != nil {
				return nil, err
			}
		}
	}
}

// every is a version for each service, as fast as the log takes them.
func (p *publishing) every(ctx context.Context) error {
	p.progress("a version for every service")
	left := make(chan int)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var sides sync.WaitGroup
	var mu sync.Mutex
	var all []published
	began := time.Now()
	for range publishersAtOnce {
		sides.Go(func() {
			for service := range left {
				v, err := p.one(ctx, service)
				if err != nil {
					cancel(err)
					return
				}
				mu.Lock()
				all = append(all, v)
				mu.Unlock()
			}
		})
	}
	for service := range slices.Max(p.services) + 1 {
		select {
		case left <- service:
		case <-ctx.Done():
		}
	}
	close(left)
	sides.Wait()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	p.add("tool", "all_publish_s", time.Since(began).Seconds())
	if err := p.oneReal(ctx); err != nil {
		return err
	}
	return p.times(ctx, all, "all_")
}

// newest is that each member holds the newest version of its service, and had none that it must not.
func (p *publishing) newest(ctx context.Context) error {
	if err := p.awaitWatchers(ctx, "each holds the newest", &await{Holds: newest(p.all)}); err != nil {
		return err
	}
	takes, err := p.taken(ctx, 0)
	if err == nil {
		_, err = inForce(p.all, p.services, takes)
	}
	return err
}

const (
	summaryWithin = 30 * time.Second
	summaryPause  = 250 * time.Millisecond
)

// summary waits until the coordinators say that all is in force, at all members, and times how long they take to say
// it.
func (p *publishing) summary(ctx context.Context) error {
	p.progress("what is in force")
	last := newest(p.all)
	members := p.size
	if p.machines != nil {
		members += p.o.Real
		last[realService] = p.real[len(p.real)-1].revision
	}
	late := time.Now().Add(summaryWithin)
	for {
		began := time.Now()
		of, said := p.group.operator.InForce(ctx, "")
		took := time.Since(began)
		known, in := 0, 0
		for service, s := range of {
			known += s.Reported
			if s.Newest == last[service] {
				in += s.InForce
			}
		}
		if len(of) == len(last) && known == members && in == members {
			p.add("tool", "summary_s", took.Seconds())
			return nil
		}
		if time.Now().After(late) {
			err := fmt.Errorf("the coordinators say: in force at %d of %d, in %d services; %d members, %d services",
				in, known, len(of), members, len(last))
			for _, s := range said {
				err = errors.Join(err, s.Err)
			}
			return err
		}
		if err := wait(ctx, summaryPause); err != nil {
			return err
		}
	}
}
