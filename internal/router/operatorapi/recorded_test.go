package operatorapi

import (
	"net/http"
	"os"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/gobschema"
)

// A snapshot of an earlier version restores the configuration and the accepted orders. The file was written by revision
// cfdfdec; internal/router/wireformat/testdata says how.
func TestRecordedSnapshotIsRestored(t *testing.T) {
	recorded, err := os.ReadFile("testdata/cfdfdec/register.snapshot")
	require.NoError(t, err)
	register := NewRegister()
	require.NoError(t, register.Restore(recorded))
	require.Equal(t, int64(3), register.Generation())
	require.Equal(t, "r1", register.Config().Routes[0].Value.Name)
	decision := register.Decide(order(Replace, 0, completeConfig))
	require.False(t, decision.Accept)
	require.Equal(t, http.StatusOK, decision.Status, "an order that was accepted before is acknowledged again")

	same := NewRegister()
	require.NoError(t, same.Restore(register.Snapshot()))
	require.Equal(t, register.Config(), same.Config())
}

// A snapshot has exactly the recorded fields, so an earlier version can read it.
func TestSnapshotSchema(t *testing.T) {
	require.Equal(t, "{Config bytes; Taken bytes; Bases []int; Forgotten int}", gobschema.Describe(reflect.TypeFor[snapshot]()))
}
