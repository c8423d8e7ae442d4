package clientlimit

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"petrelhook/internal/rig/bubble"
)

// What is reserved is released exactly once, whatever is called in whatever order, and the limit holds at all times.
func TestReservedMemoryIsReleasedExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		m := NewMemory(limit)
		var all []*Reservation
		bytes := rapid.Int64Range(0, limit)
		pick := func() *Reservation { return all[rapid.IntRange(0, len(all)-1).Draw(t, "which")] }
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(*rapid.T) { all = append(all, m.Reserve(func() {})) },
			"grow": func(t *rapid.T) {
				if len(all) > 0 {
					pick().TryGrow(bytes.Draw(t, "bytes"), bytes.Draw(t, "message"))
				}
			},
			"shrink": func(t *rapid.T) {
				if len(all) > 0 {
					r := pick()
					r.Shrink(rapid.Int64Range(0, r.bytes).Draw(t, "bytes"))
				}
			},
			"arrive": func(*rapid.T) {
				if len(all) > 0 {
					pick().Arrived()
				}
			},
			"release": func(*rapid.T) {
				if len(all) > 0 {
					pick().Release()
				}
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, r := range all {
					sum += r.bytes
				}
				require.Equal(t, sum, m.Reserved())
				require.LessOrEqual(t, sum, int64(limit))
			},
		})
		for _, r := range all {
			r.Release()
		}
		require.Zero(t, m.Reserved())
		require.Empty(t, m.arriving)
	})
}

// A message that needs memory gets that of one that is stalled or slow, and never that of one that is neither or has arrived.
func TestOnlyStalledAndSlowMessagesAreStopped(t *testing.T) {
	for name, test := range map[string]struct {
		first, perSecond int64 // bytes received at once, and in each second from then on
		arrived          bool
		elapsed          time.Duration
		stopped          bool
	}{
		"no progress":               {0, 0, false, 2 * progressGrace, true},
		"a byte a second":           {0, 1, false, time.Minute, true},
		"fast, and then nothing":    {1 << 20, 0, false, 2 * recentInterval, true},
		"fast, and a short pause":   {1 << 20, 0, false, recentInterval, false},
		"less than is due":          {0, minProgressBytesPerSecond / 2, false, slowGrace, true},
		"as much as is due, slowly": {0, minProgressBytesPerSecond, false, slowGrace, false},
		"slowly for a while":        {0, minProgressBytesPerSecond, false, time.Minute, true},
		"an honest upload":          {0, slowBytesPerSecond, false, time.Minute, false},
		"within the grace":          {0, 0, false, progressGrace, false},
		"arrived":                   {0, 0, true, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				const limit = 1 << 20
				m := NewMemory(limit)
				var holder *Reservation
				stopped := make(chan struct{})
				holder = m.Reserve(func() { close(stopped) })
				require.True(t, holder.Grow(t.Context(), smallMessageBytes, smallMessageBytes))
				holder.Received(test.first)
				if test.arrived {
					holder.Arrived()
				}
				var tasks sync.WaitGroup
				if test.stopped {
					tasks.Go(func() {
						<-stopped
						holder.Release()
					})
				}
				for range test.elapsed / time.Second {
					<-time.After(time.Second)
					holder.Received(test.perSecond)
				}
				other := m.Reserve(func() {})
				require.Equal(t, test.stopped, other.Grow(context.Background(), limit, 0))
				tasks.Wait()
				require.Equal(t, test.stopped, holder.isStopped)
			})
		})
	}
}

// A message does not wait for longer than stoppedTimeout for a stopped one that keeps its memory.
func TestAMessageWaitsForStoppedOnesForABoundedTime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m := NewMemory(1 << 20)
		holder := m.Reserve(func() {})
		require.True(t, holder.Grow(t.Context(), 1<<20, 0))
		<-time.After(time.Minute)
		began := time.Now()
		require.False(t, m.Reserve(func() {}).Grow(context.Background(), 1, 1))
		require.Equal(t, stoppedTimeout, time.Since(began))
	})
}

// Of the messages that may be stopped the stalled ones are stopped first, and then the slowest.
func TestTheSlowestMessageIsStoppedFirst(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const size = 100 << 10
		m := NewMemory(4 * size)
		var order []string
		begin := func(name string) *Reservation {
			r := m.Reserve(func() { order = append(order, name) })
			require.True(t, r.Grow(t.Context(), size, 0))
			return r
		}
		fast, slow, slowest, stalled := begin("fast"), begin("slow"), begin("slowest"), begin("stalled")
		for range 10 {
			<-time.After(time.Second)
			fast.Received(2 * slowBytesPerSecond)
			slow.Received(slowBytesPerSecond / 2)
			slowest.Received(slowBytesPerSecond / 4)
		}
		for _, r := range []*Reservation{stalled, slowest, slow} {
			require.False(t, m.Reserve(func() {}).Grow(context.Background(), size, 0))
			r.Release()
			require.True(t, m.Reserve(func() {}).TryGrow(size, 0))
		}
		require.False(t, m.Reserve(func() {}).Grow(context.Background(), size, 0))
		require.Equal(t, []string{"stalled", "slowest", "slow"}, order)
	})
}

// A message that is alone may take more than the limit, up to a limit of its own.
func TestAMessageThatIsAloneMayExceedTheLimit(t *testing.T) {
	m := NewMemory(1 << 20)
	m.AloneLimit = 3 << 20
	alone := m.Reserve(func() {})
	require.True(t, alone.TryGrow(2<<20, 2<<20))
	require.True(t, alone.TryGrow(1<<20, 3<<20))
	require.False(t, alone.TryGrow(1, 3<<20))
	require.False(t, m.Reserve(func() {}).TryGrow(1, 1))
	alone.Release()
	first, second := m.Reserve(func() {}), m.Reserve(func() {})
	require.True(t, first.TryGrow(1, 1))
	require.False(t, second.TryGrow(2<<20, 2<<20))
}
