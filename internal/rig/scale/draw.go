package scale

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

// member is one that was drawn.
type member struct{ Name, Zone string }

// drawMember draws the member of a number: the same in every process, and in every run with this seed.
func drawMember(seed uint64, number int) member {
	r := rand.New(rand.NewPCG(seed, uint64(number)))
	return member{fmt.Sprintf("n%05d-%08x", number, r.Uint32()), string(rune('a' + r.IntN(3)))}
}

// What services are like.
const (
	// Of the fleet that is asked about: 1,100 services of 12,000 members.
	servicesOf, membersOf = 1100, 12_000
	// evenUpTo is the rank up to which services are of about one size; from there on they fall with it. The largest
	// of 12,000 members has some 600.
	evenUpTo = 3
)

// drawServices draws the service of each of so many members, by number: each service has one at least, and sizes are
// uneven.
func drawServices(seed uint64, members int) []int {
	services := max(1, members*servicesOf/membersOf)
	r := rand.New(rand.NewPCG(seed, uint64(members)<<32))
	sums := make([]float64, services)
	sum := 0.0
	for i := range sums {
		sum += 1 / float64(i+evenUpTo)
		sums[i] = sum
	}
	all := make([]int, members)
	for i := range all {
		if all[i] = i; i >= services {
			all[i], _ = slices.BinarySearch(sums, r.Float64()*sum)
			all[i] = min(all[i], services-1)
		}
	}
	r.Shuffle(members, func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// serviceName names one.
func serviceName(number int) string { return fmt.Sprintf("s%04d", number) }

// contentBytes is the size of a version's content.
const contentBytes = 4 << 10

// contentHead is what the content of a service's versions begins with, so that another's is seen.
func contentHead(service string) []byte { return fmt.Appendf(nil, `{"for":%q,`, service) }

// letters are what contents are filled with: 64, so that a content that is compressed on its way keeps three quarters of its bytes.
const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"

// content is that of a service's version; no two of a run are the same.
func content(service string, number int) []byte {
	text := fmt.Appendf(contentHead(service), `"n":%d,"fill":"`, number)
	name := fnv.New64a()
	name.Write([]byte(service))
	r := rand.New(rand.NewPCG(name.Sum64(), uint64(number)))
	for len(text) < contentBytes-2 {
		text = append(text, letters[r.IntN(len(letters))])
	}
	return append(text, `"}`...)
}
