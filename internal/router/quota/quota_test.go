package quota

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var bounds = Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 110_000}

func TestAcquireAndRefill(t *testing.T) {
	buckets := NewTokenBuckets(bounds, false, 0)
	limit := Limit{Rate: 29_000, Burst: 29_000}
	buckets.SetLimits(map[string]Limit{"a": limit})
	granted, _ := buckets.Acquire("a", 9_000, 0, 0)
	require.Equal(t, 9_000.0, granted)
	var wait time.Duration
	for granted > 0 {
		granted, wait = buckets.Acquire("a", 9_000, 0, 0)
	}
	require.Positive(t, wait)
	granted, _ = buckets.Acquire("a", 9_000, 0, wait+time.Millisecond)
	require.Equal(t, 9_000.0, granted)
	granted, _ = buckets.Acquire("none", 5, 0, 0)
	require.Equal(t, 5.0, granted, "a tenant without a limit")
}

// A request that needs more than the capacity of the bucket is granted once the bucket is full.
func TestALargeRequest(t *testing.T) {
	buckets := NewTokenBuckets(Bounds{Window: 8 * time.Second}, false, 0)
	buckets.SetLimits(map[string]Limit{"a": {Rate: 100, Burst: 100}})
	granted, wait := buckets.Acquire("a", 5_000, 0, 0)
	require.Zero(t, granted)
	granted, _ = buckets.Acquire("a", 5_000, 0, wait+time.Second)
	require.Equal(t, 5_000.0, granted)
	granted, wait = buckets.Acquire("a", 10, 0, wait+time.Second)
	require.Zero(t, granted)
	require.Greater(t, wait, 10*time.Second)
}

// If the demand is about six times the rate of a bucket, large requests are granted as often as small ones.
func TestLargeRequestsAreNotRejectedBeforeSmallOnes(t *testing.T) {
	buckets := NewTokenBuckets(bounds, false, 0)
	buckets.SetLimits(map[string]Limit{"a": {Rate: 640_000, Burst: 640_000}})
	random := rand.New(rand.NewSource(1))
	sizes := []float64{2_000, 20_000}
	requested, served := map[float64]float64{}, map[float64]float64{}
	for now := time.Duration(0); now < 30*time.Second; now += 3 * time.Millisecond {
		size := sizes[random.Intn(len(sizes))]
		requested[size]++
		if granted, _ := buckets.Acquire("a", size, 0, now); granted > 0 {
			served[size]++
		}
	}
	small, large := served[sizes[0]]/requested[sizes[0]], served[sizes[1]]/requested[sizes[1]]
	require.Less(t, small, 0.5, "the tenant exceeds its limit")
	require.InDelta(t, small, large, 0.05)
}

func TestOverLimit(t *testing.T) {
	client := NewClient(1)
	client.SetLimits(map[string]Limit{"t": {Rate: 1000}}, 0)
	require.False(t, client.OverLimit("t", 0))
	require.Equal(t, Granted, client.ApplyAcquired("t", 10, 10, 0))
	require.False(t, client.OverLimit("t", 0))
	require.Equal(t, Rejected, client.ApplyAcquired("t", 0, 10, 0))
	require.True(t, client.OverLimit("t", overLimitPeriod-1))
	require.False(t, client.OverLimit("t", overLimitPeriod))
	require.False(t, client.OverLimit("none", 0))
}

// Routers request shares and lose a part of the answers: the shares that they consider valid never add up to more than
// 1.
func TestSharesAddUpToAtMostOne(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		now := time.Duration(0)
		a := NewAllocator(now)
		clients := make([]*Client, 6)
		for i := range clients {
			clients[i] = NewClient(1)
			clients[i].SetLimits(map[string]Limit{"t": {Rate: 1000}}, now)
		}
		for range 400 {
			now += time.Duration(random.Intn(200)) * time.Millisecond
			i := random.Intn(len(clients))
			client := clients[i]
			client.Reserve("t", float64(random.Intn(500)), now)
			request := client.RequestShares(now)
			shares := a.Allocate(fmt.Sprint(i), 1, request, len(clients), now)
			if random.Intn(4) > 0 { // otherwise the answer is lost
				client.ApplyShares(request.Nonce, shares, now+time.Millisecond)
			}
			sum := 0.0
			for _, other := range clients {
				if now < other.leaseEnd {
					sum += other.tenants["t"].share
				}
			}
			require.LessOrEqual(t, sum, 1.0001, "seed %d at %v", seed, now)
		}
	}
}

func TestALateAnswerIsNotApplied(t *testing.T) {
	client := NewClient(1)
	client.SetLimits(map[string]Limit{"t": {Rate: 1000}}, 0)
	nonce := client.RequestShares(0).Nonce
	client.ApplyShares(nonce, map[string]float64{"t": 1}, LeaseDuration)
	v, _ := client.ReserveFromLease("t", 1, LeaseDuration)
	require.Equal(t, Rejected, v)
	nonce = client.RequestShares(LeaseDuration).Nonce
	client.RequestShares(LeaseDuration + 1)
	client.ApplyShares(nonce, map[string]float64{"t": 1}, LeaseDuration+2)
	v, _ = client.ReserveFromLease("t", 1, LeaseDuration+3)
	require.Equal(t, Rejected, v, "the answer to an earlier request")
}

func TestALeaseExpiresAndIsOverdrawnOnce(t *testing.T) {
	client := NewClient(1)
	client.SetLimits(map[string]Limit{"t": {Rate: 1000}}, 0)
	nonce := client.RequestShares(0).Nonce
	client.ApplyShares(nonce, map[string]float64{"t": 0.5}, 0)
	v, _ := client.ReserveFromLease("t", 300, 0)
	require.Equal(t, Granted, v)
	v, wait := client.ReserveFromLease("t", 300, 0)
	require.Equal(t, Rejected, v)
	require.Equal(t, 600*time.Millisecond, wait)
	v, _ = client.ReserveFromLease("t", 300, wait)
	require.Equal(t, Granted, v)
	v, _ = client.ReserveFromLease("t", 1, LeaseDuration+wait)
	require.Equal(t, Rejected, v)
}

func TestPrefetchedUnitsExpire(t *testing.T) {
	client := NewClient(1)
	client.SetLimits(map[string]Limit{"t": {Rate: 1000}}, 0)
	v, _ := client.Reserve("t", 10, 0)
	require.Equal(t, NeedsPrimary, v)
	require.Equal(t, Granted, client.ApplyAcquired("t", 30, 10, 0))
	v, _ = client.Reserve("t", 10, prefetchTTL)
	require.Equal(t, Granted, v)
	v, _ = client.Reserve("t", 10, 2*prefetchTTL)
	require.Equal(t, NeedsPrimary, v)
}

// The retries of all routers together stay within the bound.
func TestTheBudgetOfRetries(t *testing.T) {
	const fleet = 11
	window := 10 * time.Second
	budgets := make([]*RetryBudget, fleet)
	for i := range budgets {
		budgets[i] = NewRetryBudget(RetryBounds{Ratio: 0.2, Slack: 62, Window: window})
		budgets[i].SetFleetSize(fleet)
	}
	requests, retries := 0, 0
	for ms := range 10_000 {
		now := time.Duration(ms) * time.Millisecond
		b := budgets[ms%fleet]
		b.RecordRequest("s", now)
		requests++
		if b.AcquireRetry("s", now) {
			retries++
		}
	}
	require.LessOrEqual(t, float64(retries), 0.2*float64(requests)+62)
	require.Positive(t, retries)
}

// Routers that have all just started do not know their number, so none of them uses the slack.
func TestTheBudgetOfRetriesAfterAStart(t *testing.T) {
	b := NewRetryBudget(RetryBounds{Ratio: 0.2, Slack: 62, Window: 10 * time.Second})
	b.SetFleetSize(1)
	b.RecordRequest("s", 0)
	require.False(t, b.AcquireRetry("s", 0))
	require.True(t, b.AcquireRetry("s", 10*time.Second))
}
