package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"petrelhook/internal/rig/process"
	"petrelhook/internal/router/replication"
)

// By hand: go test ./internal/router/storage -run TestDamage -damage.count 100000
var damageCount = flag.Uint64("damage.count", 800, "the number of damaged files of TestDamageIsReported")

// drawSaves returns saves as a replica makes them: entries, and snapshots that may need several pages.
func drawSaves(random *rand.Rand, count int) (saves []replication.Save) {
	sequence := uint64(0)
	for range count {
		save := replication.Save{Hard: replication.HardState{Promised: replication.Epoch{Round: random.Uint64N(100), Node: "b"}}}
		sequence++
		data := bytes.Repeat([]byte{byte(sequence)}, 1+random.IntN(6000))
		switch random.IntN(6) {
		case 0:
			save.Snapshot = &replication.SnapshotRecord{Position: position(sequence), Data: bytes.Repeat(data, 1+random.IntN(12))}
		case 1: // the hard state alone
		default:
			save.Entry = &replication.Entry{Position: position(sequence), Data: data}
		}
		saves = append(saves, save)
	}
	return saves
}

// fileWithSaves returns the content of a file after some saves.
func fileWithSaves(t testing.TB, random *rand.Rand) []byte {
	t.Helper()
	folder := process.DataDir(t)
	d, _, err := Open(folder, "10.0.0.1:7000", true)
	require.NoError(t, err)
	for _, save := range drawSaves(random, 1+random.IntN(60)) {
		require.NoError(t, d.Save(save))
	}
	require.NoError(t, d.Close())
	content, err := os.ReadFile(filepath.Join(folder, fileName))
	require.NoError(t, err)
	return content
}

// damage returns a damaged copy of a file's content.
func damage(random *rand.Rand, content []byte) []byte {
	const pageBytes = 4096
	content = bytes.Clone(content)
	pages := len(content) / pageBytes
	page := func(i int) []byte { return content[i*pageBytes : (i+1)*pageBytes] }
	switch random.IntN(8) {
	case 0:
		return content[:random.IntN(len(content))]
	case 1:
		return content[:random.IntN(pages)*pageBytes]
	case 2:
		clear(page(random.IntN(pages)))
	case 3:
		copy(page(random.IntN(pages)), page(random.IntN(pages)))
	case 4: // a header
		page(random.IntN(pages))[random.IntN(pageHeaderBytes)] = byte(random.Uint32())
	case 5: // the elements of a page
		for range 1 + random.IntN(4) {
			page(random.IntN(pages))[pageHeaderBytes+random.IntN(8*pageElementBytes)] = byte(random.Uint32())
		}
	case 6: // a meta page that is torn
		clear(page(random.IntN(2))[random.IntN(pageHeaderBytes+metaBytes):])
	case 7:
		for range 1 + random.IntN(64) {
			content[random.IntN(len(content))] = byte(random.Uint32())
		}
	}
	return content
}

// The places of the fields of a bbolt file that the tests damage.
const (
	pageHeaderBytes  = 16
	pageElementBytes = 16
	metaBytes        = 64
	transactionStart = pageHeaderBytes + 48 // the transaction number of a meta page
)

// withoutNewestMeta returns a content of which the newest meta page is damaged: it has the state before the last save.
func withoutNewestMeta(content []byte) []byte {
	const pageBytes = 4096
	content = bytes.Clone(content)
	transaction := func(page int) uint64 { return binary.LittleEndian.Uint64(content[page*pageBytes+transactionStart:]) }
	newest := 0
	if transaction(1) > transaction(0) {
		newest = 1
	}
	clear(content[newest*pageBytes : (newest+1)*pageBytes])
	return content
}

// Damage shows as an error, or as the state after the last save; a panic of bbolt would end this process.
func TestDamageIsReported(t *testing.T) {
	opened, reported := 0, 0
	var content []byte
	var last *replication.PersistedState // after the last save
	for seed := range *damageCount {
		random := rand.New(rand.NewPCG(seed, 0))
		if seed%100 == 0 {
			content = fileWithSaves(t, random)
			last = stateOf(t, content)
		}
		damagedContent := damage(random, content)
		path := filepath.Join(process.DataDir(t), fileName)
		require.NoError(t, os.WriteFile(path, damagedContent, 0o600))
		d, state, err := Open(filepath.Dir(path), "10.0.0.1:7000", false)
		if err == nil {
			require.Equal(t, last, state, "seed %d", seed)
		}
		if err != nil {
			if !errors.Is(err, ErrDamaged) {
				require.ErrorIs(t, err, ErrNoIdentity, "seed %d", seed)
			}
			kept, readErr := os.ReadFile(path)
			require.NoError(t, readErr)
			require.Equal(t, damagedContent, kept, "seed %d: the file was changed", seed)
			reported++
			continue
		}
		for _, save := range drawSaves(random, 3) {
			_ = d.Save(save) // the process survives; damaged pages may be reported here
		}
		require.NoError(t, d.Close())
		opened++
	}
	t.Logf("%d files opened, %d reported as damaged", opened, reported)
	require.NotZero(t, opened, "damage of a free page changes nothing")
	require.NotZero(t, reported)
}

// The check must not reject a file that is not damaged.
func TestUndamagedFilesAreOpened(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		folder := process.DataDir(t)
		for range 6 {
			d, _, err := Open(folder, "10.0.0.1:7000", true)
			require.NoError(t, err, "seed %d", seed)
			for saves := drawSaves(random, random.IntN(40)); len(saves) > 0; {
				n := 1 + random.IntN(min(8, len(saves)))
				for _, err := range d.SaveAll(saves[:n]) {
					require.NoError(t, err)
				}
				saves = saves[n:]
			}
			require.NoError(t, d.Close())
		}
	}
}

func TestAFileThatIsTruncatedInUseEndsNoProcess(t *testing.T) {
	folder := process.DataDir(t)
	d, _, err := Open(folder, "10.0.0.1:7000", true)
	require.NoError(t, err)
	saves := drawSaves(rand.New(rand.NewPCG(1, 0)), 40)
	for _, save := range saves {
		require.NoError(t, d.Save(save))
	}
	require.NoError(t, os.Truncate(filepath.Join(folder, fileName), 4096))
	require.ErrorIs(t, d.Save(saves[0]), ErrDamaged)
	require.ErrorIs(t, d.Save(replication.Save{Snapshot: &replication.SnapshotRecord{Position: position(99)}}), ErrDamaged)
	require.NoError(t, d.Close())
}

// sectorBytes is the unit that a torn write leaves old or new.
const sectorBytes = 512

// tear returns before with some of the sectors of after, from a position up to an end.
func tear(random *rand.Rand, before, after []byte, from, to int) []byte {
	torn := bytes.Clone(before)
	if len(after) > len(torn) {
		torn = append(torn, make([]byte, len(after)-len(torn))...)
	}
	for start := from; start < to; start += sectorBytes {
		if random.IntN(2) == 0 {
			copy(torn[start:min(start+sectorBytes, to)], after[start:])
		}
	}
	return torn
}

// bbolt syncs its pages before it writes a meta page: a power failure tears either the pages or the meta page.
func TestAPowerFailureInASaveLeavesOneOfTwoStates(t *testing.T) {
	const (
		pageBytes = 4096
		metaPages = 2 * pageBytes
	)
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 2))
		folder := process.DataDir(t)
		path := filepath.Join(folder, fileName)
		d, stateBefore, err := Open(folder, "10.0.0.1:7000", true)
		require.NoError(t, err)
		before, err := os.ReadFile(path)
		require.NoError(t, err)
		for i, save := range drawSaves(random, 12) {
			require.NoError(t, d.Save(save))
			after, err := os.ReadFile(path)
			require.NoError(t, err)
			stateAfter := stateOf(t, after)
			for range 4 {
				context := fmt.Sprintf("seed %d, save %d", seed, i)
				require.Equal(t, stateBefore, stateOf(t, tear(random, before, after, metaPages, len(after))), context)
				pagesWritten := append(bytes.Clone(before[:metaPages]), after[metaPages:]...)
				written := random.IntN(2)*pageBytes + random.IntN(pageHeaderBytes+metaBytes) // also a part of a sector
				for _, torn := range [][]byte{
					tear(random, pagesWritten, after, 0, metaPages),
					append(bytes.Clone(after[:written]), pagesWritten[written:]...),
				} {
					left := stateOf(t, torn)
					if !assert.ObjectsAreEqual(stateBefore, left) {
						require.Equal(t, stateAfter, left, context)
					}
				}
			}
			before, stateBefore = after, stateAfter
		}
		require.NoError(t, d.Close())
	}
}

// stateOf returns the state in a file with the given content.
func stateOf(t *testing.T, content []byte) *replication.PersistedState {
	t.Helper()
	folder := process.DataDir(t)
	require.NoError(t, os.WriteFile(filepath.Join(folder, fileName), content, 0o600))
	d, state, err := Open(folder, "10.0.0.1:7000", false)
	require.NoError(t, err)
	require.NoError(t, d.Close())
	return state
}

// A first start may be interrupted at any moment, and the names of both files may be lost independently of one another.
func TestAnInterruptedFirstStartIsRepeated(t *testing.T) {
	complete := fileWithSaves(t, rand.New(rand.NewPCG(7, 0)))
	for length := 0; length <= len(complete); length += sectorBytes {
		for _, renamed := range []bool{false, true} {
			folder := process.DataDir(t)
			require.NoError(t, os.WriteFile(filepath.Join(folder, fileName+newSuffix), complete[:length], 0o600))
			if renamed {
				require.NoError(t, os.WriteFile(filepath.Join(folder, fileName), complete, 0o600))
			}
			d, state, err := Open(folder, "10.0.0.1:7000", true)
			require.NoError(t, err, "%d bytes", length)
			require.Equal(t, renamed, len(state.Entries) > 0 || len(state.Snapshot.Data) > 0)
			require.NoError(t, d.Close())
		}
	}
}

// A save that was acknowledged must not be forgotten where the meta page of its transaction is damaged later.
func TestADamagedMetaPageForgetsNoSave(t *testing.T) {
	for seed := range uint64(20) {
		content := fileWithSaves(t, rand.New(rand.NewPCG(seed, 0)))
		want := stateOf(t, content)
		folder := process.DataDir(t)
		require.NoError(t, os.WriteFile(filepath.Join(folder, fileName), withoutNewestMeta(content), 0o600))
		inspected, err := Inspect(folder)
		require.NoError(t, err, "seed %d", seed)
		require.Equal(t, want, inspected, "seed %d", seed)
		for _, restored := range []bool{true, false} {
			d, state, err := Open(folder, "10.0.0.1:7000", false)
			require.NoError(t, err, "seed %d", seed)
			require.Equal(t, want, state, "seed %d", seed)
			require.Equal(t, restored, d.Restored(), "seed %d", seed)
			require.NoError(t, d.Close())
		}
	}
}

// The meta page is not written where the state would not be complete with it.
func TestADamagedMetaPageIsNotRestoredBesideADamagedValue(t *testing.T) {
	folder := process.DataDir(t)
	d, _, err := Open(folder, "10.0.0.1:7000", true)
	require.NoError(t, err)
	require.NoError(t, d.Save(replication.Save{Entry: &replication.Entry{Position: position(1), Data: []byte("damaged")}}))
	require.NoError(t, d.Close())
	path := filepath.Join(folder, fileName)
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	content = bytes.ReplaceAll(withoutNewestMeta(content), []byte("damaged"), []byte("Damaged"))
	require.NoError(t, os.WriteFile(path, content, 0o600))
	_, _, err = Open(folder, "10.0.0.1:7000", false)
	require.ErrorIs(t, err, ErrDamaged)
	kept, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, content, kept)
}
