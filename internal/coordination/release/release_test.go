package release

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
)

const baseSettings = `{"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1", "limits": {"memory_mb": 64},
 "known": {"generation": 1},
 "settings": {"classes": [
  {"name": "look", "effect": "read_like", "hard_limit_ms": 1000, "worth": 1},
  {"name": "book", "effect": "idempotency_key", "group": "zone", "window_ms": 500, "hard_limit_ms": 800},
  {"name": "once", "effect": "non_idempotent", "hard_limit_ms": 800}],
 "tenants": [{"name": "acme", "share": 1}], "zones": ["a", "b"], "peers_total": 4,
 "limits": {"probes": false, "conn_idle_ms": 9000}, "rules": {"drain_grace_ms": 250, "cold_from": 0.1, "cold_ms": 8000, "fall_multiple": 3}}}`

// Compare reports each change of one field with the expected kind and reason.
func TestCompare(t *testing.T) {
	for name, c := range map[string]struct {
		oldText, newText, field string
		kind                    Kind
		reason                  string
	}{
		"an effect becomes idempotent":     {`"non_idempotent"`, `"idempotency_key"`, "settings.classes[once].effect", Refused, "freely repeatable"},
		"an effect becomes read-like":      {`"idempotency_key"`, `"read_like"`, "settings.classes[book].effect", Refused, "freely repeatable"},
		"an effect becomes non-idempotent": {`"idempotency_key"`, `"non_idempotent"`, "settings.classes[book].effect", TwoSteps, "another name"},
		"a window shrinks":                 {`"window_ms": 500`, `"window_ms": 400`, "settings.classes[book].window_ms", Refused, "longer window"},
		"a window grows":                   {`"window_ms": 500`, `"window_ms": 600`, "settings.classes[book].window_ms", TwoSteps, "first servers"},
		"a window without a limit":         {`"window_ms": 500, `, ``, "settings.classes[book].window_ms", TwoSteps, "first servers"},
		"a wider group":                    {`"group": "zone"`, `"group": "all"`, "settings.classes[book].group", TwoSteps, "wider group"},
		"a narrower group":                 {`"group": "zone"`, `"group": "cell"`, "settings.classes[book].group", SideBySide, "fewer"},
		"a drain grace shrinks":            {`"drain_grace_ms": 250`, `"drain_grace_ms": 200`, "settings.rules.drain_grace_ms", Refused, "longer grace"},
		"a deadline grows":                 {`"hard_limit_ms": 1000`, `"hard_limit_ms": 1001`, "settings.classes[look].hard_limit_ms", Refused, "clients wait no longer"},
		"a deadline shrinks":               {`"hard_limit_ms": 1000`, `"hard_limit_ms": 900`, "settings.classes[look].hard_limit_ms", SideBySide, "sooner"},
		"another worth":                    {`"worth": 1`, `"worth": 2`, "settings.classes[look].worth", SideBySide, "sheds"},
		"one more class":                   {`"hard_limit_ms": 800}],`, `"hard_limit_ms": 800}, {"name": "more", "effect": "read_like", "hard_limit_ms": 1}],`, "settings.classes[more]", TwoSteps, "first change all sidecars"},
		"classes in another order":         {`"name": "look", "effect": "read_like", "hard_limit_ms": 1000, "worth": 1},`, `"name": "other", "effect": "read_like", "hard_limit_ms": 1000},`, "settings.classes", Refused, "by position"},
		"fewer peers":                      {`"peers_total": 4`, `"peers_total": 2`, "settings.peers_total", TwoSteps, "larger part"},
		"probes are allowed":               {`"probes": false`, `"probes": true`, "settings.limits.probes", TwoSteps, "answer them first"},
		"a larger fall multiple":           {`"fall_multiple": 3`, `"fall_multiple": 9`, "settings.rules (cold budgets)", Refused, "smaller steps"},
		"a shorter warm-up":                {`"cold_ms": 8000`, `"cold_ms": 100`, "settings.rules.cold_ms", Refused, "for warm"},
		"another listener":                 {`127.0.0.1:1`, `127.0.0.1:9`, "listen", Refused, "find the sidecar"},
		"another memory limit":             {`"memory_mb": 64`, `"memory_mb": 32`, "limits.memory_mb", SideBySide, "its own"},
		"an unknown field":                 {`"peers_total": 4`, `"peers_total": 4, "later": {"x": 1}`, "settings.later.x", SideBySide, "does not read it"},
	} {
		findings, err := Compare([]byte(baseSettings), []byte(strings.Replace(baseSettings, c.oldText, c.newText, 1)))
		if err != nil {
			t.Fatal(err)
		}
		found := false
		for _, finding := range findings {
			found = found || finding.Field == c.field && finding.Kind == c.kind && strings.Contains(finding.Reason, c.reason)
		}
		if !found || Worst(findings) != c.kind {
			t.Errorf("%s: %v", name, findings)
		}
	}
	if findings, err := Compare([]byte(baseSettings), []byte(strings.Replace(baseSettings, `"generation": 1`, `"generation": 2`, 1))); err != nil || len(findings) > 0 {
		t.Errorf("nothing differs: %v, %v", findings, err)
	}
	if _, err := Compare([]byte(baseSettings), []byte("{")); err == nil || !strings.HasPrefix(err.Error(), "the new settings: ") {
		t.Errorf("%v", err)
	}
}

// Every setting that the sidecar reads has a rule, so that none counts as unknown and therefore harmless.
func TestEveryFieldHasARule(t *testing.T) {
	text, err := os.ReadFile("../../sidecar/wire/settings.go")
	if err != nil {
		t.Fatal(err)
	}
	path := []string{"settings"}
	open := regexp.MustCompile(`(?:\[\])?struct \{`)
	tag := regexp.MustCompile("json:\"(\\w+)\"")
	count := 0
	body := string(text)
	body = body[strings.Index(body, "type settings struct"):]
	body = body[:strings.Index(body, "\n}\n")]
	lines := strings.Split(body, "\n")[1:]
	for i, line := range lines {
		nameTag := tag.FindStringSubmatch(line)
		switch {
		case open.MatchString(line): // the tag with its name is on its last line
			for _, end := range lines[i+1:] {
				if strings.HasPrefix(strings.TrimSpace(end), "}") {
					part := tag.FindStringSubmatch(end)[1]
					if strings.Contains(line, "[]struct") {
						part += "[x]"
					}
					path = append(path, part)
					break
				}
			}
		case strings.HasPrefix(strings.TrimSpace(line), "}"):
			path = path[:len(path)-1]
		case nameTag != nil:
			field := strings.Join(append(append([]string{}, path...), nameTag[1]), ".")
			if strings.HasSuffix(field, "].name") {
				continue
			}
			if count++; ruleFor(field) == nil {
				t.Errorf("%s: no rule", field)
			}
		}
	}
	if count < 40 {
		t.Errorf("%d fields were found", count)
	}
}

// A store adds complete releases only, derives their IDs from the content, and does not open a release that was modified.
func TestStore(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "releases")
	s, err := NewStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	add := func(program, settings string) Release {
		t.Helper()
		r, err := s.Add(strings.NewReader(program), strings.NewReader(settings))
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	a, again, b := add("program", "{}"), add("program", "{}"), add("program", "{ }")
	if a != again || a.ID == b.ID {
		t.Errorf("%v, %v, %v", a, again, b)
	}
	if info, err := os.Stat(a.Program); err != nil || info.Mode().Perm() != 0o500 {
		t.Errorf("%v, %v", info, err)
	}
	if _, err := s.Add(io.MultiReader(strings.NewReader("half"), broken{}), strings.NewReader("{}")); err == nil {
		t.Error("half a program was added")
	}
	os.Mkdir(filepath.Join(dir, stagingPrefix+"died"), 0o700)
	if s, err = NewStore(dir); err != nil {
		t.Fatal(err)
	}
	if entries, _ := os.ReadDir(dir); len(entries) != 2 {
		t.Errorf("%v", entries)
	}
	os.Chmod(b.Settings, 0o600)
	os.WriteFile(b.Settings, []byte("{x}"), 0o600)
	if _, err := s.Open(b.ID); err == nil || !strings.Contains(err.Error(), "damaged") {
		t.Errorf("%v", err)
	}
	if err := s.Remove(a.ID); err != nil {
		t.Error(err)
	}
	if _, err := s.Open(a.ID); !errors.Is(err, ErrNotFound) {
		t.Errorf("%v", err)
	}
	if _, err := s.Open("../x"); err == nil || !strings.Contains(err.Error(), "32 hexadecimal digits") {
		t.Errorf("%v", err)
	}
}

// broken is a reader that fails.
type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// An addition completes although another process opens the store meanwhile and removes abandoned staging folders. The staging
// folder of an addition whose process was killed is removed by the next process that opens the store.
func TestTwoProcessesAndOneStore(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "releases")
	s, err := NewStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	open := func() {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "RELEASE_TEST_OPEN="+dir)
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Errorf("%v: %s", err, out)
		}
	}
	openBetween := readerFunc(func() { open() }) // runs after half of the program was written to the staging folder
	r, err := s.Add(io.MultiReader(strings.NewReader("half"), openBetween, strings.NewReader("half")), strings.NewReader("{}"))
	if err != nil {
		t.Fatalf("the addition was removed: %v", err)
	}
	killed := exec.Command(os.Args[0])
	killed.Env = append(os.Environ(), "RELEASE_TEST_DIES="+dir)
	if out, err := killed.CombinedOutput(); err == nil {
		t.Errorf("it was not killed: %s", out)
	}
	if entries, _ := os.ReadDir(dir); len(entries) != 2 {
		t.Errorf("nothing was left behind: %v", entries)
	}
	open()
	if entries, _ := os.ReadDir(dir); len(entries) != 1 || entries[0].Name() != string(r.ID) {
		t.Errorf("%v", entries)
	}
}

// readerFunc is a reader without content that calls a function when it is read.
type readerFunc func()

func (f readerFunc) Read([]byte) (int, error) { f(); return 0, io.EOF }

func TestMain(m *testing.M) {
	if dir := os.Getenv("RELEASE_TEST_OPEN"); dir != "" {
		if _, err := NewStore(dir); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	if dir := os.Getenv("RELEASE_TEST_DIES"); dir != "" {
		s, err := NewStore(dir)
		if err == nil {
			_, err = s.Add(readerFunc(func() { syscall.Kill(os.Getpid(), syscall.SIGKILL); select {} }), strings.NewReader("{}"))
		}
		fmt.Println(err)
		os.Exit(0)
	}
	if dir := os.Getenv("RELEASE_TEST_STORE"); dir != "" { // files of this process are limited to 8 KiB
		signal.Ignore(syscall.SIGXFSZ)
		err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 8 << 10, Max: 8 << 10})
		s, openErr := NewStore(dir)
		if err == nil && openErr == nil {
			_, err = s.Add(bytes.NewReader(make([]byte, 1<<20)), strings.NewReader("{}"))
		}
		fmt.Println(err, openErr)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// If a write fails for lack of space nothing is added, and the error names the file.
func TestNoSpaceOnTheDisk(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "releases")
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "RELEASE_TEST_STORE="+dir)
	out, err := cmd.CombinedOutput()
	if err != nil || !strings.Contains(string(out), programName+": file too large") {
		t.Errorf("%v: %s", err, out)
	}
	if entries, _ := os.ReadDir(dir); len(entries) != 0 {
		t.Errorf("%v", entries)
	}
}

// Open and Remove reject malformed release IDs, such as paths that lead out of the store, and change nothing outside its folder.
func TestBadIDs(t *testing.T) {
	dir := t.TempDir()
	s, err := NewStore(filepath.Join(dir, "releases"))
	if err != nil {
		t.Fatal(err)
	}
	outside := filepath.Join(dir, "beside", "file")
	if err := errors.Join(os.Mkdir(filepath.Dir(outside), 0o700), os.WriteFile(outside, []byte("x"), 0o600)); err != nil {
		t.Fatal(err)
	}
	for _, id := range []ID{"", ".", "..", "../beside", "x/../../beside", "x", "x/../../beside/file", "9a3f74c8a7754141858e9dc4c4c0ef17/../x",
		ID(dir + "/beside")} {
		want := fmt.Sprintf("%q is no name of a release: write 32 hexadecimal digits", string(id))
		if _, err := s.Open(id); !errors.Is(err, ErrInvalidID) || err.Error() != want {
			t.Errorf("Open: %v, want %s", err, want)
		}
		if err := s.Remove(id); !errors.Is(err, ErrInvalidID) || err.Error() != want {
			t.Errorf("Remove: %v, want %s", err, want)
		}
	}
	if text, err := os.ReadFile(outside); err != nil || string(text) != "x" {
		t.Errorf("beside the store: %q, %v", text, err)
	}
}

// A damaged release can be removed and added again.
func TestRemoveOfADamagedRelease(t *testing.T) {
	s, err := NewStore(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	r, err := s.Add(strings.NewReader("program"), strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(os.Chmod(r.Settings, 0o600), os.WriteFile(r.Settings, []byte("{x}"), 0o600)); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Open(r.ID); !errors.Is(err, ErrDamaged) {
		t.Errorf("%v", err)
	}
	if err := s.Remove(r.ID); err != nil {
		t.Error(err)
	}
	if again, err := s.Add(strings.NewReader("program"), strings.NewReader("{}")); err != nil || again != r {
		t.Errorf("%+v, %v", again, err)
	}
}
