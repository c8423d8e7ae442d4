package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/gateway"
	"petrelhook/internal/router/quota"
	"petrelhook/internal/router/routetable"
)

const limitedTenant = `{"Generation":1,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/","RouteType":"safe","TimeoutMs":5000,"Service":"s","MaxAttempts":1}],
"Services":[{"Name":"s","MaxConnections":50}],"Limits":{"MaxBodyBytes":1000,"MaxHeaderBytes":4000},
"Tenants":[{"Name":"t1","ApiKeys":["k1"],"Unit":"request_based","RatePerS":100,"Burst":100}]}`

// poolNode is a member of the core that has heard no primary for a minute, of a fleet of four, with half of the limit of t1 as a lease.
func poolNode(t *testing.T) *Node {
	t.Helper()
	n := newNode(t, "")
	n.start = time.Now().Add(-time.Minute)
	n.self.Member = &v1
	primary := member("10.0.2.1:7000", "z1")
	n.view = view(1, primary, v1)
	c, err := routetable.ParseConfig([]byte(limitedTenant))
	require.NoError(t, err)
	n.gateway.SetTable(routetable.Compile(c, nil))
	n.setLimits()
	n.setFleet(4)
	nonce, _, _ := n.gateway.RequestQuotaShares()
	n.gateway.ApplyQuotaShares(nonce, map[string]float64{"t1": 0.5})
	return n
}

// A sidecar that hears no primary spends of the pool of its zone, which is never the silent primary's; others' deposits count there once each
// was asked for.
func TestASidecarSpendsOfThePool(t *testing.T) {
	n := poolNode(t)
	require.Equal(t, n.self.Address, n.choosePoolHost(n.now()))
	first := n.acquireOfPool(context.Background(), "t1", 1000)
	require.Equal(t, gateway.Acquisition{Source: gateway.FromPool, Granted: 1000}, first, "one request may go ahead of what drips in")
	require.Positive(t, n.gateway.QuotaPooledUntil(), "its own lease is the pool's now")
	status := n.Status()
	require.True(t, status.Silent)
	require.Equal(t, n.self.Address, status.Pool)
	require.Equal(t, 1, status.Deposits)
	refused := n.acquireOfPool(context.Background(), "t1", 1)
	require.Equal(t, gateway.FromPool, refused.Source)
	require.Zero(t, refused.Granted)
	alone := refused.RetryAfter // 20 s

	const other = "10.0.1.2:7000"
	n.onPoolOffer(other, n.now())
	deposit := dissemination.PoolDeposit{Nonce: n.token + 1, Deposit: quota.Deposit{Standing: 0.5, For: time.Hour}}
	n.onPoolDeposit(other, deposit, n.now())
	require.Greater(t, n.acquireOfPool(context.Background(), "t1", 1).RetryAfter, alone/2+time.Second, "it was not asked for")
	deposit.Nonce = n.poolHost.offers[other].nonce
	n.onPoolDeposit(other, deposit, n.now())
	require.Less(t, n.acquireOfPool(context.Background(), "t1", 1).RetryAfter, alone/2+time.Second)
}

// Once a primary is heard again the next deposit is an empty one, and the sidecar is asked for none any more.
func TestASidecarLeavesThePool(t *testing.T) {
	n := poolNode(t)
	n.acquireOfPool(context.Background(), "t1", 1)
	require.Len(t, n.poolHost.offers, 1)
	n.tickPool(n.now() + collectEvery)
	require.Len(t, n.poolHost.offers, 1)
	n.primaryHeard = n.now()
	require.False(t, n.primarySilent(n.now()))
	n.tickPool(n.now() + 2*collectEvery)
	require.Empty(t, n.poolHost.offers)
	require.Zero(t, n.acquireOfPool(context.Background(), "t1", 1).Granted)
}

// One that offers and does not answer is asked no more, and a sidecar that is no member of the core takes no offers.
func TestOffersAreForgotten(t *testing.T) {
	n := poolNode(t)
	n.onPoolOffer("10.0.1.2:7000", n.now())
	require.Len(t, n.poolHost.offers, 1)
	n.primaryHeard = n.now() + time.Hour
	n.tickPool(n.now() + offerGood + time.Second)
	require.Empty(t, n.poolHost.offers)
	n.self.Member = nil
	n.onPoolOffer("10.0.1.2:7000", n.now())
	require.Empty(t, n.poolHost.offers)
}

// A pool whose host does not answer is left: the next one is another member of the core, as soon as the deposit there has ended.
func TestASilentPoolIsLeft(t *testing.T) {
	n := poolNode(t)
	host := member("10.0.1.9:7000", "z1")
	n.view = view(2, member("10.0.2.1:7000", "z1"), host)
	n.poolMembership.host, n.poolMembership.collected = host.Address, n.now()
	n.gateway.QuotaDeposit()
	require.Equal(t, gateway.FromNone, n.acquireOfPool(context.Background(), "t1", 1).Source)
	require.Greater(t, n.poolMembership.avoid[host.Address], n.now())
	require.Empty(t, n.poolMembership.takes)
	n.view = view(3, member("10.0.2.1:7000", "z1"), host, v1)
	n.joinPool(n.now() + offerEvery)
	require.Equal(t, host.Address, n.poolMembership.host, "it still has the deposit")
	n.joinPool(n.now() + time.Second)
	require.Equal(t, n.self.Address, n.poolMembership.host)
}

// While the primary is silent one request, now and then, waits for it, and not all that come.
func TestOneRequestAsksASilentPrimary(t *testing.T) {
	n := poolNode(t)
	n.primaryHeard = n.now()
	require.Equal(t, gateway.FromNone, n.acquireOfPrimary(context.Background(), "t1", 1, 0).Source)
	require.Greater(t, n.silentUntil, n.now())
	n.silentUntil = n.now() // it may be asked again
	before := n.now()
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	n.acquireOfPrimary(gone, "t1", 1, 0)
	require.GreaterOrEqual(t, n.silentUntil, before+acquireWait, "for others it is silent until this one knows")
}

// A member of the core that does not ask for a deposit after offers is left for another; the next silence begins with the zone's own again.
func TestAHostThatAsksForNothingIsLeft(t *testing.T) {
	n := poolNode(t)
	near, far := member("10.0.1.9:7000", "z1"), member("10.0.3.9:7000", "z3")
	n.view = view(2, member("10.0.2.1:7000", "z1"), near, far)
	began := n.now()
	for passed := time.Duration(0); passed <= collectWait; passed += offerEvery {
		n.joinPool(began + passed)
		require.Equal(t, near.Address, n.poolMembership.host)
	}
	n.joinPool(began + collectWait + offerEvery)
	require.Equal(t, far.Address, n.poolMembership.host)
	n.joinPool(began + time.Minute)
	require.Equal(t, near.Address, n.poolMembership.host)
}
