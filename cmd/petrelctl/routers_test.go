package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/capacity"
)

// The page on the capacity of the router fleet is what its figures say.
func TestRoutersPage(t *testing.T) {
	points := "../../deploy/routers-measured.json"
	text, err := os.ReadFile(points)
	require.NoError(t, err)
	m, err := capacity.ParseMeasured(points, text)
	require.NoError(t, err)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	next, err := capacity.RouterPage(string(page), m, capacity.Router)
	require.NoError(t, err)
	require.Equal(t, next, string(page), "petrelctl routers page docs/CAPACITY.md")
}

// A small fleet: three routers as the core and nine hollow sidecars, from outside; counts and not times are looked at.
func TestRouters(t *testing.T) {
	folder := t.TempDir()
	router := filepath.Join(folder, "petrelrouter")
	require.NoError(t, exec.Command("go", "build", "-o", router, "../petrelrouter").Run())
	file := filepath.Join(folder, "points.json")
	cmd := routersCommand()
	cmd.SetArgs([]string{"--router", router, "--core", "3", "--sizes", "12", "--runs", "1", "--steady", "200ms", "--servers", "630",
		"--tenants", "630", "--changes", "2", "--json", file})
	require.NoError(t, cmd.ExecuteContext(t.Context()))
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	m, err := capacity.ParseMeasured(file, text)
	require.NoError(t, err)
	seen := map[string]float64{}
	for _, p := range m.Points {
		seen[p.Workload+"/"+p.Role+"/"+p.Metric] = p.Value
	}
	require.Positive(t, seen["changes/sidecar/in_force_us"])
	require.Positive(t, seen["all sidecars restarted/sidecar/ready_us"])
	require.Positive(t, seen["primary lost/primary/order_us"])
	require.GreaterOrEqual(t, seen["primary lost/sidecar/in_force_us"], seen["primary lost/primary/order_us"])
	require.Positive(t, seen["heartbeats/primary/bytes_out_s"])
	require.Positive(t, seen["quota draws/control sidecar/memory_bytes"])
}

// A run that is told to end does so within its step, and leaves no process.
func TestRoutersThatAreToldToEnd(t *testing.T) {
	router := filepath.Join(t.TempDir(), "petrelrouter")
	require.NoError(t, exec.Command("go", "build", "-o", router, "../petrelrouter").Run())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	cmd := routersCommand()
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	cmd.SetArgs([]string{"--router", router, "--core", "3", "--sizes", "12", "--runs", "1", "--json", filepath.Join(t.TempDir(), "points.json")})
	require.ErrorIs(t, cmd.ExecuteContext(ctx), context.Canceled)
}

func TestRoutersBadOptions(t *testing.T) {
	for _, args := range [][]string{{"--core", "1"}, {"--runs", "0"}, {"--sizes", "5"}, {"--sizes", "9000"}} {
		cmd := routersCommand()
		cmd.SilenceErrors, cmd.SilenceUsage = true, true
		cmd.SetArgs(args)
		require.Error(t, cmd.Execute(), args)
	}
}
