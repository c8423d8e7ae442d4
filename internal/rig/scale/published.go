package scale

import (
	"cmp"
	"fmt"
	"slices"

	"petrelhook/internal/coordination/distribute"
)

// published is a version that was accepted.
type published struct {
	service  int
	revision distribute.Revision
	proposed int64 // in ns of the machine's monotonic clock
	accepted int64 // the same clock
}

// inForce is how long after the acceptance of each version each member of its service had it or a newer one, in seconds, ascending.
// services is the service of each member; takes are all adoptions from the first of these versions on, each member's in its order.
// It is an error if a member adopted a version of another service, the same or an older version again, or never one that it
// should have.
func inForce(all []published, services []int, adoptions []adoption) (delays []float64, err error) {
	serviceOf := map[distribute.Revision]int{}
	byService := map[int][]published{}
	for _, v := range all {
		serviceOf[v.revision] = v.service
		byService[v.service] = append(byService[v.service], v)
	}
	byMember := map[int][]adoption{}
	for _, t := range adoptions {
		if t.Member < 0 || t.Member >= len(services) {
			return nil, fmt.Errorf("there is no member %d", t.Member)
		}
		if service, known := serviceOf[t.Revision]; !known || service != services[t.Member] {
			return nil, fmt.Errorf("member %d of %s took revision %d, which is not its service's", t.Member,
				serviceName(services[t.Member]), t.Revision)
		}
		was := byMember[t.Member]
		if len(was) > 0 && was[len(was)-1].Revision >= t.Revision {
			return nil, fmt.Errorf("member %d took revision %d after %d", t.Member, t.Revision, was[len(was)-1].Revision)
		}
		byMember[t.Member] = append(was, t)
	}
	for m, service := range services {
		for _, v := range byService[service] {
			i, _ := slices.BinarySearchFunc(byMember[m], v.revision, func(t adoption, r distribute.Revision) int {
				return cmp.Compare(t.Revision, r)
			})
			if i == len(byMember[m]) {
				return nil, fmt.Errorf("member %d of %s never took revision %d", m, serviceName(service), v.revision)
			}
			delays = append(delays, max(0, float64(byMember[m][i].Time-v.accepted)/1e9))
		}
	}
	slices.Sort(delays)
	return delays, nil
}

// newest is the newest revision of each service, by its name.
func newest(all []published) map[string]distribute.Revision {
	last := map[string]distribute.Revision{}
	for _, v := range all {
		last[serviceName(v.service)] = max(last[serviceName(v.service)], v.revision)
	}
	return last
}
