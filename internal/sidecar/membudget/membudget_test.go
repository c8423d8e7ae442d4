package membudget

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Who comes first is served first, also where a later one would fit; who gives up makes way for those behind him.
func TestTheOrderOfThoseWhoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(10)
		if !r.TryAcquire(8) || r.TryAcquire(3) {
			t.Fatal("the bound does not hold")
		}
		var mu sync.Mutex
		var served []string
		wish := func(name string, n int64, patience time.Duration) {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				if !r.Acquire(ctx, n) {
					name += " gives up"
				}
				mu.Lock()
				served = append(served, name)
				mu.Unlock()
			}()
			synctest.Wait()
		}
		wish("large", 9, time.Hour)
		wish("hasty", 4, time.Second)
		wish("small", 2, time.Hour)
		if r.TryAcquire(1) {
			t.Error("somebody overtook those who wait")
		}
		wish("too large", 11, time.Hour)
		time.Sleep(time.Minute)
		r.Release(8)
		synctest.Wait()
		if want := []string{"too large gives up", "hasty gives up", "large"}; !slices.Equal(served, want) || r.Reserved() != 9 {
			t.Errorf("%q, %d held", served, r.Reserved())
		}
		r.Release(9)
		synctest.Wait()
		if len(served) != 4 || r.Reserved() != 2 {
			t.Errorf("%q, %d held", served, r.Reserved())
		}
		r.Release(2)
		if r.Reserved() != 0 || !r.TryAcquire(10) {
			t.Errorf("%d held", r.Reserved())
		}
	})
}

// No bound is no bound.
func TestNoBound(t *testing.T) {
	r := New(0)
	if !r.TryAcquire(1<<60) || !r.Acquire(context.Background(), 1<<60) {
		t.Error("refused")
	}
}

// Whatever is wished, given back and given up: the bound holds, and in the end nothing is held and nobody waits.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(1, 12), 1, 60).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			r := New(10)
			var all sync.WaitGroup
			for i, n := range steps {
				all.Go(func() {
					time.Sleep(time.Duration(i%7) * time.Millisecond)
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(n%5)*time.Millisecond)
					defer cancel()
					if r.Acquire(ctx, int64(n)) {
						if held := r.Reserved(); held > 10 || held < int64(n) {
							rt.Errorf("%d are held", held)
						}
						time.Sleep(time.Duration(n) * time.Millisecond)
						r.Release(int64(n))
					}
				})
			}
			all.Wait()
			if r.Reserved() != 0 || r.waiters.Len() != 0 {
				rt.Errorf("%d are held, %d wait", r.Reserved(), r.waiters.Len())
			}
		})
	})
}
