package disk

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
)

// damage returns a damaged copy of a file's content.
func damage(random *rand.Rand, content []byte) []byte {
	const pageBytes, headBytes = 4096, 160 // of a page: all of it, its header with the first elements
	content = bytes.Clone(content)
	pages := len(content) / pageBytes
	page := func(i int) []byte { return content[i*pageBytes : (i+1)*pageBytes] }
	switch random.IntN(5) {
	case 0:
		return content[:random.IntN(len(content))]
	case 1:
		clear(page(random.IntN(pages)))
	case 2:
		copy(page(random.IntN(pages)), page(random.IntN(pages)))
	case 3:
		page(random.IntN(pages))[random.IntN(headBytes)] = byte(random.Uint32())
	case 4:
		for range 1 + random.IntN(64) {
			content[random.IntN(len(content))] = byte(random.Uint32())
		}
	}
	return content
}

// A damaged file must not make bbolt panic on a goroutine of its own, or follow pages in a circle for ever.
func TestADamagedFileNeitherStopsNorEndsAStart(t *testing.T) {
	intact, err := os.ReadFile("testdata/cfdfdec/" + fileName)
	if err != nil {
		t.Fatal(err)
	}
	opened, reported := 0, 0
	for seed := range uint64(400) {
		folder := t.TempDir()
		damaged := damage(rand.New(rand.NewPCG(seed, 0)), intact)
		if err := os.WriteFile(filepath.Join(folder, fileName), damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		d, _, err := Open(folder)
		if err != nil {
			if errors.Is(err, ErrLocked) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			reported++
			continue
		}
		opened++
		if err := d.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if opened == 0 || reported == 0 {
		t.Errorf("%d files opened, %d reported as damaged", opened, reported)
	}
}
