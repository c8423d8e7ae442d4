package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A grant that answers a question of the process before is not one of this process: the primary gave that share to another life.
func TestAGrantOfAnEarlierLife(t *testing.T) {
	const now = 5 * time.Second
	before, client := NewClient(4711), NewClient(815)
	late, _, _ := before.RequestShares(now)
	question, _, _ := client.RequestShares(now)
	client.ApplyShares(late, map[string]float64{"t": 1}, now)
	require.Zero(t, client.until)
	client.ApplyShares(question, map[string]float64{"t": 1}, now)
	require.Equal(t, now+LeaseDuration, client.until)
}
