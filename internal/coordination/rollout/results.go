package rollout

import "time"

// CellResult is one cell of a verdict: the counts of the sidecars with the new release and of the control group, and the judge's
// conclusions from them. See judge.Cell.
type CellResult struct {
	Class         string  `json:"class"`
	Zone          string  `json:"zone"`
	Metric        string  `json:"metric"`
	Advisory      bool    `json:"part,omitempty"` // the cell may show that the new release is worse; the stage does not wait for its evidence
	Verdict       string  `json:"verdict"`
	NewHits       float64 `json:"new"` // out of NewTotal
	NewTotal      float64 `json:"new_of"`
	ControlHits   float64 `json:"control"` // out of ControlTotal
	ControlTotal  float64 `json:"control_of"`
	Odds          float64 `json:"odds"` // the evidence that the new release is worse
	MaxDifference float64 `json:"most"` // the upper confidence bound of the new rate minus the control's
}

// CourseSample has the cells of a stage, except the advisory ones, at the time of one verdict.
type CourseSample struct {
	AtMillis     int64         `json:"at"` // from Command.AtMillis
	StageElapsed time.Duration `json:"watched"`
	Cells        []CellResult  `json:"cells"`
}

// StageResult has the last verdict on a stage with its cells, and the course of the cells over time. The counts are those of one driver:
// they start from zero when another driver takes over, and after a pause.
type StageResult struct {
	Stage   int            `json:"stage"` // counted from 1
	Verdict string         `json:"verdict"`
	Cells   []CellResult   `json:"cells"`
	Course  []CourseSample `json:"course,omitempty"`
}

// The bounds of a StageResult.
const (
	maxCells       = 512  // cells of a verdict
	maxCourseCells = 2000 // cells of all samples together; beyond that every second sample is dropped
	minSamples     = 8    // up to this number of samples none is dropped
)

// recordVerdict records the cells of a verdict, if it has any. stageElapsed is State.StageElapsed at the time of the verdict.
func (c *Change) recordVerdict(atMillis int64, verdict *Verdict, stageElapsed time.Duration) {
	if verdict == nil || len(verdict.Cells) == 0 {
		return
	}
	n := len(c.Results)
	if n == 0 || c.Results[n-1].Stage != verdict.Stage {
		c.Results = append(c.Results, StageResult{Stage: verdict.Stage})
		n++
	}
	result := &c.Results[n-1]
	result.Verdict, result.Cells = verdict.Reason, verdict.Cells
	sample := CourseSample{AtMillis: atMillis, StageElapsed: stageElapsed}
	for _, cell := range verdict.Cells {
		if !cell.Advisory {
			sample.Cells = append(sample.Cells, cell)
		}
	}
	result.Course = append(result.Course, sample)
	if n := len(result.Course); n > minSamples && n*len(sample.Cells) > maxCourseCells {
		result.Course = everySecond(result.Course)
	}
}

// everySecond returns every second sample, including the last one. It reuses the array of course.
func everySecond(course []CourseSample) []CourseSample {
	kept := course[:0]
	for i, sample := range course {
		if i%2 == (len(course)-1)%2 {
			kept = append(kept, sample)
		}
	}
	return kept
}
