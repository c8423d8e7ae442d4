package scale

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

// member is the name and zone of a member.
type member struct{ Name, Zone string }

// drawMember draws the member of a number: the same in every process, and in every run with this seed.
func drawMember(seed uint64, number int) member {
	r := rand.New(rand.NewPCG(seed, uint64(number)))
	return member{fmt.Sprintf("n%05d-%08x", number, r.Uint32()), string(rune('a' + r.IntN(3)))}
}

// The model of services and their sizes.
const (
	// The fleet in question has 1,100 services with 12,000 members.
	modelServices, modelMembers = 1100, 12_000
	// evenUpTo is the rank up to which services have about the same size; beyond it the size falls with the rank. The largest of
	// 12,000 members has some 600.
	evenUpTo = 3
)

// drawServices draws the service of each member, by the member's number. Each service has one member at least; sizes are uneven.
func drawServices(seed uint64, members int) []int {
	services := max(1, members*modelServices/modelMembers)
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

// serviceName is the name of the service with a number.
func serviceName(number int) string { return fmt.Sprintf("s%04d", number) }

// contentBytes is the size of a version's content.
const contentBytes = 4 << 10

// contentPrefix is what each content of a service begins with, so that a content of another service is detected.
func contentPrefix(service string) []byte { return fmt.Appendf(nil, `{"for":%q,`, service) }

// fillAlphabet are the characters that contents are filled with: 64, so that compression leaves three quarters of the bytes.
const fillAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"

// content is the content of a version; no two of a run are the same.
func content(service string, number int) []byte {
	text := fmt.Appendf(contentPrefix(service), `"n":%d,"fill":"`, number)
	name := fnv.New64a()
	name.Write([]byte(service))
	r := rand.New(rand.NewPCG(name.Sum64(), uint64(number)))
	for len(text) < contentBytes-2 {
		text = append(text, fillAlphabet[r.IntN(len(fillAlphabet))])
	}
	return append(text, `"}`...)
}
