package homeselection

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/proximity"
	"petrelhook/internal/router/replication"
)

func member(address, zone string) replication.Member {
	return replication.Member{ID: address + "/id", Address: address, Zone: zone}
}

func TestHomesAreInTheOwnZoneThenTheRegion(t *testing.T) {
	s := New("127.0.0.1:7000", proximity.Locality{Zone: "z1", Region: "r1", RegionOf: map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}})
	far, near, here := member("10.0.3.1:7000", "z3"), member("10.0.2.1:7000", "z2"), member("10.0.1.1:7000", "z1")
	require.Equal(t, here.Address, s.best([]replication.Member{far, near, here}, 0))
	withoutOwnZone := []replication.Member{far, near}
	require.Equal(t, near.Address, s.best(withoutOwnZone, 0))
	s.avoidedUntil = map[string]time.Duration{near.Address: time.Second}
	require.Equal(t, far.Address, s.best(withoutOwnZone, 0))
	require.Equal(t, near.Address, s.best(withoutOwnZone, 2*time.Second))
}
