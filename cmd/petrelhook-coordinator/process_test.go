package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"petrelhook/internal/common/command"
	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/rig/belief"
	"petrelhook/internal/rig/contend"
	"petrelhook/internal/rig/coordinator"
	"petrelhook/internal/rig/process"
)

const (
	roleVariable = "PETRELFLEET_TEST"
	ttl          = contend.TTL
)

// The test binary also runs as a coordinator or as a holder, depending on the role in its environment.
func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "coordinator":
		os.Exit(command.Main(run))
	case "":
	default:
		contend.Run(os.Getenv(roleVariable), os.Args[1:])
	}
	os.Exit(m.Run())
}

// call sends one request to one coordinator, without retries.
func call(ctx context.Context, addr string, in fleet.Request) (*fleet.Response, error) {
	res, err := fleet.Client[fleet.Request, fleet.Response](http.DefaultClient, addr, fleet.PathRequest).CallUnary(ctx, connect.NewRequest(&in))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// start starts the test binary as a process in the given role.
func start(t *testing.T, role string, out io.Writer, args ...string) *process.Process {
	t.Helper()
	cmd := process.Self(roleVariable, role, args...)
	cmd.Stdout = out
	return process.Start(t, cmd)
}

func newGroup(t *testing.T, n int) *coordinator.Group {
	t.Helper()
	return coordinator.NewGroup(t, n, func(args ...string) *exec.Cmd { return process.Self(roleVariable, "coordinator", args...) })
}

// faultRounds returns the number of faults that a test injects: the value of the environment variable ROUNDS, or else defaultRounds.
func faultRounds(defaultRounds int) int {
	n := defaultRounds
	fmt.Sscan(os.Getenv("ROUNDS"), &n)
	return n
}

// Coordinators and eight holders run as real processes under random faults of the processes and of the links between them. No two holders
// may hold the lease at once, no token may be granted twice, and the guard must admit tokens in order.
func TestProcessesUnderFaults(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { runUnderFaults(t, n, faultRounds(8), rand.New(rand.NewPCG(uint64(n), 1))) })
	}
}

func runUnderFaults(t *testing.T, n, rounds int, random *rand.Rand) {
	t.Parallel()
	g, r := newGroup(t, n), &contend.Resource{}
	guarded := peertest.NewRaw(t, r.Serve)
	var holders []*process.Process
	var outs []*process.Buffer
	for i := range 8 {
		out := &process.Buffer{}
		outs = append(outs, out)
		holders = append(holders, start(t, contend.RoleHolder, out, fmt.Sprint("h", i), guarded, strings.Join(g.Addrs(), ",")))
	}
	awaitProgress := func() {
		t.Helper()
		before := len(r.Writes())
		peertest.Eventually(t, "holders act", func() bool { return len(r.Writes()) > before+20 })
	}
	awaitProgress()
	faults := map[string]int{}
	for range rounds {
		fault := g.InjectFault(random, ttl, holders)
		faults[fault]++
		awaitProgress() // the fault is over, and holders act again
	}
	for _, h := range holders {
		h.Input.Close()
		h.Wait()
	}
	var beliefs []belief.Belief
	for i, out := range outs {
		beliefs = append(beliefs, contend.ParseBeliefs(fmt.Sprint("h", i), out.String())...)
	}
	result := belief.Check(beliefs, r.Writes())
	t.Logf("%d coordinators, %d faults %v: %d checks, %d writes, %d changes of the holder, %d writes refused by the guard", n, rounds, faults, result.Beliefs, result.Writes, result.HolderChanges, result.Rejected)
	for _, w := range result.Violations {
		t.Error(w)
	}
	if result.HolderChanges < rounds {
		t.Errorf("%d changes of the holder", result.HolderChanges)
	}
}
