package gobschema

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDescribe(t *testing.T) {
	type inner struct {
		Names []string
		Raw   []byte
	}
	type outer struct {
		Inner    *inner
		Sums     map[string]float64
		Wait     time.Duration
		Counts   [2]uint16
		Any      any
		Valid    bool
		internal int
	}
	_ = outer{internal: 0}
	require.Equal(t, "{Inner {Names []string; Raw bytes}; Sums map[string]float; Wait int; Counts [2]uint; Any interface; Valid bool}",
		Describe(reflect.TypeFor[outer]()))
}
