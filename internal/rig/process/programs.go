package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// Programs are programs of this module that the tests of one test program need as processes. They are built once, when a test first asks
// for them, into a temporary folder, which Remove removes. It is safe for concurrent use.
type Programs struct {
	names []string
	build func() error

	mu  sync.Mutex
	dir string // "": not built yet
}

// NewPrograms returns the programs with these names, which are packages below cmd. It builds nothing yet.
func NewPrograms(names ...string) *Programs {
	p := &Programs{names: names}
	p.build = sync.OnceValue(p.buildAll)
	return p
}

// buildAll builds the programs.
func (p *Programs) buildAll() error {
	dir, err := os.MkdirTemp("", "petrelhook-programs-")
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.dir = dir
	p.mu.Unlock()
	args := []string{"build", "-o", dir + "/"}
	for _, name := range p.names {
		args = append(args, "petrelhook/cmd/"+name)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return fmt.Errorf("go build of %v: %w\n%s", p.names, err, out)
	}
	return nil
}

// Dir returns the folder with the programs. It ends the test if they cannot be built.
func (p *Programs) Dir(t testing.TB) string {
	t.Helper()
	if err := p.build(); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dir
}

// Path returns the path of one of the programs. It ends the test if they cannot be built.
func (p *Programs) Path(t testing.TB, name string) string {
	t.Helper()
	return filepath.Join(p.Dir(t), name)
}

// Remove removes the programs if they were built. A TestMain calls it after its tests.
func (p *Programs) Remove() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dir != "" {
		_ = os.RemoveAll(p.dir)
	}
}
