package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"petrelhook/internal/rig/rehearse"
)

// call runs petrelhookctl in the test's process.
func call(ctx context.Context, args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = run(ctx, args, &out, &err)
	return code, out.String(), err.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const smallScenario = `
length 2s
sidecars 2
fleet 4 cells=2 cores=4
class read share=80 effect=safe work=1ms..2ms deadline=1s
class book share=20 effect=keyed window=500ms work=1ms..2ms deadline=1s
clients retries=1
arrive constant 60/s
at 500ms s1 stall for 300ms
at 1s s2 error 50% for 500ms
at 500ms s3 silent for 700ms
`

// buildSidecar builds the sidecar's program in a temporary folder and returns its path.
func buildSidecar(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "petrelhook")
	if out, err := exec.Command("go", "build", "-o", path, "petrelhook/cmd/petrelhook").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// Runs a rehearsal end to end on sockets, with sidecar processes, stand-in servers and a server that goes silent, and checks the JSON
// report, the HTML page and the recorded trace.
func TestRehearse(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := t.TempDir()
	page, trace := filepath.Join(dir, "r.html"), filepath.Join(dir, "r.jsonl")
	code, stdout, stderr := call(t.Context(), "rehearse", writeFile(t, "s.txt", smallScenario), "--sidecar", buildSidecar(t), "--output", "json",
		"--html", page, "--record", trace, "--max-lag", "10s")
	var r rehearse.Report
	if err := json.Unmarshal([]byte(stdout), &r); err != nil {
		t.Fatalf("%v: %s\n%s", err, stdout, stderr)
	}
	if code != 0 || stderr != "" || !r.Rules.Kept || r.Classes[0].Count != 120 || r.Classes[0].Served < 110 || r.Rules.Judged.Calls < 120 {
		t.Errorf("exit %d, %s\n%s", code, stderr, stdout)
	}
	if len(r.Sidecars) != 2 || r.Sidecars[0].CPU <= 0 || r.Sidecars[0].MaxMemory < 1<<20 || r.Sidecars[0].Descriptors < 5 || r.Generator.CPU <= 0 {
		t.Errorf("usage: %+v, generator %+v", r.Sidecars, r.Generator)
	}
	html, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(html), "<svg"); n != 3 {
		t.Errorf("%d plots on the page", n)
	}
	if external := regexp.MustCompile(`(src|href)="?http|@import|<script|<link`).FindString(string(html)); external != "" {
		t.Errorf("the page loads an external resource: %s", external)
	}
	// The recorded trace can be replayed.
	replayed := strings.Replace(smallScenario, "arrive constant 60/s", "arrive trace "+trace, 1)
	code, stdout, _ = call(t.Context(), "rehearse", writeFile(t, "again.txt", replayed), "--direct", "--output", "json", "--max-lag", "10s")
	var second rehearse.Report
	if err := json.Unmarshal([]byte(stdout), &second); err != nil || second.Classes[0].Count != 120 || second.Classes[1].Count != r.Classes[1].Count {
		t.Errorf("exit %d, %v: %+v, first %+v", code, err, second.Classes, r.Classes)
	}
}

// An interrupt in the middle of a rehearsal must yield a correct report that is marked as partial, and leave no process running.
func TestEarlyStop(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	sidecar := buildSidecar(t)
	text := strings.Replace(smallScenario, "length 2s", "length 60s", 1)
	var stdout bytes.Buffer
	stopAtAttempt := &trigger{text: "msg=attempt", do: stop} // the first failed attempt is logged: the load is running
	code := run(ctx, []string{"rehearse", writeFile(t, "s.txt", text), "--sidecar", sidecar, "--output", "json", "--max-lag", "10s", "--verbose"}, &stdout, stopAtAttempt)
	var r rehearse.Report
	if err := json.Unmarshal(stdout.Bytes(), &r); err != nil {
		t.Fatalf("%v: %s\n%s", err, &stdout, stopAtAttempt.received)
	}
	if code != 1 || !r.Partial || r.Classes[0].Count == 0 || r.Classes[0].Count > 3000 || !r.Rules.Kept {
		t.Errorf("exit %d: %s", code, &stdout)
	}
	if out, _ := exec.Command("pgrep", "-f", sidecar).Output(); len(out) > 0 {
		t.Errorf("processes still run: %s", out)
	}
	if _, shown, _ := call(ctx, "rehearse", writeFile(t, "s.txt", text), "--direct"); !strings.Contains(shown, "PARTIAL") {
		t.Errorf("not marked:\n%s", shown)
	}
}

// trigger is a writer that calls do whenever it is written to and has received text. It may be used by several goroutines.
type trigger struct {
	text     string
	do       func()
	mu       sync.Mutex
	received []byte
}

func (w *trigger) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.received = append(w.received, p...); bytes.Contains(w.received, []byte(w.text)) {
		w.do()
	}
	return len(p), nil
}

// Runs load against a sidecar that was started separately, with a configuration that standin wrote, and checks the counts of both commands.
func TestLoadAndStandin(t *testing.T) {
	defer goleak.VerifyNone(t)
	configs, scenario := t.TempDir(), writeFile(t, "s.txt", strings.Replace(smallScenario, "sidecars 2", "sidecars 1", 1))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	type result struct {
		code           int
		stdout, stderr string
	}
	ended := make(chan result, 1)
	go func() {
		code, stdout, stderr := call(ctx, "standin", scenario, "--configs", configs, "--faults-after", "1h")
		ended <- result{code, stdout, stderr}
	}()
	path := filepath.Join(configs, "n0.json")
	for {
		if text, err := os.ReadFile(path); err == nil && json.Valid(text) {
			break
		}
		select {
		case r := <-ended:
			t.Fatalf("%+v", r)
		case <-time.After(10 * time.Millisecond):
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	processes := &rehearse.Processes{Program: buildSidecar(t)}
	addr, err := processes.Start(0, text)
	if err != nil {
		t.Fatal(err)
	}
	code, stdout, stderr := call(t.Context(), "load", scenario, "--target", addr, "--output", "json", "--max-lag", "10s")
	var r rehearse.Report
	if err := json.Unmarshal([]byte(stdout), &r); err != nil || code != 0 || r.Classes[0].Served != 120 || r.Rules != nil {
		t.Errorf("exit %d, %v, %s\n%s", code, err, stderr, stdout)
	}
	if err := processes.Stop(); err != nil {
		t.Error(err)
	}
	stop()
	servers := <-ended
	var lines []serverLine
	if err := json.Unmarshal([]byte(servers.stdout), &lines); err != nil || servers.code != 0 || len(lines) != 4 {
		t.Fatalf("%v: %+v", err, servers)
	}
	ran := 0
	for _, l := range lines {
		ran += l.Ran
	}
	if ran != 120 {
		t.Errorf("the servers ran %d requests: %+v", ran, lines)
	}
}

// Each invalid input must be reported in one line before anything is started, with exit code 2 for wrong usage and 1 for an invalid file.
func TestInvalidInput(t *testing.T) {
	bad := writeFile(t, "bad.txt", "fleet 2\nclass a deadline=soon\narrive constant 1/s")
	trace := writeFile(t, "bad.jsonl", "{\"due_us\":5}\n{\"due_us\":4}\n")
	traced := writeFile(t, "traced.txt", "fleet 2\nclass a deadline=1s\narrive trace "+trace)
	good := writeFile(t, "good.txt", smallScenario)
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"rehearse", "monday"}, 1, `no scenario is called "monday"; there are calm`},
		{[]string{"rehearse", "./nowhere.txt"}, 1, "open ./nowhere.txt"},
		{[]string{"rehearse", bad}, 1, `bad.txt:2: deadline: "soon" is no duration`},
		{[]string{"rehearse", traced}, 1, "bad.jsonl:2: due_us: 4 comes after 5"},
		{[]string{"load", traced, "--target", "127.0.0.1:1"}, 1, "bad.jsonl:2: due_us: 4 comes after 5"},
		{[]string{"rehearse", good, "--sidecar", "./nowhere"}, 1, "no sidecar program at ./nowhere"},
		{[]string{"rehearse", good, "--sidecar", "/bin/false"}, 1, "/bin/false ended at once"},
		{[]string{"rehearse", "calm", "stall"}, 2, "accepts at most 1 arg"},
		{[]string{"rehearse", "--output", "xml"}, 2, `--output: "xml": write text or json`},
		{[]string{"rehearse", "--max-lag", "0s"}, 2, "--max-lag: 0s must be over 0"},
		{[]string{"rehearse", "--fast"}, 2, "unknown flag: --fast"},
		{[]string{"rehearse", "--seed", "-1"}, 2, `"-1"`},
		{[]string{"load", "calm"}, 2, "--target: missing"},
		{[]string{"load", "calm", "--target", "127.0.0.1"}, 2, `--target: "127.0.0.1" is no address`},
		{[]string{"load"}, 2, "accepts 1 arg"},
		{[]string{"standin", "calm"}, 2, "--configs: missing"},
		{[]string{"standin", "calm", "--configs", "/nowhere"}, 1, "open /nowhere/n0.json"},
		{[]string{"rehears"}, 2, `unknown command "rehears"`},
	} {
		code, stdout, stderr := call(t.Context(), c.args...)
		line, rest, _ := strings.Cut(stderr, "\n")
		if code != c.code || stdout != "" || !strings.Contains(line, c.want) || strings.HasPrefix(line, "petrelhookctl: ") == false {
			t.Errorf("%v: exit %d, %q, %q; want %d, %q", c.args, code, stdout, stderr, c.code, c.want)
		}
		if rest != "" && !strings.Contains(c.want, "ended at once") && !strings.Contains(c.want, "unknown command") {
			t.Errorf("%v: more than one line: %q", c.args, stderr)
		}
	}
}

// Runs the tool as a process: SIGINT must end a rehearsal gracefully, with a partial report.
func TestInterrupt(t *testing.T) {
	tool := filepath.Join(t.TempDir(), "petrelhookctl")
	if out, err := exec.Command("go", "build", "-o", tool, "petrelhook/cmd/petrelhookctl").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	trace := filepath.Join(t.TempDir(), "t.jsonl")
	cmd := exec.Command(tool, "rehearse", "calm", "--direct", "--record", trace)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Minute); time.Now().Before(end); { // the trace is created when the rehearsal begins
		if _, err := os.Stat(trace); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	cmd.Process.Signal(syscall.SIGINT)
	cmd.Wait()
	if code := cmd.ProcessState.ExitCode(); code != 1 || !strings.Contains(out.String(), "PARTIAL") || strings.Contains(out.String(), "BROKEN") {
		t.Errorf("exit %d:\n%s", code, out.String())
	}
}
