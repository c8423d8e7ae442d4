// Package proximity ranks core members by their distance from a router: members in the router's zone first, then those
// in its region, then the others. It is pure.
package proximity

import (
	"cmp"
	"hash/fnv"
	"slices"

	"petrelhook/internal/router/replication"
)

// Locality is the location of a router.
type Locality struct {
	Zone     string
	Region   string
	RegionOf map[string]string // regions of all zones, by zone
}

// distance is the distance of a member from a router.
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

// candidate is a member with the criteria by which it is ranked, in descending order of importance.
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

// Nearest returns the address of the nearest member, or "" if there are no members. It returns a member that is to be
// avoided only if all members are. Among members at the same distance it chooses by rendezvous hashing of key: routers
// with the same key choose the same member, and different keys are spread over the members.
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
