//go:build !race

package outlier

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Removing any of the detector's guards makes a test fail.
func TestGuardsOfTheCode(t *testing.T) {
	const (
		here     = "petrelhook/internal/router/outlier"
		detector = "internal/router/outlier/detector.go"
		evidence = "internal/router/outlier/evidence.go"
		judge    = "internal/router/outlier/judge.go"
	)
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"evidence without the worst reporter": {File: evidence, Text: "		others.Failed >= minFailures/3 && others.failureRatio() >= limit/2", Replacement: "		others.Failed < 1e9",
			Package: here, Test: "TestAFaultyReporterDoesNoHarm"},
		"the bound on one reporter's attempts": {File: detector, Text: "if c.sent > maxReporterSends {", Replacement: "if false {",
			Package: here, Test: "TestOneReporterDoesNotHideWhatOthersSee"},
		"at most half of a service's servers": {File: judge, Text: "allowed := int(maxEjectedFraction * float64(usable))", Replacement: "allowed := usable",
			Package: here, Test: "TestAServiceIsNeverEmptied"},
		"the median of the service": {File: judge, Text: "return max(minFailureRatio, medianFactor*median)", Replacement: "_ = median\n\treturn minFailureRatio",
			Package: here, Test: "TestAServiceIsNeverEmptied"},
		"own evidence overrules the fleet's": {File: judge, Text: "return s.fleet.fails(limit) && !contradicted", Replacement: "_ = contradicted\n\treturn s.fleet.fails(limit)",
			Package: here, Test: "TestOwnEvidenceOverrulesTheFleets"},
		"the rate of trials": {File: judge, Text: "return min(maxProbability, trialsPerSecond/max(rate, minSends))", Replacement: "_ = rate\n\treturn maxProbability",
			Package: here, Test: "TestAServerThatFailsInPart"},
		"an operator's override": {File: judge, Text: "&& now >= s.server.admittedUntil && s.isOutlier(limit)", Replacement: "&& s.isOutlier(limit)",
			Package: here, Test: "TestAnOperatorAdmitsAServer"},
	})
}
