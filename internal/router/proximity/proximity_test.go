package proximity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/replication"
)

func TestNearest(t *testing.T) {
	locality := Locality{Zone: "z1", Region: "r1", RegionOf: map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}}
	far := replication.Member{Address: "10.0.3.1:7000", Zone: "z3"}
	near := replication.Member{Address: "10.0.2.1:7000", Zone: "z2"}
	here := replication.Member{Address: "10.0.1.1:7000", Zone: "z1"}
	for name, c := range map[string]struct {
		members []replication.Member
		avoided []string
		want    string
	}{
		"none":                  {nil, nil, ""},
		"the own zone":          {[]replication.Member{far, near, here}, nil, here.Address},
		"the own region":        {[]replication.Member{far, near}, nil, near.Address},
		"another region":        {[]replication.Member{far}, nil, far.Address},
		"not the one avoided":   {[]replication.Member{far, near, here}, []string{here.Address}, near.Address},
		"avoided where all are": {[]replication.Member{far, here}, []string{here.Address, far.Address}, here.Address},
	} {
		avoided := func(address string) bool {
			for _, a := range c.avoided {
				if a == address {
					return true
				}
			}
			return false
		}
		require.Equal(t, c.want, locality.Nearest(c.members, "key", avoided), name)
	}
}

// Routers with the same key choose the same member, whatever the order of the members. Different keys are spread over
// the members of a zone.
func TestKeysSpreadOverAZone(t *testing.T) {
	a, b := replication.Member{Address: "10.0.1.1:7000", Zone: "z"}, replication.Member{Address: "10.0.1.2:7000", Zone: "z"}
	chosen := map[string]int{}
	for _, key := range []string{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8", "k9", "k10"} {
		avoidNone := func(string) bool { return false }
		first := Locality{Zone: "z"}.Nearest([]replication.Member{a, b}, key, avoidNone)
		require.Equal(t, first, Locality{Zone: "z"}.Nearest([]replication.Member{b, a}, key, avoidNone))
		chosen[first]++
	}
	require.Len(t, chosen, 2)
}
