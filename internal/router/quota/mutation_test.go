//go:build !race

package quota

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each guard that keeps pools within the limits is taken out of the code, and the plays notice.
func TestGuardsOfPools(t *testing.T) {
	const (
		here   = "petrelhook/internal/router/quota"
		client = "internal/router/quota/client.go"
		pool   = "internal/router/quota/pool.go"
	)
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"a deposit is spent by the pool alone": {client, "if now < t.pooled {", "if false {", here, "TestTheLimitHolds"},
		"a deposit counts from the question":   {pool, "until := asked + d.For", "until := now + d.For", here, "TestADepositEndsAtThePoolFirst"},
		"debts outlast deposits":               {pool, "if a.units >= 0 {", "if true {", here, "TestTheLimitHolds"},
		"debts go with a deposit":              {client, "d.Debts[name] = -b.lease.units", "_ = name", here, "TestDebtsGoWithADeposit"},
		"a sidecar earns nothing meanwhile":    {client, "from := max(b.filled, t.pooled)", "from := b.filled", here, "TestADepositEndsAtThePoolFirst"},
	})
}
