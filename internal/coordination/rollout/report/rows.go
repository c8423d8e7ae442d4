package report

import (
	"io"
	"time"

	"github.com/parquet-go/parquet-go"

	"petrelhook/internal/coordination/rollout"
)

// Row is one cell of one stage at one moment. Counts are since the judge of that moment began.
type Row struct {
	Application   string    `parquet:"application,dict"`
	Change        string    `parquet:"change,dict"`
	From          string    `parquet:"from,dict"`
	To            string    `parquet:"to,dict"`
	Phase         string    `parquet:"phase,dict"` // of the change, as it is now
	Stage         int32     `parquet:"stage"`
	Final         bool      `parquet:"last"` // as the stage was told of last; else a point of its course
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

// Rows are all that is kept of a change.
func Rows(c *rollout.Change) (all []Row) {
	p := &c.State.Plan
	for _, r := range c.Results {
		add := func(at rollout.CourseSample, cells []rollout.CellResult, last bool) {
			for _, k := range cells {
				all = append(all, Row{p.Application, c.Name, p.From, p.To, c.State.Phase.String(), int32(r.Stage), last, time.UnixMilli(at.AtMillis).UTC(), at.StageElapsed.Seconds(),
					k.Class, k.Zone, k.Metric, k.Advisory, k.Verdict, k.NewHits, k.NewTotal, k.ControlHits, k.ControlTotal, k.Odds, k.MaxDifference})
			}
		}
		for _, point := range r.Course {
			add(point, point.Cells, false)
		}
		if n := len(r.Course); n > 0 {
			add(r.Course[n-1], r.Cells, true)
		}
	}
	return all
}

// WriteParquet writes all that is kept of a change as a file of columns.
func WriteParquet(w io.Writer, c *rollout.Change) error {
	out := parquet.NewGenericWriter[Row](w, parquet.Compression(&parquet.Zstd))
	if _, err := out.Write(Rows(c)); err != nil {
		return err
	}
	return out.Close()
}
