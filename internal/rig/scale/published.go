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
	asked    int64 // when it was asked for, in ns of the machine's monotonic clock
	accepted int64 // and accepted
}

// inForce is how long after each version was accepted each member of its service had it or a newer one, in seconds,
// the shortest first. services is that of each member; takes are all from the first of these versions on, each
// member's in its order. It is an error where a member took what is not its service's, the same or an older one
// again, or never what it should.
func inForce(all []published, services []int, takes []take) (took []float64, err error) {
	of := map[distribute.Revision]int{}
	by := map[int][]published{}
	for _, v := range all {
		of[v.revision] = v.service
		by[v.service] = append(by[v.service], v)
	}
	byMember := map[int][]take{}
	for _, t := range takes {
		if t.Member < 0 || t.Member >= len(services) {
			return nil, fmt.Errorf("there is no member %d", t.Member)
		}
		if service, known := of[t.Revision]; !known || service != services[t.Member] {
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
		for _, v := range by[service] {
			i, _ := slices.BinarySearchFunc(byMember[m], v.revision, func(t take, r distribute.Revision) int {
				return cmp.Compare(t.Revision, r)
			})
			if i == len(byMember[m]) {
				return nil, fmt.Errorf("member %d of %s never took revision %d", m, serviceName(service), v.revision)
			}
			took = append(took, max(0, float64(byMember[m][i].At-v.accepted)/1e9))
		}
	}
	slices.Sort(took)
	return took, nil
}

// newest is the last revision of each service.
func newest(all []published) map[string]distribute.Revision {
	last := map[string]distribute.Revision{}
	for _, v := range all {
		last[serviceName(v.service)] = max(last[serviceName(v.service)], v.revision)
	}
	return last
}
