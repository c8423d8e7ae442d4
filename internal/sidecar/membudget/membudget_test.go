package membudget

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"petrelhook/internal/rig/bubble"
)

// Reservations are granted in the order of their requests, even if a later one would fit earlier. One whose context ends no
// longer blocks those behind it.
func TestReservationsAreGrantedInOrder(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		budget := New(10)
		if !budget.TryAcquire(8) || budget.TryAcquire(3) {
			t.Fatal("the limit is not kept")
		}
		var mu sync.Mutex
		var finished []string
		acquire := func(name string, n int64, timeout time.Duration) {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				if !budget.Acquire(ctx, n) {
					name += " gives up"
				}
				mu.Lock()
				finished = append(finished, name)
				mu.Unlock()
			}()
			synctest.Wait()
		}
		acquire("large", 9, time.Hour)
		acquire("hasty", 4, time.Second)
		acquire("small", 2, time.Hour)
		if budget.TryAcquire(1) {
			t.Error("TryAcquire overtook waiting reservations")
		}
		acquire("too large", 11, time.Hour)
		time.Sleep(time.Minute)
		budget.Release(8)
		synctest.Wait()
		if want := []string{"too large gives up", "hasty gives up", "large"}; !slices.Equal(finished, want) || budget.Reserved() != 9 {
			t.Errorf("%q, %d reserved", finished, budget.Reserved())
		}
		budget.Release(9)
		synctest.Wait()
		if len(finished) != 4 || budget.Reserved() != 2 {
			t.Errorf("%q, %d reserved", finished, budget.Reserved())
		}
		budget.Release(2)
		if budget.Reserved() != 0 || !budget.TryAcquire(10) {
			t.Errorf("%d reserved", budget.Reserved())
		}
	})
}

// A limit of 0 means no limit.
func TestNoLimit(t *testing.T) {
	budget := New(0)
	if !budget.TryAcquire(1<<60) || !budget.Acquire(context.Background(), 1<<60) {
		t.Error("refused")
	}
}

// In any order of reservations, releases and timeouts, the limit is respected, and in the end nothing is reserved and nothing
// waits.
func TestAnyOrderOfReservations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 12), 1, 60).Draw(rt, "steps")
		bubble.Test(t, func(t *testing.T) {
			budget := New(10)
			var all sync.WaitGroup
			for i, n := range sizes {
				all.Go(func() {
					time.Sleep(time.Duration(i%7) * time.Millisecond)
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(n%5)*time.Millisecond)
					defer cancel()
					if budget.Acquire(ctx, int64(n)) {
						if reserved := budget.Reserved(); reserved > 10 || reserved < int64(n) {
							rt.Errorf("%d bytes are reserved", reserved)
						}
						time.Sleep(time.Duration(n) * time.Millisecond)
						budget.Release(int64(n))
					}
				})
			}
			all.Wait()
			if budget.Reserved() != 0 || budget.waiters.Len() != 0 {
				rt.Errorf("%d bytes are reserved, %d reservations wait", budget.Reserved(), budget.waiters.Len())
			}
		})
	})
}
