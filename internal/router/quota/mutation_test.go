//go:build !race

package quota

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each guard that keeps pools within the limits is taken out of the code, and the simulations notice.
func TestGuardsOfPools(t *testing.T) {
	const (
		here   = "petrelhook/internal/router/quota"
		shares = "internal/router/quota/leased_shares.go"
		pool   = "internal/router/quota/pool.go"
	)
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"a deposit is spent by the pool alone": {shares, "if now < c.pooledUntil {", "if false {", here, "TestTheLimitIsNotExceeded"},
		"a deposit counts from its request":    {pool, "expires := requestedAt + d.For", "expires := now + d.For", here, "TestADepositEndsAtThePoolFirst"},
		"debts outlast deposits":               {pool, "if a.units >= 0 {", "if true {", here, "TestTheLimitIsNotExceeded"},
		"debts go with a deposit":              {shares, "d.Debts[name] = -tenant.overdraft.units", "_ = name", here, "TestDebtsGoWithADeposit"},
		"a router is not refilled meanwhile":   {shares, "from := max(tenant.refilledAt, c.pooledUntil)", "from := tenant.refilledAt", here, "TestADepositEndsAtThePoolFirst"},
	})
}
