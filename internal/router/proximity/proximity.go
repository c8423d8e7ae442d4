// Package proximity ranks the members of the core by their distance from a router: its own zone first, then its region,
// then the others. It is pure.
package proximity

import (
	"cmp"
	"hash/fnv"
	"slices"

	"petrelhook/internal/router/replication"
)

// Locality is where a router is.
type Locality struct {
	Zone     string
	Region   string
	RegionOf map[string]string // by zone
}

// distance is how far a member is from a router.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

func (l Locality) distance(zone string) distance {
	switch {
	case zone == l.Zone:
		return sameZone
	case l.RegionOf[zone] == l.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// candidate is a member with what it is ranked by.
type candidate struct {
	address  string
	avoided  bool
	distance distance
	hash     uint32
}

func (c candidate) compare(other candidate) int {
	if c.avoided != other.avoided {
		if c.avoided {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(c.distance, other.distance), cmp.Compare(c.hash, other.hash))
}

// Nearest returns the address of the nearest member, or "" where there is none. A member that is to be avoided is taken
// only where all are. Among members at the same distance rendezvous hashing of a key decides: routers with the same key
// choose the same member, and different keys spread over the members.
func (l Locality) Nearest(members []replication.Member, key string, avoided func(address string) bool) string {
	if len(members) == 0 {
		return ""
	}
	candidates := make([]candidate, 0, len(members))
	for _, m := range members {
		hash := fnv.New32a()
		hash.Write([]byte(key + m.Address))
		candidates = append(candidates, candidate{m.Address, avoided(m.Address), l.distance(m.Zone), hash.Sum32()})
	}
	return slices.MinFunc(candidates, candidate.compare).address
}
