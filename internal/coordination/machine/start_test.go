package machine

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/internal/rig/process"
)

// The test binary is also the helper process of starts, and the program of a fake release.
func TestMain(m *testing.M) {
	if file := os.Getenv("MACHINE_TEST_START"); file != "" {
		fmt.Println(BecomeSidecar(file, "/bin/echo", []string{"it", "runs"}))
		os.Exit(1)
	}
	if os.Getenv("MACHINE_TEST_THREADS") != "" {
		syscall.RawSyscall(syscall.SYS_EXIT, 0, 0, 0) // exits this thread only
	}
	if os.Getenv(fakeVariable) != "" {
		runFakeProgram(os.Args[1:])
	}
	if len(os.Args) > 3 && os.Args[1] == "once" {
		fmt.Fprintln(os.Stderr, BecomeSidecar(os.Args[2], os.Args[3], os.Args[4:]))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

func init() {
	if os.Getenv("MACHINE_TEST_THREADS") != "" || len(os.Args) > 1 && os.Args[1] == "once" {
		// The thread that exits, or executes the program, must be the first one; see cmd/petrelhook-agent.
		runtime.LockOSThread()
	}
}

// A process whose first thread has exited is alive as long as another thread runs. A start is in this state for a moment while
// the helper executes the program. An agent that considered the process dead would kill a healthy sidecar, and the rollout would
// stop although the release has no fault.
func TestAFirstThreadIsNotAProcess(t *testing.T) {
	s := process.Start(t, process.Self("MACHINE_TEST_THREADS", "1"))
	peertest.Eventually(t, "its first thread has exited", func() bool { return s.State() == "Z" })
	startTime, _ := startTicks(s.Pid)
	if p := (agent.Process{PID: s.Pid, StartTicks: startTime}); !IsRunning(p) {
		t.Error("the process counts as exited")
	}
	s.Kill()
	peertest.Eventually(t, "the process exits", func() bool { _, err := startTicks(s.Pid); return err != nil })
}

// A start is either claimed by its process or abandoned: the process of a claimed start is found, and an abandoned start never
// runs.
func TestAStartIsMadeOnce(t *testing.T) {
	helper := func(file string) (string, int) {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "MACHINE_TEST_START="+file)
		out, _ := cmd.CombinedOutput()
		return string(out), cmd.Process.Pid
	}
	claimed, unclaimed := filepath.Join(t.TempDir(), "made"), filepath.Join(t.TempDir(), "unmade")
	out, pid := helper(claimed)
	if out != "it runs\n" {
		t.Fatal(out)
	}
	for range 2 {
		if p, err := resolveStart(claimed); err != nil || p == nil || p.PID != pid || p.StartTicks == 0 || IsRunning(*p) {
			t.Errorf("%v, %v", p, err)
		}
		if p, err := resolveStart(unclaimed); err != nil || p != nil {
			t.Errorf("%v, %v", p, err)
		}
	}
	if out, _ := helper(unclaimed); out == "it runs\n" {
		t.Error("an abandoned start ran")
	}
	if out, _ := helper(claimed); out == "it runs\n" {
		t.Error("a start ran twice")
	}
}

// A process is identified by its ID and its start time: another process that has the same ID does not count.
func TestIsRunning(t *testing.T) {
	startTime, err := startTicks(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	p := agent.Process{PID: os.Getpid(), StartTicks: startTime}
	if ticks, memory := usage(p); !IsRunning(p) || memory < 1<<20 {
		t.Errorf("%d ticks, %d bytes", ticks, memory)
	}
	if p.StartTicks++; IsRunning(p) {
		t.Error("a process with another start time counts as the same")
	}
	if _, memory := usage(p); memory != 0 {
		t.Error("the memory of another process was reported")
	}
}

// A restarted agent rejects a driver whose token is older than one that the agent saw before the restart. Two agents cannot use
// one data folder.
func TestFenceIsPersisted(t *testing.T) {
	dir := t.TempDir()
	c := &Config{Application: "a", Data: filepath.Join(dir, "data"), Releases: filepath.Join(dir, "releases"), PollInterval: time.Second}
	for _, call := range []struct {
		token uint64
		code  connect.Code
	}{{5, 0}, {4, connect.CodeAborted}, {6, 0}, {5, connect.CodeAborted}} {
		m, err := Open(c, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Open(c, m.log); err == nil || !strings.Contains(err.Error(), "another agent") {
			t.Errorf("%v", err)
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- m.Run(ctx, ln) }()
		in := &StatusRequest{Version: Version, Application: "a", Token: call.token}
		_, err = rpc.Client[StatusRequest, Status](http.DefaultClient, ln.Addr().String(), PathStatus, MaxResponseBytes).CallUnary(ctx, connect.NewRequest(in))
		if (err != nil) != (call.code != 0) || err != nil && connect.CodeOf(err) != call.code {
			t.Errorf("token %d: %v", call.token, err)
		}
		in = &StatusRequest{Version: Version + 1, Application: "a"} // the message of another version; that of another application is in the map
		for want, in := range map[string]*StatusRequest{"version 2; this agent speaks 1": in, `this agent is of "a"`: {Version: Version, Application: "b"}} {
			_, err = rpc.Client[StatusRequest, Status](http.DefaultClient, ln.Addr().String(), PathStatus, MaxResponseBytes).CallUnary(ctx, connect.NewRequest(in))
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v, want %s", err, want)
			}
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// An order of a stale driver is rejected with CodeAborted, and one that arrives after a later order with CodeFailedPrecondition:
// only the former stops the driver.
func TestCodesOfRefusedOrders(t *testing.T) {
	m := &Machine{driver: driverContact{fence: rollout.Fence{Token: 5, LastOrders: map[string]uint64{"n0": 3}}}}
	for _, c := range []struct {
		token, number uint64
		code          connect.Code
		text          string
	}{
		{4, 4, connect.CodeAborted, "the driver with token 4: one with 5 was heard"},
		{4, 2, connect.CodeAborted, "the driver with token 4: one with 5 was heard"},
		{5, 2, connect.CodeFailedPrecondition, "order 2: order 3 came after it"},
	} {
		_, err := m.acceptOrder(nil, c.token, rollout.Order{Number: c.number, Sidecar: "n0", Release: "r"})
		var refusal *connect.Error
		if !errors.As(err, &refusal) || refusal.Code() != c.code || refusal.Message() != c.text {
			t.Errorf("token %d, order %d: %v", c.token, c.number, err)
		}
	}
}
