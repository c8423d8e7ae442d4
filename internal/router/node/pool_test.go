package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/gateway"
	"petrelhook/internal/router/quota"
	"petrelhook/internal/router/quotapool"
	"petrelhook/internal/router/routetable"
)

const limitedTenant = `{"Generation":1,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/","RouteType":"safe","TimeoutMs":5000,"Service":"s","MaxAttempts":1}],
"Services":[{"Name":"s","MaxConnections":50}],"Limits":{"MaxBodyBytes":1000,"MaxHeaderBytes":4000},
"Tenants":[{"Name":"t1","ApiKeys":["k1"],"Unit":"request_based","RatePerS":100,"Burst":100}]}`

// newNodeWithoutPrimary returns a core member, in a fleet of four, that has had no contact with the primary for a minute.
// It holds a lease on half of the limit of t1.
func newNodeWithoutPrimary(t *testing.T) *Node {
	t.Helper()
	n := newNode(t, "")
	n.start = time.Now().Add(-time.Minute)
	n.self.Member = &selfMember
	primary := member("10.0.2.1:7000", "z1")
	n.control.view = view(1, primary, selfMember)
	c, err := routetable.ParseConfig([]byte(limitedTenant))
	require.NoError(t, err)
	n.gateway.SetTable(routetable.Compile(c, nil))
	n.setLimits()
	n.setFleetSize(4)
	nonce := n.gateway.RequestQuotaShares().Nonce
	n.gateway.ApplyQuotaShares(nonce, map[string]float64{"t1": 0.5})
	return n
}

// A router without contact with the primary spends from the pool of its zone, which a core member other than the primary
// hosts. The host adds the deposit of another router only as the answer to its own request.
func TestARouterSpendsFromThePool(t *testing.T) {
	n := newNodeWithoutPrimary(t)
	require.Equal(t, n.self.Address, n.quotas.contributor.ChooseHost(n.control.view.Members, n.control.view.PrimaryAddress(), n.now()))
	first := n.acquireFromPool(context.Background(), "t1", 1000)
	require.Equal(t, gateway.Acquisition{Source: gateway.FromPool, Granted: 1000}, first, "one request may overdraw the bucket")
	require.Positive(t, n.gateway.QuotaPooledUntil(), "the router's own lease is part of the pool now")
	status := n.Status()
	require.True(t, status.LacksPrimary)
	require.Equal(t, n.self.Address, status.PoolHost)
	require.Equal(t, 1, status.Deposits)
	rejected := n.acquireFromPool(context.Background(), "t1", 1)
	require.Equal(t, gateway.FromPool, rejected.Source)
	require.Zero(t, rejected.Granted)
	waitWithOneDeposit := rejected.RetryAfter // 20 s

	const other = "10.0.1.2:7000"
	n.receivePoolOffer(other, n.now())
	nonce := n.lastRequest
	deposit := dissemination.PoolDeposit{Nonce: n.lastRequest + 1, Deposit: quota.Deposit{Standing: 0.5, For: time.Hour}}
	n.receivePoolDeposit(other, deposit, n.now())
	require.Greater(t, n.acquireFromPool(context.Background(), "t1", 1).RetryAfter, waitWithOneDeposit/2+time.Second, "this deposit was not requested")
	deposit.Nonce = nonce
	n.receivePoolDeposit(other, deposit, n.now())
	require.Less(t, n.acquireFromPool(context.Background(), "t1", 1).RetryAfter, waitWithOneDeposit/2+time.Second)
}

// Once a router has contact with the primary again, its next deposit is empty, and the host requests no more deposits from
// it.
func TestARouterLeavesThePool(t *testing.T) {
	n := newNodeWithoutPrimary(t)
	n.acquireFromPool(context.Background(), "t1", 1)
	require.Equal(t, 1, n.quotas.pool.Offers())
	n.tickPool(n.now() + quotapool.CollectInterval)
	require.Equal(t, 1, n.quotas.pool.Offers())
	n.quotas.primary.lastAnswer = n.now()
	require.False(t, n.lacksPrimary(n.now()))
	n.tickPool(n.now() + 2*quotapool.CollectInterval)
	require.Zero(t, n.quotas.pool.Offers())
	require.Zero(t, n.acquireFromPool(context.Background(), "t1", 1).Granted)
}

// A host stops requesting deposits from a router that offered one and does not answer. A router that is not a core member
// ignores offers.
func TestPoolOffersExpire(t *testing.T) {
	n := newNodeWithoutPrimary(t)
	n.receivePoolOffer("10.0.1.2:7000", n.now())
	require.Equal(t, 1, n.quotas.pool.Offers())
	n.quotas.primary.lastAnswer = n.now() + time.Hour
	n.tickPool(n.now() + quotapool.OfferValidity + time.Second)
	require.Zero(t, n.quotas.pool.Offers())
	n.self.Member = nil
	n.receivePoolOffer("10.0.1.2:7000", n.now())
	require.Zero(t, n.quotas.pool.Offers())
}

// A router leaves a pool whose host does not answer. It chooses another core member as host, but only after its deposit at
// the previous one has expired.
func TestAPoolThatTimesOutIsLeft(t *testing.T) {
	n := newNodeWithoutPrimary(t)
	host := member("10.0.1.9:7000", "z1")
	n.control.view = view(2, member("10.0.2.1:7000", "z1"), host)
	n.offerDeposit(n.now())
	require.Equal(t, host.Address, n.quotas.contributor.Host())
	n.receivePoolCollect(host.Address, dissemination.PoolCollect{}, n.now())
	require.Equal(t, gateway.FromNone, n.acquireFromPool(context.Background(), "t1", 1).Source)
	require.True(t, n.quotas.contributor.Avoids(host.Address, n.now()))
	require.Empty(t, n.quotas.poolAcquisitions)
	n.control.view = view(3, member("10.0.2.1:7000", "z1"), host, selfMember)
	n.offerDeposit(n.now() + quotapool.OfferInterval)
	require.Equal(t, host.Address, n.quotas.contributor.Host(), "this host still has the deposit")
	n.offerDeposit(n.now() + time.Second)
	require.Equal(t, n.self.Address, n.quotas.contributor.Host())
}

// While the primary does not answer, only one request at a time waits for it.
func TestOneRequestWaitsForAPrimaryThatDoesNotAnswer(t *testing.T) {
	n := newNodeWithoutPrimary(t)
	n.quotas.primary.lastAnswer = n.now()
	require.Equal(t, gateway.FromNone, n.acquireFromPrimary(context.Background(), "t1", 1, 0).Source)
	require.Greater(t, n.quotas.primary.avoidedUntil, n.now())
	n.quotas.primary.avoidedUntil = n.now() // a request may wait for it again
	before := n.now()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	n.acquireFromPrimary(canceled, "t1", 1, 0)
	require.GreaterOrEqual(t, n.quotas.primary.avoidedUntil, before+acquireTimeout, "no other request waits before this one has a result")
}

// A router replaces a host that requests no deposit after its offers. At the next loss of contact with the primary it
// begins with the host of its own zone again.
func TestAHostThatRequestsNoDepositIsReplaced(t *testing.T) {
	n := newNodeWithoutPrimary(t)
	near, far := member("10.0.1.9:7000", "z1"), member("10.0.3.9:7000", "z3")
	n.control.view = view(2, member("10.0.2.1:7000", "z1"), near, far)
	began := n.now()
	for passed := time.Duration(0); passed <= quotapool.CollectTimeout; passed += quotapool.OfferInterval {
		n.offerDeposit(began + passed)
		require.Equal(t, near.Address, n.quotas.contributor.Host())
	}
	n.offerDeposit(began + quotapool.CollectTimeout + quotapool.OfferInterval)
	require.Equal(t, far.Address, n.quotas.contributor.Host())
	n.offerDeposit(began + time.Minute)
	require.Equal(t, near.Address, n.quotas.contributor.Host())
}
