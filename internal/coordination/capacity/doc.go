// Package capacity computes what a fleet of a stated size needs of each role, and compares it with what the role has: state, messages,
// processor time and memory, each with a budget and a verdict. It is pure, and safe for concurrent use.
//
// Two files go in: assumptions (Parse), which are the targets of the operators and what nobody has measured, and the points of a scale run
// (ParseMeasured), which may be missing. Straight lines are fitted to the points (Fit) and checked at a larger size. The model makes rows of
// both; each Figure names its sources, and what it lacks. A report has the rows and their ranking:
//
//	assumptions, err := capacity.Parse("deploy/capacity.yaml", text)
//	...
//	report := capacity.NewReport(assumptions, nil) // nil: nothing was measured
//	err = report.WriteText(os.Stdout)
//
// Page writes the tables of a report into a page that has text besides, docs/CAPACITY-sidecars.md.
package capacity
