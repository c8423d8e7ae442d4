// Package capacity computes the resources that each role of a fleet of a stated size needs (state, messages, processor time,
// memory) and compares them with budgets. It reads no clock, does no I/O of its own and is safe for concurrent use.
//
// The input is the text of two files: the assumptions (Parse), which are the targets of the operators and values that nobody
// measured, and the points of a scale run (ParseMeasured), which are optional. Fit fits straight lines to the points and checks
// them at a larger size. The model computes a Row for each need; each Figure names its sources and the measurements that it
// lacks. A Report has the rows and ranks those that do not fit:
//
//	assumptions, err := capacity.Parse("deploy/capacity.yaml", text)
//	...
//	report := capacity.NewReport(assumptions, nil) // nil: nothing was measured
//	err = report.WriteText(os.Stdout)
//
// Report.Page puts the tables of a report into a page that has other text as well, docs/CAPACITY-sidecars.md.
package capacity
