package report

import (
	"io"
	"time"

	"github.com/parquet-go/parquet-go"

	"petrelhook/internal/coordination/rollout"
)

// Row is one cell of one stage at one moment, as a row of the Parquet file. Its counts start at zero with each judge: when the stage
// begins, when another driver takes over, and after a pause.
type Row struct {
	Application   string    `parquet:"application,dict"`
	Change        string    `parquet:"change,dict"`
	From          string    `parquet:"from,dict"`
	To            string    `parquet:"to,dict"`
	Phase         string    `parquet:"phase,dict"` // of the change at the time of the report
	Stage         int32     `parquet:"stage"`
	Final         bool      `parquet:"last"` // the last cells of the stage; otherwise a sample of its course
	Time          time.Time `parquet:"at,timestamp(millisecond)"`
	StageSeconds  float64   `parquet:"watched_seconds"`
	Class         string    `parquet:"class,dict"`
	Zone          string    `parquet:"zone,dict"`
	Metric        string    `parquet:"metric,dict"`
	Advisory      bool      `parquet:"part"`
	Verdict       string    `parquet:"verdict,dict"`
	NewHits       float64   `parquet:"new"`
	NewTotal      float64   `parquet:"new_of"`
	ControlHits   float64   `parquet:"control"`
	ControlTotal  float64   `parquet:"control_of"`
	Odds          float64   `parquet:"odds"`
	MaxDifference float64   `parquet:"most"`
}

// Rows returns the stored results of a change as rows: the samples of each stage, then its last cells.
func Rows(c *rollout.Change) (rows []Row) {
	for _, r := range c.Results {
		for _, sample := range r.Course {
			rows = append(rows, rowsOf(c, r.Stage, sample, sample.Cells, false)...)
		}
		if n := len(r.Course); n > 0 {
			rows = append(rows, rowsOf(c, r.Stage, r.Course[n-1], r.Cells, true)...)
		}
	}
	return rows
}

// rowsOf returns the rows of cells at the time of a sample.
func rowsOf(c *rollout.Change, stage int, sample rollout.CourseSample, cells []rollout.CellResult, final bool) (rows []Row) {
	p := &c.State.Plan
	for _, cell := range cells {
		rows = append(rows, Row{
			Application: p.Application, Change: c.Name, From: p.From, To: p.To, Phase: c.State.Phase.String(),
			Stage: int32(stage), Final: final,
			Time: time.UnixMilli(sample.AtMillis).UTC(), StageSeconds: sample.StageElapsed.Seconds(),
			Class: cell.Class, Zone: cell.Zone, Metric: cell.Metric, Advisory: cell.Advisory, Verdict: cell.Verdict,
			NewHits: cell.NewHits, NewTotal: cell.NewTotal, ControlHits: cell.ControlHits, ControlTotal: cell.ControlTotal,
			Odds: cell.Odds, MaxDifference: cell.MaxDifference,
		})
	}
	return rows
}

// WriteParquet writes the rows of a change as a Parquet file.
func WriteParquet(w io.Writer, c *rollout.Change) error {
	out := parquet.NewGenericWriter[Row](w, parquet.Compression(&parquet.Zstd))
	if _, err := out.Write(Rows(c)); err != nil {
		return err
	}
	return out.Close()
}
