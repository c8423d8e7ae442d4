package dissemination

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"petrelhook/internal/router/routetable"
)

func configuration(t require.TestingT, generation int) *routetable.Config {
	c, err := routetable.ParseConfig(fmt.Appendf(nil, `{"Generation":%d,"Routes":[],"Services":[]}`, generation))
	require.NoError(t, err)
	return c
}

// applyGeneration implements ApplyOrder for orders that consist of the next generation number.
func applyGeneration(base *routetable.Config, order []byte) (*routetable.Config, error) {
	var generation int
	if _, err := fmt.Sscan(string(order), &generation); err != nil {
		return nil, err
	}
	if base == nil || base.Generation+1 != int64(generation) {
		return nil, fmt.Errorf("generation %d does not follow", generation)
	}
	return routetable.ParseConfig(fmt.Appendf(nil, `{"Generation":%d,"Routes":[],"Services":[]}`, generation))
}

// Whichever pushes are lost, duplicated or delayed, a subscriber's version never decreases and always matches the
// configuration held, and one push for the version that the subscriber holds brings it to the newest version.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		home, subscriber := NewVersions(applyGeneration), NewVersions(applyGeneration)
		var inFlight []Push
		assumedVersion := uint64(0)
		for version := uint64(1); version <= uint64(rapid.IntRange(1, 150).Draw(t, "versions")); version++ {
			require.True(t, home.Commit(version, configuration(t, int(version)), [][]byte{fmt.Append(nil, version)}))
			var p Push
			home.FillPush(&p, assumedVersion)
			inFlight = append(inFlight, p)
			assumedVersion = version
			for range rapid.IntRange(0, 2).Draw(t, "arrivals") {
				before := subscriber.Version()
				subscriber.ApplyPush(&inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")])
				require.GreaterOrEqual(t, subscriber.Version(), before)
				if subscriber.Version() > 0 {
					require.EqualValues(t, subscriber.Version(), subscriber.Config().Generation)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "reports its version") == 0 {
				assumedVersion = subscriber.Version()
			}
		}
		var last Push
		home.FillPush(&last, subscriber.Version())
		_, err := subscriber.ApplyPush(&last)
		require.NoError(t, err)
		require.Equal(t, home.Version(), subscriber.Version())
	})
}

// A subscriber that is far behind, or has no configuration, gets a snapshot; one that is slightly behind gets the
// orders.
func TestOrdersOrASnapshot(t *testing.T) {
	home := NewVersions(applyGeneration)
	for version := 1; version <= maxRetainedOrders+10; version++ {
		home.Commit(uint64(version), configuration(t, version), [][]byte{fmt.Append(nil, version)})
	}
	for subscriberVersion, wantSnapshot := range map[uint64]bool{0: true, 3: true, 10: false, maxRetainedOrders + 9: false} {
		var p Push
		home.FillPush(&p, subscriberVersion)
		require.Equal(t, wantSnapshot, len(p.Snapshot) > 0, "has %d", subscriberVersion)
		require.Equal(t, wantSnapshot, len(p.Orders) == 0, "has %d", subscriberVersion)
	}
	var p Push
	home.FillPush(&p, home.Version())
	require.Empty(t, p.Orders)
	require.Empty(t, p.Snapshot)

	behind := NewVersions(applyGeneration)
	home.FillPush(&p, home.Version()-1)
	_, err := behind.ApplyPush(&p)
	require.ErrorIs(t, err, ErrVersionGap)
}
