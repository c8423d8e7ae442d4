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

// The test program is a coordinator and a holder as well, by its role.
func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "coordinator":
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	case "":
	default:
		contend.Run(os.Getenv(roleVariable), os.Args[1:])
	}
	os.Exit(m.Run())
}

// call makes one call to one coordinator.
func call(ctx context.Context, addr string, in fleet.Request) (*fleet.Response, error) {
	res, err := fleet.Client[fleet.Request, fleet.Response](http.DefaultClient, addr, fleet.PathRequest).CallUnary(ctx, connect.NewRequest(&in))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// start starts this program in a role.
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

// rounds returns how many rounds a test plays: ROUNDS of the environment, else a few.
func rounds(few int) int {
	n := few
	fmt.Sscan(os.Getenv("ROUNDS"), &n)
	return n
}

// Real processes, coordinators and eight holders, under random faults of processes and of the links between them: no two hold at
// once, no token is granted twice, and the guard admits in order.
func TestProcessesUnderFaults(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { underFaults(t, n, rounds(8), rand.New(rand.NewPCG(uint64(n), 1))) })
	}
}

func underFaults(t *testing.T, n, rounds int, random *rand.Rand) {
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
	progress := func() {
		t.Helper()
		was := len(r.Writes())
		peertest.Eventually(t, "a holder acts", func() bool { return len(r.Writes()) > was+20 })
	}
	progress()
	faults := map[string]int{}
	for range rounds {
		what := g.InjectFault(random, ttl, holders)
		faults[what]++
		progress() // the fault is over, and the fleet goes on
	}
	for _, h := range holders {
		h.Input.Close()
		h.Wait()
	}
	var looks []belief.Belief
	for i, out := range outs {
		looks = append(looks, contend.ParseBeliefs(fmt.Sprint("h", i), out.String())...)
	}
	v := belief.Check(looks, r.Writes())
	t.Logf("%d coordinators, %d faults %v: %d checks, %d acts, %d holders one after another, %d acts refused by the guard", n, rounds, faults, v.Beliefs, v.Writes, v.HolderChanges, v.Rejected)
	for _, w := range v.Violations {
		t.Error(w)
	}
	if v.HolderChanges < rounds {
		t.Errorf("%d holders one after another", v.HolderChanges)
	}
}
