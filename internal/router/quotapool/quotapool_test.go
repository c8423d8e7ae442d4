package quotapool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/proximity"
	"petrelhook/internal/router/quota"
	"petrelhook/internal/router/replication"
)

const primary = "10.0.2.1:7000"

var members = []replication.Member{
	{ID: "p", Address: primary, Zone: "z1"},
	{ID: "n", Address: "10.0.1.9:7000", Zone: "z1"},
	{ID: "f", Address: "10.0.3.9:7000", Zone: "z3"},
}

func newContributor() *Contributor {
	return NewContributor(proximity.Locality{Zone: "z1", Region: "r1", RegionOf: map[string]string{"z1": "r1", "z3": "r2"}})
}

// The host is in the router's zone and is not the primary. The router sends it offers until it requests the deposit.
func TestOffersEndWithTheHostsRequest(t *testing.T) {
	c := newContributor()
	require.False(t, c.Active(0))
	host, ok := c.Offer(members, primary, 0, time.Second)
	require.True(t, ok)
	require.Equal(t, "10.0.1.9:7000", host)
	_, ok = c.Offer(members, primary, 0, time.Second+OfferInterval-1)
	require.False(t, ok, "less than OfferInterval after the last offer")
	c.RecordCollection(time.Second + OfferInterval)
	require.True(t, c.Active(time.Second+OfferInterval))
	_, ok = c.Offer(members, primary, 0, time.Second+2*OfferInterval)
	require.False(t, ok, "the host has the deposit")
	require.False(t, c.Active(time.Second+OfferInterval+collectionValidity), "the host has stopped sending requests")
}

// A host that does not answer a request is avoided for hostRetryDelay, but another host is chosen only after the deposit
// has expired.
func TestAHostThatTimedOutIsAvoided(t *testing.T) {
	c := newContributor()
	now := time.Second
	near, _ := c.Offer(members, primary, 0, now)
	c.RecordCollection(now)
	c.HostTimedOut(near, now)
	require.False(t, c.Active(now))
	require.True(t, c.Avoids(near, now+hostRetryDelay-1))
	require.False(t, c.Avoids(near, now+hostRetryDelay))
	depositEnd := now + 2*OfferInterval
	host, _ := c.Offer(members, primary, depositEnd, now+OfferInterval)
	require.Equal(t, near, host, "the host still has the deposit")
	host, _ = c.Offer(members, primary, depositEnd, depositEnd)
	require.Equal(t, "10.0.3.9:7000", host)
}

// A host requests a deposit periodically, and stops after an empty deposit or OfferValidity without an answer.
func TestAHostRequestsDeposits(t *testing.T) {
	h := NewHost()
	h.SetLimits(map[string]quota.Limit{"t": {Rate: 100, Burst: 100}})
	deposit := quota.Deposit{Standing: 0.5, For: time.Hour}
	now := time.Second
	h.ReceiveOffer("a", now)
	require.Equal(t, []string{"a"}, h.DueForCollection(now))
	h.Collect("a", 7, now)
	require.Empty(t, h.DueForCollection(now+CollectInterval-1))
	h.ReceiveDeposit("a", 6, deposit, now)
	require.Zero(t, h.Deposits(now), "the deposit answers another request")
	h.ReceiveDeposit("a", 7, deposit, now)
	require.Equal(t, 1, h.Deposits(now))
	require.Equal(t, []string{"a"}, h.DueForCollection(now+CollectInterval))
	h.Collect("a", 8, now+CollectInterval)
	h.ReceiveDeposit("a", 8, quota.Deposit{}, now+CollectInterval)
	require.Zero(t, h.Deposits(now+CollectInterval))
	require.Zero(t, h.Offers())

	h.ReceiveOffer("b", now)
	require.Empty(t, h.DueForCollection(now+OfferValidity+1))
	require.Zero(t, h.Offers())
}
