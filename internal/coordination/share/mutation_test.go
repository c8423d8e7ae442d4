//go:build !race

package share

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each step of the argument is taken out of the code, one at a time: the test fails.
func TestTheChecksCanFail(t *testing.T) {
	const allocator, pkg, test = "internal/coordination/share/allocator.go", "./internal/coordination/share", "TestNeverOverTheLimit"
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"the drift margin":             {"internal/coordination/lease/doc.go", "/ (1 + MaxDrift)", "/ 1", pkg, test},
		"the wait of a new leader":     {allocator, "if now < a.startsAt {", "if false {", pkg, test},
		"the free units":               {allocator, "units := max(0, min(m.demand, int(m.entitled), free))", "units := max(0, min(m.demand, int(m.entitled)))", pkg, test},
		"the floors":                   {allocator, "free := a.limit.Units - a.limit.Floor - a.outstanding", "free := a.limit.Units - a.outstanding", pkg, test},
		"a lower limit":                {allocator, "func (a *Allocator) SetUnits(units int) { a", "func (a *Allocator) SetUnits(units int) { units = max(units, a.limit.Units); a", pkg, test},
		"spent units count":            {allocator, "a.giveBack(allocation, allocation.units-usage.Units)", "a.giveBack(allocation, allocation.units)", pkg, test},
		"returned units are not spent": {"internal/coordination/share/consumer.go", "held.units = held.usage.Units // what was spent counts until the end", "_ = 0", pkg, test},
		"reported twice is once":       {allocator, "usage.Units < allocation.units {", "usage.Units < allocation.units+1 {\n			a.outstanding--", pkg, test},
	})
}
