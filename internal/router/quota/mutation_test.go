//go:build !race

package quota

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Removing any of the guards that keep pools within the limits makes a test fail.
func TestGuardsOfPools(t *testing.T) {
	const (
		here   = "petrelhook/internal/router/quota"
		shares = "internal/router/quota/leased_shares.go"
		pool   = "internal/router/quota/pool.go"
	)
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"a deposit is spent by the pool alone": {File: shares, Text: "if now < c.pooledUntil {", Replacement: "if false {", Package: here, Test: "TestTheLimitIsNotExceeded"},
		"a deposit counts from its request":    {File: pool, Text: "expires := requestedAt + d.For", Replacement: "expires := now + d.For", Package: here, Test: "TestADepositEndsAtThePoolFirst"},
		"debts outlast deposits":               {File: pool, Text: "if a.units >= 0 {", Replacement: "if true {", Package: here, Test: "TestTheLimitIsNotExceeded"},
		"debts go with a deposit":              {File: shares, Text: "d.Debts[name] = -tenant.overdraft.units", Replacement: "_ = name", Package: here, Test: "TestDebtsGoWithADeposit"},
		"a router is not refilled meanwhile":   {File: shares, Text: "from := max(tenant.refilledAt, c.pooledUntil)", Replacement: "from := tenant.refilledAt", Package: here, Test: "TestADepositEndsAtThePoolFirst"},
	})
}
