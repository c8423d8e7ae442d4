package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/dissemination"
)

// A new primary is told what was spent until it has answered; an answer of the one before does not count.
func TestANewPrimaryIsToldWhatWasSpent(t *testing.T) {
	n := newNode(t, "")
	first, second := member("10.0.1.1:7000", "z1"), member("10.0.2.1:7000", "z2")
	n.noteView(view(1, first, second))
	n.onQuotaGrant(first.Address, dissemination.QuotaGrant{})
	require.True(t, n.spentTold)
	n.every.quota.due(0, n.now())
	n.noteView(view(2, second, first))
	require.False(t, n.spentTold)
	require.True(t, n.every.quota.due(quotaEvery, n.now()), "at once")
	n.onQuotaGrant(first.Address, dissemination.QuotaGrant{})
	require.False(t, n.spentTold)
	n.noteView(view(3, second, first))
	require.False(t, n.every.quota.due(quotaEvery, n.now()), "the primary is the same")
	n.onQuotaGrant(second.Address, dissemination.QuotaGrant{})
	require.True(t, n.spentTold)
}
