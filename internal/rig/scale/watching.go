package scale

import (
	"context"
	"fmt"
	"time"

	"petrelhook/internal/coordination/distribute"
)

// restWindow is the least window of watchers at rest: they have all begun within two seconds, so over a time that is
// no multiple of that between two asks (a hold, drawn from 3/4 of it to the whole) one would count too many or too few.
func restWindow() time.Duration { return 2 * meanHold() }

func meanHold() time.Duration { return subscriber().MaxWait * 7 / 8 }

// subscriber are the options that agents' clients have.
func subscriber() distribute.SubscriberOptions {
	return distribute.DefaultSubscriberOptions("", "", coordinators, nil)
}

// watches is N agents that wait for versions, at rest.
func (r *run) watches(ctx context.Context) error {
	if err := r.joinWatchers(ctx); err != nil {
		return err
	}
	if err := r.joinMachines(ctx, restCalls); err != nil {
		return err
	}
	before, after, err := r.window(ctx, max(r.o.Steady, restWindow()))
	if err != nil {
		return err
	}
	r.roles(before, after, "")
	if err := r.stopServing(); err != nil {
		return err
	}
	if _, err := r.taken(ctx, 0); err != nil { // nothing that is wrong either
		return err
	}
	return r.state(ctx, "leader", "")
}

// joinWatchers returns when each has been answered, which is when its first hold has ended: one whose first ask was
// refused comes later.
func (r *run) joinWatchers(ctx context.Context) error {
	r.progress("members join")
	_, err := r.crew.ask(ctx, func(s span) question {
		return question{Join: &join{Workload: r.workload, Coordinators: r.group.inOrder(), Members: s, Size: r.size,
			Seed: r.o.Seed}}
	})
	if err != nil {
		return err
	}
	return r.awaitWatchers(ctx, "members are answered", &await{Calls: 1})
}

// joinMachines starts the real machines, if there are any, and returns when each has a sidecar that serves and waits
// for versions at a coordinator.
func (r *run) joinMachines(ctx context.Context, calls float64) (err error) {
	if r.o.Real == 0 {
		return nil
	}
	r.progress("real agents and sidecars start")
	if r.machines, err = newMachines(r.o, r.family, r.dir, r.group.inOrder()); err != nil {
		return err
	}
	if r.serving, err = r.machines.serve(ctx, r.o.Real, calls, r.failed); err != nil {
		return err
	}
	r.progress("real agents wait")
	return until(ctx, "each real agent waits at a coordinator", func() bool {
		return r.group.known(ctx, realService) == r.o.Real
	})
}

// stopServing ends the real machines, and is an error where a rule was broken.
func (r *run) stopServing() error {
	if r.serving == nil {
		return nil
	}
	r.progress("the real sidecars' load is judged")
	err := r.serving.stop()
	r.serving = nil
	return err
}

// takenWithin is for how long watchers are waited for.
const takenWithin = time.Minute

// awaitWatchers waits until something holds of all.
func (r *run) awaitWatchers(ctx context.Context, what string, a *await) error {
	ctx, cancel := context.WithTimeoutCause(ctx, takenWithin, fmt.Errorf("not within %v: %s", takenWithin, what))
	defer cancel()
	_, err := r.crew.ask(ctx, func(span) question { return question{Await: a} })
	return err
}

// taken is what members took from a revision on, each member's in its order.
func (r *run) taken(ctx context.Context, from distribute.Revision) (all []take, err error) {
	answers, err := r.crew.ask(ctx, func(span) question { return question{Taken: &taken{from}} })
	for _, a := range answers {
		all = append(all, a.Takes...)
	}
	return all, err
}
