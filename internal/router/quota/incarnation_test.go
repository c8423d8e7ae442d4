package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A client does not apply an answer to a request of an earlier process: the primary allocated that share to another
// incarnation.
func TestAnAnswerToAnEarlierIncarnation(t *testing.T) {
	const now = 5 * time.Second
	before, client := NewClient(4711), NewClient(815)
	late := before.RequestShares(now).Nonce
	request := client.RequestShares(now).Nonce
	client.ApplyShares(late, map[string]float64{"t": 1}, now)
	require.Zero(t, client.leaseEnd)
	client.ApplyShares(request, map[string]float64{"t": 1}, now)
	require.Equal(t, now+LeaseDuration, client.leaseEnd)
}
