package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The state command rejects the replica.db of a coordinator, which has the same name as that of a router, and prints an
// error of a single line.
func TestStateOfACoordinatorsDisk(t *testing.T) {
	coordinatorState, err := os.ReadFile("../../internal/coordination/replica/disk/testdata/cfdfdec/replica.db")
	require.NoError(t, err)
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "replica.db"), coordinatorState, 0o600))
	var out bytes.Buffer
	require.Equal(t, exitFailure, run([]string{"petrelhook-router", "state", folder}, &out, &out, nil))
	require.Equal(t, 1, strings.Count(out.String(), "\n"), out.String())
	require.Contains(t, out.String(), "replica.db: hard state: ")
}
