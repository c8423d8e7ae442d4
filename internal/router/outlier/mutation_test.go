//go:build !race

package outlier

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each guard of the detector is taken out of the code, and a test notices.
func TestGuardsOfTheCode(t *testing.T) {
	const (
		here     = "petrelhook/internal/router/outlier"
		detector = "internal/router/outlier/detector.go"
	)
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"the others than the worst teller": {"internal/router/outlier/doc.go", "		others.Failed >= leastFailed/3 && others.ratio() >= limit/2", "		others.Failed < 1e9",
			here, "TestAConfusedTellerDoesNoHarm"},
		"a teller's weight": {detector, "if w.sent > tellerSends {", "if false {",
			here, "TestOneTellerDoesNotHideWhatOthersSee"},
		"half of a service": {detector, "room := int(ejectablePart * float64(usable))", "room := usable",
			here, "TestAServiceIsNeverEmptied"},
		"the median of the service": {detector, "return max(leastRatio, medianFactor*median)", "_ = median\n\treturn leastRatio",
			here, "TestAServiceIsNeverEmptied"},
		"the own zone's word": {detector, "return s.all.fails(limit) && !contradicted", "_ = contradicted\n\treturn s.all.fails(limit)",
			here, "TestOwnEvidenceGoesBeforeTheFleets"},
		"trials of all together": {detector, "return min(part, trialsPerS/max(rate, forgotten))", "_ = rate\n\treturn part",
			here, "TestAServerThatFailsInPart"},
		"an operator's word": {detector, "&& now >= one.server.admitted && one.outlier(limit)", "&& one.outlier(limit)",
			here, "TestAnOperatorAdmitsAServer"},
	})
}
