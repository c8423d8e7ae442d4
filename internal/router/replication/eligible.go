package replication

import (
	"maps"
	"slices"
	"time"
)

// eligibleReplicas are the routers that could be members: they have a disk, and a zone that may have a core member.
type eligibleReplicas struct {
	byID        map[string]Member
	lastAddedAt time.Duration
}

// add adds a replica, or replaces what is known of it.
func (e *eligibleReplicas) add(m Member, now time.Duration) {
	if _, ok := e.byID[m.ID]; !ok {
		e.lastAddedAt = now
	}
	e.byID[m.ID] = m
}

// AddEligible adds a replica that can be a member. The shell calls it whenever it learns of one, as often as it likes.
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

// seedIdentity is the identity under which a seed votes for the first view.
func seedIdentity(address string) string { return "seed/" + address }

// bootstrapView returns the view that the first view follows: the seeds are its members.
func (r *Replica) bootstrapView() View {
	var v View
	for _, seed := range r.Seeds {
		v.Members = append(v.Members, Member{ID: seedIdentity(seed), Address: seed})
	}
	v.Old = v.Members
	return v
}

// noViewYet reports whether this replica knows of no view at all, neither in force nor accepted.
func (r *Replica) noViewYet() bool {
	return r.knownView.Epoch.Round == 0 && r.hard.Accepted.Epoch.Round == 0
}

// bootstrapDelay is how long after the last newcomer this replica proposes the first view: the one with the smallest
// address first.
func (r *Replica) bootstrapDelay() time.Duration {
	rank := 0
	for _, m := range r.eligible.byID {
		if m.Address < r.Self.Address {
			rank++
		}
	}
	return bootstrapQuietTime + time.Duration(rank)*bootstrapStagger
}

// contacts returns the addresses of all whose promise may be needed, in order, without this replica's.
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

// sortedKeys returns a map's keys in order: what a replica does follows from its events alone, also in which order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
