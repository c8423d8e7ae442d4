//go:build !race

package share

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each mutant removes one step of the package's safety argument from the code. TestNeverOverTheLimit must fail for every mutant.
func TestTheChecksCanFail(t *testing.T) {
	const allocator, pkg, test = "internal/coordination/share/allocator.go", "./internal/coordination/share", "TestNeverOverTheLimit"
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"the drift margin":             {File: "internal/coordination/lease/doc.go", Text: "/ (1 + MaxDrift)", Replacement: "/ 1", Package: pkg, Test: test},
		"the wait of a new leader":     {File: allocator, Text: "if now < a.startsAt {", Replacement: "if false {", Package: pkg, Test: test},
		"the free units":               {File: allocator, Text: "units := max(0, min(m.demand, int(m.entitled), free))", Replacement: "units := max(0, min(m.demand, int(m.entitled)))", Package: pkg, Test: test},
		"the floors":                   {File: allocator, Text: "free := a.limit.Units - a.limit.Floor - a.outstanding", Replacement: "free := a.limit.Units - a.outstanding", Package: pkg, Test: test},
		"a lower limit":                {File: allocator, Text: "func (a *Allocator) SetUnits(units int) { a", Replacement: "func (a *Allocator) SetUnits(units int) { units = max(units, a.limit.Units); a", Package: pkg, Test: test},
		"spent units count":            {File: allocator, Text: "a.giveBack(allocation, allocation.units-usage.Units)", Replacement: "a.giveBack(allocation, allocation.units)", Package: pkg, Test: test},
		"returned units are not spent": {File: "internal/coordination/share/consumer.go", Text: "held.units = held.usage.Units // the spent units count until the allocation expires", Replacement: "_ = 0", Package: pkg, Test: test},
		"reported twice is once":       {File: allocator, Text: "usage.Units < allocation.units {", Replacement: "usage.Units < allocation.units+1 {\n			a.outstanding--", Package: pkg, Test: test},
	})
}
