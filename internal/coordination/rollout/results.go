package rollout

import "time"

// CellResult is one cell of a judgement as it stood: what new and control were counted to have done, and what follows from it.
type CellResult struct {
	Class         string  `json:"class"`
	Zone          string  `json:"zone"`
	Metric        string  `json:"metric"`
	Advisory      bool    `json:"part,omitempty"` // it may show that the new is worse, and is not waited for
	Verdict       string  `json:"verdict"`
	NewHits       float64 `json:"new"` // of NewOf
	NewTotal      float64 `json:"new_of"`
	ControlHits   float64 `json:"control"` // of ControlOf
	ControlTotal  float64 `json:"control_of"`
	Odds          float64 `json:"odds"` // of the new being worse
	MaxDifference float64 `json:"most"` // by how much its rate may be larger, by its confidence
}

// CourseSample is the cells that a stage waits for, at a moment.
type CourseSample struct {
	AtMillis     int64         `json:"at"` // ms of the teller's calendar
	StageElapsed time.Duration `json:"watched"`
	Cells        []CellResult  `json:"cells"`
}

// StageResult is what a stage has come to. Counts are a driver's own: they begin anew where another takes over, or after a pause.
type StageResult struct {
	Stage   int            `json:"stage"` // counted from 1
	Verdict string         `json:"verdict"`
	Cells   []CellResult   `json:"cells"`
	Course  []CourseSample `json:"course,omitempty"`
}

// The bounds of what is kept of a stage.
const (
	maxCells       = 512  // a tally
	maxCourseCells = 2000 // cells of all points; beyond that every second point goes
	minSamples     = 8
)

// recordVerdict takes in what a verdict was reached by.
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
		kept := result.Course[:0]
		for i, sample := range result.Course {
			if i%2 == (n-1)%2 { // the last one stays
				kept = append(kept, sample)
			}
		}
		result.Course = kept
	}
}
