package rollout

import "time"

// Counted is one cell of a judgement as it stood: what new and control were counted to have done, and what follows from it.
type Counted struct {
	Class     string  `json:"class"`
	Zone      string  `json:"zone"`
	Metric    string  `json:"metric"`
	Part      bool    `json:"part,omitempty"` // it may show that the new is worse, and is not waited for
	Verdict   string  `json:"verdict"`
	New       float64 `json:"new"` // of NewOf
	NewOf     float64 `json:"new_of"`
	Control   float64 `json:"control"` // of ControlOf
	ControlOf float64 `json:"control_of"`
	Odds      float64 `json:"odds"` // of the new being worse
	Most      float64 `json:"most"` // by how much its rate may be larger, by its confidence
}

// Point is the cells that a stage waits for, at a moment.
type Point struct {
	At      int64         `json:"at"` // ms of the teller's calendar
	Watched time.Duration `json:"watched"`
	Cells   []Counted     `json:"cells"`
}

// StageResult is what a stage has come to. Counts are a driver's own: they begin anew where another takes over, or after a pause.
type StageResult struct {
	Stage   int       `json:"stage"` // counted from 1
	Verdict string    `json:"verdict"`
	Cells   []Counted `json:"cells"`
	Course  []Point   `json:"course,omitempty"`
}

// The bounds of what is kept of a stage.
const (
	maxCells  = 512  // a tally
	maxCourse = 2000 // cells of all points; beyond that every second point goes
	minPoints = 8
)

// note takes in what a verdict was reached by.
func (c *Change) note(at int64, v *Verdict, watched time.Duration) {
	if v == nil || len(v.Tally) == 0 {
		return
	}
	n := len(c.Results)
	if n == 0 || c.Results[n-1].Stage != v.Stage {
		c.Results = append(c.Results, StageResult{Stage: v.Stage})
		n++
	}
	r := &c.Results[n-1]
	r.Verdict, r.Cells = v.Why, v.Tally
	p := Point{At: at, Watched: watched}
	for _, cell := range v.Tally {
		if !cell.Part {
			p.Cells = append(p.Cells, cell)
		}
	}
	r.Course = append(r.Course, p)
	if n := len(r.Course); n > minPoints && n*len(p.Cells) > maxCourse {
		kept := r.Course[:0]
		for i, p := range r.Course {
			if i%2 == (n-1)%2 { // the last one stays
				kept = append(kept, p)
			}
		}
		r.Course = kept
	}
}
