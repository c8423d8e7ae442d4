package rollout

import "time"

// CellResult is one cell of a verdict: what was counted of the sidecars with the new release and of their control, and what follows from it.
// See judge.Cell.
type CellResult struct {
	Class         string  `json:"class"`
	Zone          string  `json:"zone"`
	Metric        string  `json:"metric"`
	Advisory      bool    `json:"part,omitempty"` // it may show that the new release is worse, and is not waited for
	Verdict       string  `json:"verdict"`
	NewHits       float64 `json:"new"` // of NewTotal
	NewTotal      float64 `json:"new_of"`
	ControlHits   float64 `json:"control"` // of ControlTotal
	ControlTotal  float64 `json:"control_of"`
	Odds          float64 `json:"odds"` // the evidence that the new release is worse
	MaxDifference float64 `json:"most"` // the upper confidence bound of how much larger its rate is
}

// CourseSample has the cells that a stage waits for as they stood at a moment.
type CourseSample struct {
	AtMillis     int64         `json:"at"` // by Command.AtMillis
	StageElapsed time.Duration `json:"watched"`
	Cells        []CellResult  `json:"cells"`
}

// StageResult has the last verdict on a stage with its cells, and their course. The counts are those of one driver: they start over when
// another takes over, and after a pause.
type StageResult struct {
	Stage   int            `json:"stage"` // counted from 1
	Verdict string         `json:"verdict"`
	Cells   []CellResult   `json:"cells"`
	Course  []CourseSample `json:"course,omitempty"`
}

// The bounds of what is kept of a stage.
const (
	maxCells       = 512  // of a verdict
	maxCourseCells = 2000 // of all samples; beyond that every second sample is dropped
	minSamples     = 8    // that are never dropped for that
)

// recordVerdict keeps the cells of a verdict, if it has some. stageElapsed is the time of the stage when it was reached.
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

// everySecond returns every second sample, with the last one, in the same array.
func everySecond(course []CourseSample) []CourseSample {
	kept := course[:0]
	for i, sample := range course {
		if i%2 == (len(course)-1)%2 {
			kept = append(kept, sample)
		}
	}
	return kept
}
