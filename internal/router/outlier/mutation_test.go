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
		evidence = "internal/router/outlier/evidence.go"
		judge    = "internal/router/outlier/judge.go"
	)
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"the others than the worst reporter": {evidence, "		others.Failed >= minFailures/3 && others.failureRatio() >= limit/2", "		others.Failed < 1e9",
			here, "TestAConfusedReporterDoesNoHarm"},
		"a reporter's weight": {detector, "if c.sent > maxReporterSends {", "if false {",
			here, "TestOneReporterDoesNotHideWhatOthersSee"},
		"half of a service": {judge, "allowed := int(maxEjectedFraction * float64(usable))", "allowed := usable",
			here, "TestAServiceIsNeverEmptied"},
		"the median of the service": {judge, "return max(minFailureRatio, medianFactor*median)", "_ = median\n\treturn minFailureRatio",
			here, "TestAServiceIsNeverEmptied"},
		"the own zone's evidence": {judge, "return s.fleet.fails(limit) && !contradicted", "_ = contradicted\n\treturn s.fleet.fails(limit)",
			here, "TestOwnEvidenceGoesBeforeTheFleets"},
		"trials of all together": {judge, "return min(maxProbability, trialsPerSecond/max(rate, minSends))", "_ = rate\n\treturn maxProbability",
			here, "TestAServerThatFailsInPart"},
		"an operator's override": {judge, "&& now >= s.server.admittedUntil && s.isOutlier(limit)", "&& s.isOutlier(limit)",
			here, "TestAnOperatorAdmitsAServer"},
	})
}
