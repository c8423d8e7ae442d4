package http1

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// loadReportHeader is the header field in which servers report their load.
const loadReportHeader = "Endpoint-Load-Metrics"

// parseReport parses "TEXT name=value, name=value". It returns the values in the order of fields, with NaN for a missing one, or
// nil if there is no value. It skips other names, and values that are negative or not finite numbers.
func parseReport(text string, fields []string) []float32 {
	var report []float32
	for _, item := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' }) {
		name, value, _ := strings.Cut(item, "=")
		i := slices.Index(fields, name)
		v, err := strconv.ParseFloat(value, 32)
		if i < 0 || err != nil || !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		for len(report) < len(fields) {
			report = append(report, float32(math.NaN()))
		}
		report[i] = float32(v)
	}
	return report
}
