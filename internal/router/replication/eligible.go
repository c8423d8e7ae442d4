package replication

import (
	"maps"
	"slices"
	"time"
)

// eligibleReplicas are the routers that may become members: they have a disk, and a zone that may have a core member.
type eligibleReplicas struct {
	byID        map[string]Member
	lastAddedAt time.Duration // when a replica with a new ID was added last
}

// add adds a replica, or replaces the entry with its ID.
func (e *eligibleReplicas) add(m Member, now time.Duration) {
	if _, ok := e.byID[m.ID]; !ok {
		e.lastAddedAt = now
	}
	e.byID[m.ID] = m
}

// AddEligible adds a replica that may become a member. The shell calls it whenever it learns of one; repeated calls do no
// harm.
func (r *Replica) AddEligible(m Member) { r.eligible.add(m, r.now) }

// voters returns the identities with which this process votes as a witness: its disk's, and its address as a seed of
// the first start.
func (r *Replica) voters() []string {
	var ids []string
	if !r.Diskless {
		ids = append(ids, r.Self.ID)
	}
	if r.hard.Genesis && slices.Contains(r.Seeds, r.Self.Address) {
		ids = append(ids, seedIdentity(r.Self.Address))
	}
	return ids
}

// seedIdentity returns the identity under which the seed at an address votes for the first view.
func seedIdentity(address string) string { return "seed/" + address }

// bootstrapView returns the placeholder that the first view is built on: its members are the seeds.
func (r *Replica) bootstrapView() View {
	var v View
	for _, seed := range r.Seeds {
		v.Members = append(v.Members, Member{ID: seedIdentity(seed), Address: seed})
	}
	v.Old = v.Members
	return v
}

// noViewYet reports whether this replica knows of no view, neither of one in force nor of an accepted one.
func (r *Replica) noViewYet() bool {
	return r.knownView.Epoch.Round == 0 && r.hard.Accepted.Epoch.Round == 0
}

// bootstrapDelay returns how long after the last newly discovered replica this replica proposes the first view. The replica
// with the smallest address has the shortest delay.
func (r *Replica) bootstrapDelay() time.Duration {
	rank := 0
	for _, m := range r.eligible.byID {
		if m.Address < r.Self.Address {
			rank++
		}
	}
	return bootstrapQuietTime + time.Duration(rank)*bootstrapStagger
}

// contacts returns the addresses of all replicas whose promise may be needed, sorted, without this replica's.
func (r *Replica) contacts() []string {
	addresses := map[string]bool{}
	views := []View{r.knownView, r.hard.Accepted, r.election.newestView}
	if r.noViewYet() {
		views = append(views, r.bootstrapView())
	}
	for _, v := range views {
		for _, m := range v.Members {
			addresses[m.Address] = true
		}
		for _, m := range v.Old {
			addresses[m.Address] = true
		}
	}
	for _, m := range r.eligible.byID {
		addresses[m.Address] = true
	}
	delete(addresses, r.Self.Address)
	return sortedKeys(addresses)
}

// sortedKeys returns a map's keys in ascending order. Iterating in this order keeps a replica deterministic.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
