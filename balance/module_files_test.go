package balance

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const maxLineWidth = 110

// allowedImports are the packages that the module may import. They only compute: none reads a clock, does input or output, blocks
// or starts a goroutine, and none is of this project.
var allowedImports = []string{"errors", "fmt", "maps", "math", "math/rand/v2", "slices", "sort"}

// The deployment lists the files that make decisions, as operators on call read all of them and must find every decision there.
// The test reads that list, so that the two cannot differ.
func TestModuleStaysInItsFiles(t *testing.T) {
	deploy, err := os.ReadFile(filepath.Join("..", "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	policy := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if policy == nil {
		t.Fatal("deploy/balancer.toml has no key policy")
	}
	named := map[string]bool{}
	for _, quoted := range strings.Split(string(policy[1]), ",") {
		name := strings.Trim(quoted, ` "`)
		if filepath.Dir(name) != "balance" {
			t.Errorf("policy names %s, which is not in the decision module", name)
		}
		named[name] = true
		text, err := os.ReadFile(filepath.Join("..", name))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > maxLineWidth {
				t.Errorf("%s:%d is %d columns wide", name, i+1, width)
			}
		}
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files { // api.go holds types only, doc.go text
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		if file != "api.go" && file != "doc.go" && !named["balance/"+file] {
			t.Errorf("policy does not name balance/%s", file)
		}
		for _, path := range importsOf(t, file) {
			if !slices.Contains(allowedImports, path) {
				t.Errorf("balance/%s imports %s", file, path)
			}
		}
	}
	entries, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if entry.IsDir() && entry.Name() != "testdata" {
			t.Errorf("balance/%s: policy names files of the module itself only", entry.Name())
		}
	}
}

// importsOf returns the import paths of a file of the module.
func importsOf(t *testing.T, file string) (paths []string) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range parsed.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	return paths
}
