package scale

import (
	"context"
	"fmt"
	"time"

	"petrelhook/internal/coordination/distribute"
)

// minIdleWindow is the shortest window for subscribers that are idle. They have all begun within two seconds, so over a time that
// is no multiple of the time between two of their requests (drawn from 3/4 of MaxWait to the whole) too many or too few would be
// counted.
func minIdleWindow() time.Duration { return 2 * meanPollWait() }

// meanPollWait is the mean time for which a coordinator holds a subscriber's request open.
func meanPollWait() time.Duration { return subscriberOptions().MaxWait * 7 / 8 }

// subscriberOptions are the options of agents' clients.
func subscriberOptions() distribute.SubscriberOptions {
	return distribute.DefaultSubscriberOptions("", "", coordinators, nil)
}

// subscriptions measures agents that wait for versions while none is published.
func (r *run) subscriptions(ctx context.Context) error {
	if err := r.joinSubscribers(ctx); err != nil {
		return err
	}
	if err := r.joinMachines(ctx, idleCallsPerSecond); err != nil {
		return err
	}
	before, after, err := r.window(ctx, max(r.options.Window, minIdleWindow()))
	if err != nil {
		return err
	}
	r.roles(before, after, "")
	if err := r.stopServing(); err != nil {
		return err
	}
	if _, err := r.adoptedSince(ctx, 0); err != nil { // fails if a member adopted what it must not
		return err
	}
	return r.state(ctx, "leader", "")
}

// joinSubscribers returns when each has got a response, which is when its first long poll has ended; that of a member whose first
// request was rejected comes later.
func (r *run) joinSubscribers(ctx context.Context) error {
	r.progress("members join")
	_, err := r.members.call(ctx, func(s span) request {
		return request{Join: &join{Workload: r.workload, Coordinators: r.group.memberAddrs(), Members: s, Size: r.size,
			Seed: r.options.Seed}}
	})
	if err != nil {
		return err
	}
	return r.awaitSubscribers(ctx, "members are answered", &condition{Calls: 1})
}

// joinMachines starts the real machines, if the options have any, and returns when each has a sidecar that serves and an agent that
// waits for versions at a coordinator.
func (r *run) joinMachines(ctx context.Context, calls float64) (err error) {
	if r.options.RealMachines == 0 {
		return nil
	}
	r.progress("real agents and sidecars start")
	if r.machines, err = newRealMachines(r.options, r.processes, r.dir, r.group.memberAddrs()); err != nil {
		return err
	}
	if r.serving, err = r.machines.serve(ctx, r.options.RealMachines, calls, r.fail); err != nil {
		return err
	}
	r.progress("real agents wait")
	return pollUntil(ctx, "each real agent waits at a coordinator", func() bool {
		return r.group.knownSidecars(ctx, realService) == r.options.RealMachines
	})
}

// stopServing ends the real machines. It is an error if their load broke a rule of the audit.
func (r *run) stopServing() error {
	if r.serving == nil {
		return nil
	}
	r.progress("the real sidecars' load is judged")
	err := r.serving.stop()
	r.serving = nil
	return err
}

// adoptionTimeout bounds the wait for all members to adopt a version.
const adoptionTimeout = time.Minute

// awaitSubscribers waits until a condition holds for all hollow members. what names it in the error.
func (r *run) awaitSubscribers(ctx context.Context, what string, a *condition) error {
	ctx, cancel := context.WithTimeoutCause(ctx, adoptionTimeout, fmt.Errorf("not within %v: %s", adoptionTimeout, what))
	defer cancel()
	_, err := r.members.call(ctx, func(span) request { return request{Await: a} })
	return err
}

// adoptedSince returns what members have adopted from a revision on, each member's in its order.
func (r *run) adoptedSince(ctx context.Context, from distribute.Revision) (all []adoption, err error) {
	answers, err := r.members.call(ctx, func(span) request { return request{Adopted: &adoptionsRequest{from}} })
	for _, a := range answers {
		all = append(all, a.Adoptions...)
	}
	return all, err
}
