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

// poolNode is a core member that has had no contact with a primary for a minute, of a fleet of four, with half of the
// limit of t1 as a lease.
func poolNode(t *testing.T) *Node {
	t.Helper()
	n := newNode(t, "")
	n.start = time.Now().Add(-time.Minute)
	n.self.Member = &v1
	primary := member("10.0.2.1:7000", "z1")
	n.control.view = view(1, primary, v1)
	c, err := routetable.ParseConfig([]byte(limitedTenant))
	require.NoError(t, err)
	n.gateway.SetTable(routetable.Compile(c, nil))
	n.setLimits()
	n.setFleetSize(4)
	nonce := n.gateway.RequestQuotaShares().Nonce
	n.gateway.ApplyQuotaShares(nonce, map[string]float64{"t1": 0.5})
	return n
}

// A router without contact with a primary spends of the pool of its zone, which the primary does not host; others'
// deposits count there once each was asked for.
func TestARouterSpendsFromThePool(t *testing.T) {
	n := poolNode(t)
	require.Equal(t, n.self.Address, n.quotas.contributor.ChooseHost(n.control.view.Members, n.control.view.PrimaryAddress(), n.now()))
	first := n.acquireFromPool(context.Background(), "t1", 1000)
	require.Equal(t, gateway.Acquisition{Source: gateway.FromPool, Granted: 1000}, first, "one request may overdraw what is replenished")
	require.Positive(t, n.gateway.QuotaPooledUntil(), "its own lease belongs to the pool now")
	status := n.Status()
	require.True(t, status.LacksPrimary)
	require.Equal(t, n.self.Address, status.PoolHost)
	require.Equal(t, 1, status.Deposits)
	rejected := n.acquireFromPool(context.Background(), "t1", 1)
	require.Equal(t, gateway.FromPool, rejected.Source)
	require.Zero(t, rejected.Granted)
	alone := rejected.RetryAfter // 20 s

	const other = "10.0.1.2:7000"
	n.receivePoolOffer(other, n.now())
	nonce := n.lastRequest
	deposit := dissemination.PoolDeposit{Nonce: n.lastRequest + 1, Deposit: quota.Deposit{Standing: 0.5, For: time.Hour}}
	n.receivePoolDeposit(other, deposit, n.now())
	require.Greater(t, n.acquireFromPool(context.Background(), "t1", 1).RetryAfter, alone/2+time.Second, "this deposit was not asked for")
	deposit.Nonce = nonce
	n.receivePoolDeposit(other, deposit, n.now())
	require.Less(t, n.acquireFromPool(context.Background(), "t1", 1).RetryAfter, alone/2+time.Second)
}

// Once there is contact with a primary again the next deposit is an empty one, and the router is not asked for deposits
// any more.
func TestARouterLeavesThePool(t *testing.T) {
	n := poolNode(t)
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

// A router that offers and does not answer is asked no more, and a router that is no core member ignores offers.
func TestOffersAreForgotten(t *testing.T) {
	n := poolNode(t)
	n.receivePoolOffer("10.0.1.2:7000", n.now())
	require.Equal(t, 1, n.quotas.pool.Offers())
	n.quotas.primary.lastAnswer = n.now() + time.Hour
	n.tickPool(n.now() + quotapool.OfferValidity + time.Second)
	require.Zero(t, n.quotas.pool.Offers())
	n.self.Member = nil
	n.receivePoolOffer("10.0.1.2:7000", n.now())
	require.Zero(t, n.quotas.pool.Offers())
}

// A pool whose host does not answer is left: the next host is another core member, as soon as the deposit there has
// ended.
func TestAPoolThatTimesOutIsLeft(t *testing.T) {
	n := poolNode(t)
	host := member("10.0.1.9:7000", "z1")
	n.control.view = view(2, member("10.0.2.1:7000", "z1"), host)
	n.offerDeposit(n.now())
	require.Equal(t, host.Address, n.quotas.contributor.Host())
	n.receivePoolCollect(host.Address, dissemination.PoolCollect{}, n.now())
	require.Equal(t, gateway.FromNone, n.acquireFromPool(context.Background(), "t1", 1).Source)
	require.True(t, n.quotas.contributor.Avoids(host.Address, n.now()))
	require.Empty(t, n.quotas.poolAcquisitions)
	n.control.view = view(3, member("10.0.2.1:7000", "z1"), host, v1)
	n.offerDeposit(n.now() + quotapool.OfferInterval)
	require.Equal(t, host.Address, n.quotas.contributor.Host(), "it still has the deposit")
	n.offerDeposit(n.now() + time.Second)
	require.Equal(t, n.self.Address, n.quotas.contributor.Host())
}

// While the primary does not answer, one request at a time waits for it, and not all that come.
func TestOneRequestWaitsForAPrimaryThatDoesNotAnswer(t *testing.T) {
	n := poolNode(t)
	n.quotas.primary.lastAnswer = n.now()
	require.Equal(t, gateway.FromNone, n.acquireFromPrimary(context.Background(), "t1", 1, 0).Source)
	require.Greater(t, n.quotas.primary.avoidedUntil, n.now())
	n.quotas.primary.avoidedUntil = n.now() // it may be asked again
	before := n.now()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	n.acquireFromPrimary(canceled, "t1", 1, 0)
	require.GreaterOrEqual(t, n.quotas.primary.avoidedUntil, before+acquireTimeout, "others do not wait for it until this request knows")
}

// A core member that does not ask for a deposit after offers is left for another; the next loss of contact begins with
// the zone's own again.
func TestAHostThatRequestsNoDepositIsReplaced(t *testing.T) {
	n := poolNode(t)
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
