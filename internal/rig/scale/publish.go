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
	publishersAtOnce = 8 // when a version is published for every service
	// busyInterval is the interval of the busiest minute: ten times the mean rate of 11,000 changes a day.
	busyInterval  = 24 * time.Hour / 11_000 / 10
	minBusyWindow = 8 * time.Second
)

// publish measures subscribers while versions are published: one after the other; at the rate of the busiest minute; one for every
// service at once; and, at some sizes, while a coordinator is killed.
func (r *run) publish(ctx context.Context) error {
	if err := r.joinSubscribers(ctx); err != nil {
		return err
	}
	if err := r.joinMachines(ctx, busyCallsPerSecond); err != nil {
		return err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	p := &publisher{run: r, services: drawServices(r.options.Seed, r.size),
		rand: rand.New(rand.NewPCG(r.options.Seed, uint64(r.number)))}
	steps := []func(context.Context) error{p.ordinary, p.busy, p.everyService}
	if r.size == killSize || r.size == r.options.CheckSize {
		steps = append(steps, p.killFollower, p.killLeader)
	}
	if r.machines != nil {
		following, end := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { defer close(ended); r.machines.pollStates(following) }()
		defer func() { end(); <-ended }()
		steps = append(append([]func(context.Context) error{p.quiet}, steps...), p.handOver)
		if r.size == killSize {
			steps = append(steps, p.compare)
		}
	}
	for _, step := range append(steps, p.checkNewest, p.summary) {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if err := r.stopServing(); err != nil {
		return err
	}
	return r.state(ctx, "leader", "")
}

// publisher is the state of a run of Publishing.
type publisher struct {
	*run
	services []int // the service of each member, by its number
	rand     *rand.Rand

	mu       sync.Mutex
	contents int // that were made; numbers them
	all      []published

	real          []published // versions of the real machines' service
	realReported  int         // how many of real have their times added
	quietSince    time.Time   // when the time without versions began
	quantumMillis int         // the quantum in the real sidecars' settings; 0: that of their release
}

// publishTo publishes a new version of a service, and returns when it is accepted.
func (p *publisher) publishTo(ctx context.Context, service int) (published, error) {
	p.mu.Lock()
	p.contents++
	text := content(serviceName(service), p.contents)
	p.mu.Unlock()
	v, err := p.publishVersion(ctx, serviceName(service), text)
	v.service = service
	if err != nil {
		return v, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, v)
	return v, nil
}

// publishVersion publishes a content as a version of a service, and returns when it is accepted.
func (p *publisher) publishVersion(ctx context.Context, service string, text []byte) (v published, err error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	v.proposed = int64(monotonic.Now())
	if v.revision, _, err = p.group.operator.Publish(ctx, service, text, false); err != nil {
		return v, fmt.Errorf("a version of %s is not accepted: %w", service, err)
	}
	v.accepted = int64(monotonic.Now())
	return v, nil
}

// publishDrawn publishes a version of a service that is drawn, each with the same probability.
func (p *publisher) publishDrawn(ctx context.Context) (published, error) {
	return p.publishTo(ctx, p.rand.IntN(slices.Max(p.services)+1))
}

// addTimes waits until these versions, or newer ones, are adopted, and adds points on how long each took at each member.
func (p *publisher) addTimes(ctx context.Context, all []published, prefix string) error {
	if err := p.awaitSubscribers(ctx, "versions are taken", &condition{Revisions: newest(all)}); err != nil {
		return err
	}
	first := slices.MinFunc(all, func(a, b published) int { return int(a.revision) - int(b.revision) })
	adoptions, err := p.adoptedSince(ctx, first.revision)
	if err != nil {
		return err
	}
	took, err := inForce(all, p.services, adoptions)
	if err != nil {
		return err
	}
	slowest := int64(0)
	for _, v := range all {
		slowest = max(slowest, v.accepted-v.proposed)
	}
	p.add("tool", prefix+"accepted_max_s", seconds(slowest)) // from its proposal; in_force counts from its acceptance
	p.add("member", prefix+"in_force_p50_s", took[len(took)/2])
	p.add("member", prefix+"in_force_p99_s", took[len(took)*99/100])
	p.add("member", prefix+"in_force_max_s", took[len(took)-1])
	return p.addRealTimes(ctx, prefix)
}

// ordinary publishes one version after the other, each once the one before is in force.
func (p *publisher) ordinary(ctx context.Context) error {
	p.progress("versions, one after the other")
	var all []published
	for range ordinaryVersions {
		v, err := p.publishDrawn(ctx)
		if err != nil {
			return err
		}
		all = append(all, v)
		if err := p.awaitSubscribers(ctx, "a version is taken", &condition{Revisions: newest(all[len(all)-1:])}); err != nil {
			return err
		}
		if err := p.realInForce(ctx); err != nil {
			return err
		}
	}
	return p.addTimes(ctx, all, "")
}

// busy publishes versions at the rate of the busiest minute, and measures a window of that.
func (p *publisher) busy(ctx context.Context) error {
	p.progress("versions at the rate of the busiest minute")
	leader := p.group.currentLeader(ctx)
	before, err := p.observe(ctx)
	if err != nil {
		return err
	}
	all, err := p.atRate(ctx, nil)
	if err != nil {
		return err
	}
	after, err := p.observe(ctx)
	if err != nil {
		return err
	}
	if now := p.group.currentLeader(ctx); leader < 0 || now != leader {
		return fmt.Errorf("coordinator %d led before the versions, and %d after them (0: none)", leader+1, now+1)
	}
	p.group.leader = leader
	p.roles(before, after, "busy_")
	return p.addTimes(ctx, all, "busy_")
}

// atRate publishes drawn versions at the rate of the busiest minute for the length of a window, and calls halfway (if not nil)
// once in its middle. Versions that are late, as while no coordinator leads, follow one another without a pause.
func (p *publisher) atRate(ctx context.Context, halfway func() error) (all []published, err error) {
	duration := max(p.options.Window, minBusyWindow)
	began := time.Now()
	for i := 0; ; i++ {
		scheduled := began.Add(time.Duration(i) * busyInterval)
		if scheduled.Sub(began) >= duration {
			return all, sleep(ctx, time.Until(began.Add(duration)))
		}
		if err := sleep(ctx, time.Until(scheduled)); err != nil {
			return nil, err
		}
		if halfway != nil && scheduled.Sub(began) >= duration/2 {
			if err := halfway(); err != nil {
				return nil, err
			}
			halfway = nil
		}
		v, err := p.publishDrawn(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, v)
		if i%realEvery == 0 {
			if err := p.publishReal(ctx); err != nil {
				return nil, err
			}
		}
	}
}

// everyService publishes a version for each service, as fast as the log takes them.
func (p *publisher) everyService(ctx context.Context) error {
	p.progress("a version for every service")
	services := make(chan int)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var publishers sync.WaitGroup
	var mu sync.Mutex
	var all []published
	began := time.Now()
	for range publishersAtOnce {
		publishers.Go(func() {
			for service := range services {
				v, err := p.publishTo(ctx, service)
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
		case services <- service:
		case <-ctx.Done():
		}
	}
	close(services)
	publishers.Wait()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	p.add("tool", "all_publish_s", time.Since(began).Seconds())
	if err := p.publishReal(ctx); err != nil {
		return err
	}
	return p.addTimes(ctx, all, "all_")
}

// checkNewest checks that each member has the newest version of its service, and never had one of another service or an older one
// after a newer.
func (p *publisher) checkNewest(ctx context.Context) error {
	if err := p.awaitSubscribers(ctx, "each holds the newest", &condition{Revisions: newest(p.all)}); err != nil {
		return err
	}
	adoptions, err := p.adoptedSince(ctx, 0)
	if err == nil {
		_, err = inForce(p.all, p.services, adoptions)
	}
	return err
}

const (
	summaryTimeout  = 30 * time.Second
	summaryInterval = 250 * time.Millisecond
)

// summary waits until the coordinators report that the newest versions are in force at all members, and times that report.
func (p *publisher) summary(ctx context.Context) error {
	p.progress("what is in force")
	last := newest(p.all)
	members := p.size
	if p.machines != nil {
		members += p.options.RealMachines
		last[realService] = p.real[len(p.real)-1].revision
	}
	deadline := time.Now().Add(summaryTimeout)
	for {
		began := time.Now()
		services, replies := p.group.operator.InForce(ctx, "")
		took := time.Since(began)
		known, in := 0, 0
		for service, s := range services {
			known += s.Reported
			if s.Newest == last[service] {
				in += s.InForce
			}
		}
		if len(services) == len(last) && known == members && in == members {
			p.add("tool", "summary_s", took.Seconds())
			return nil
		}
		if time.Now().After(deadline) {
			err := fmt.Errorf("the coordinators say: in force at %d of %d, in %d services; %d members, %d services",
				in, known, len(services), members, len(last))
			for _, s := range replies {
				err = errors.Join(err, s.Err)
			}
			return err
		}
		if err := sleep(ctx, summaryInterval); err != nil {
			return err
		}
	}
}
