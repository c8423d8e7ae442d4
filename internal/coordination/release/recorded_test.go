package release

import (
	"os"
	"path/filepath"
	"testing"
)

// A store that the program built from source revision cfdfdec wrote can be opened. Adding the content of its
// release again yields the same release ID.
func TestRecordedStoreIsOpened(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	if err := os.CopyFS(dir, os.DirFS("testdata/cfdfdec/store")); err != nil {
		t.Fatal(err)
	}
	s, err := NewStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	const id = "9a3f74c8a7754141858e9dc4c4c0ef17"
	r, err := s.Open(id)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(r.Settings)
	if err != nil || string(text) != `{"discovery": "a", "settings": {"x": 1}}` {
		t.Errorf("settings of the recorded release: %s, %v", text, err)
	}
	program, err := os.Open(r.Program)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = program.Close() }() // opened for reading only
	settings, err := os.Open(r.Settings)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = settings.Close() }() // opened for reading only
	if again, err := s.Add(program, settings); err != nil || again.ID != id {
		t.Errorf("the same content added again: %+v, %v", again, err)
	}
}
