package tombstone

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"petrelhook/internal/router/registry"
)

const retention = time.Minute

var errDisk = errors.New("no space left")

func instance(id string, state registry.State) registry.Instance {
	return registry.Instance{ID: id, State: state}
}

// Tombstones that are added during a write share the next one, and none is durable before its write has ended.
func TestTombstonesThatWaitShareAWrite(t *testing.T) {
	j := New(retention)
	j.Add(instance("a", registry.Draining), 0)
	first, ok := j.NextWrite(0)
	require.True(t, ok)
	require.True(t, first.Replace, "the end of the file before is not known")
	for i := range 100 {
		j.Add(instance(fmt.Sprint(i), registry.Deregistered), 0)
	}
	j.Add(instance("a", registry.Deregistered), 0)
	_, ok = j.NextWrite(0)
	require.False(t, ok, "one at a time")
	require.False(t, j.Durable("a", registry.Draining))
	j.Written(first, nil, 0)
	require.True(t, j.Durable("a", registry.Draining))
	require.False(t, j.Durable("a", registry.Deregistered))
	second, ok := j.NextWrite(0)
	require.True(t, ok)
	require.False(t, second.Replace)
	require.Len(t, second.Tombstones, 101)
	j.Written(second, nil, 0)
	require.True(t, j.Durable("99", registry.Deregistered))
	require.True(t, j.Durable("a", registry.Deregistered))
	_, ok = j.NextWrite(0)
	require.False(t, ok, "everything is written")
}

// The file stays bounded by the tombstones that are kept, however many servers end in the course of time, and few of them cost
// more than an appended record.
func TestTheFileStaysBounded(t *testing.T) {
	j := New(retention)
	now := time.Duration(0)
	written := 0
	const interval = 100 * time.Millisecond
	const kept = int(retention/interval) + 1
	const ends = 10_000
	for i := range ends {
		now += interval
		j.Expire(now)
		j.Add(instance(fmt.Sprint(i), registry.Deregistered), now)
		w, ok := j.NextWrite(now)
		require.True(t, ok)
		written += len(w.Tombstones)
		j.Written(w, nil, now)
		require.LessOrEqual(t, j.Len(), kept)
		require.LessOrEqual(t, j.records, recordsPerTombstone*kept+1)
	}
	require.Less(t, written, recordsPerTombstone*ends, "records in all writes")
}

// Guards against a restart that refuses a server because another one with its ID ended long ago: once all tombstones have expired
// the file has none, although nothing is added.
func TestExpiredTombstonesLeaveTheFile(t *testing.T) {
	j := New(retention)
	j.Add(instance("a", registry.Draining), 0)
	w, _ := j.NextWrite(0)
	j.Written(w, nil, 0)
	j.Add(instance("a", registry.Deregistered), 0)
	w, _ = j.NextWrite(0)
	j.Written(w, nil, 0)
	_, ok := j.NextWrite(retention)
	require.False(t, ok, "none has expired: two records of one tombstone are appended, not replaced")
	j.Expire(retention + 1)
	w, ok = j.NextWrite(retention + 1)
	require.True(t, ok)
	require.Equal(t, Write{Replace: true}, w)
	j.Written(w, errDisk, retention+1)
	w, ok = j.NextWrite(retention + 1 + retryDelay)
	require.True(t, ok, "a replacement that failed is repeated")
	require.Equal(t, Write{Replace: true}, w)
	j.Written(w, nil, retention+1+retryDelay)
	_, ok = j.NextWrite(2 * retention)
	require.False(t, ok, "the file is empty")
}

// Whatever is added, fails and expires: what counts as durable is in the file that a restart would find.
func TestWhatIsDurableIsInTheFile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := New(retention)
		file := map[string]registry.State{}
		var inProgress *Write
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id := rapid.StringMatching("[a-e]").Draw(t, "id")
				j.Add(instance(id, rapid.SampledFrom([]registry.State{registry.Draining, registry.Deregistered}).Draw(t, "state")), now)
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
				j.Expire(now)
			},
			"begin": func(*rapid.T) {
				if w, ok := j.NextWrite(now); ok {
					inProgress = &w
				}
			},
			"end": func(t *rapid.T) {
				if inProgress == nil {
					t.Skip("no write in progress")
				}
				var err error
				if rapid.Bool().Draw(t, "fails") {
					err = errDisk
				} else {
					apply(file, *inProgress)
				}
				j.Written(*inProgress, err, now)
				inProgress = nil
			},
			"": func(t *rapid.T) {
				for id, e := range j.entries {
					for state := registry.Draining; state <= registry.Deregistered; state++ {
						if j.Durable(id, state) && file[id] < state {
							t.Fatalf("%s counts as durable, and the file has state %d", id, file[id])
						}
					}
					isQueued := contains(j.unwritten, id) || inProgress != nil && writes(*inProgress, e.instance)
					if e.durable < e.instance.State && !isQueued {
						t.Fatalf("%s is neither durable nor going to be written", id)
					}
				}
			},
		})
	})
}

// apply carries out a write on a file, given by the last state of each instance.
func apply(file map[string]registry.State, w Write) {
	if w.Replace {
		clear(file)
	}
	for _, i := range w.Tombstones {
		file[i.ID] = max(file[i.ID], i.State)
	}
}

func contains(ids []string, id string) bool {
	for _, known := range ids {
		if known == id {
			return true
		}
	}
	return false
}

// writes reports whether a write contains a tombstone.
func writes(w Write, wanted registry.Instance) bool {
	for _, i := range w.Tombstones {
		if i == wanted {
			return true
		}
	}
	return false
}

// A ready server has no tombstone.
func TestAReadyInstanceIsNotAdded(t *testing.T) {
	j := New(retention)
	j.Add(instance("a", registry.Ready), 0)
	require.Zero(t, j.Len())
	_, ok := j.NextWrite(0)
	require.False(t, ok)
}

// A write that failed is repeated after a delay, with the whole file, and nothing of it counts as durable before.
func TestAFailedWriteIsRepeated(t *testing.T) {
	j := New(retention)
	j.Add(instance("old", registry.Deregistered), 0)
	w, _ := j.NextWrite(0)
	j.Written(w, nil, 0)
	j.Add(instance("a", registry.Draining), 0)
	w, _ = j.NextWrite(0)
	j.Written(w, errDisk, 0)
	require.False(t, j.Durable("a", registry.Draining))
	require.True(t, j.Durable("old", registry.Deregistered))
	_, ok := j.NextWrite(retryDelay - 1)
	require.False(t, ok)
	w, ok = j.NextWrite(retryDelay)
	require.True(t, ok)
	require.True(t, w.Replace)
	require.Len(t, w.Tombstones, 2)
	j.Written(w, nil, retryDelay)
	require.True(t, j.Durable("a", registry.Draining))

	j.Add(instance("b", registry.Draining), retryDelay)
	w, _ = j.NextWrite(retryDelay)
	require.False(t, w.Replace)
	j.Written(w, errDisk, retryDelay)
	w, _ = j.NextWrite(2 * retryDelay)
	require.True(t, w.Replace, "the file may end in half a record")
	require.Len(t, w.Tombstones, 3)
}
