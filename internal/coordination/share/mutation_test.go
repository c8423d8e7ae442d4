//go:build !race

package share

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// What the argument needs is taken out of the code, one at a time: each is caught.
func TestTheChecksCanFail(t *testing.T) {
	const divider, pkg, test = "internal/coordination/share/divider.go", "./internal/coordination/share", "TestNeverOverTheLimit"
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"the drift margin":           {"internal/coordination/lease/doc.go", "/ (1 + MaxDrift)", "/ 1", pkg, test},
		"the wait of a new leader":   {divider, "if now < d.from {", "if false {", pkg, test},
		"the room that is left":      {divider, "units := max(0, min(m.want, int(m.due), free))", "units := max(0, min(m.want, int(m.due)))", pkg, test},
		"the floors' part":           {divider, "free := d.limit.Units - d.limit.Floor - d.out", "free := d.limit.Units - d.out", pkg, test},
		"a lower limit":              {divider, "func (d *Allocator) SetUnits(units int) { d", "func (d *Allocator) SetUnits(units int) { units = max(units, d.limit.Units); d", pkg, test},
		"spent units count":          {divider, "d.back(p, p.units-s.Units)", "d.back(p, p.units)", pkg, test},
		"what comes back is not had": {"internal/coordination/share/taker.go", "p.units = p.Units // what was spent counts to its end", "_ = 0", pkg, test},
		"heard twice is once":        {divider, "s.Units < p.units {", "s.Units < p.units+1 {\n			d.out--", pkg, test},
	})
}
