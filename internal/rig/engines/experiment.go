package engines

import (
	"context"
	"maps"
	"math"
	"runtime"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is the mean of a figure over the seeds, and half the width of its 95 % interval.
type Estimate struct{ Mean, Half float64 }

// Outcome is what came of one policy.
type Outcome struct {
	Policy  string
	Figures map[string]Estimate
}

// Run plays all policies on the same arrivals, for each seed, at so many at once.
func Run(ctx context.Context, s *Spec, atOnce int) ([]Outcome, error) {
	type job struct{ policy, seed int }
	results := make([][]map[string]float64, len(s.Policies))
	for i := range results {
		results[i] = make([]map[string]float64, s.Seeds)
	}
	jobs := make(chan job)
	var workers sync.WaitGroup
	for range max(1, min(atOnce, runtime.GOMAXPROCS(0))) {
		workers.Go(func() {
			for j := range jobs {
				list := arrivals(s, uint64(j.seed))
				results[j.policy][j.seed] = play(s, s.findPolicy(s.Policies[j.policy]), list, uint64(j.seed)).figures()
			}
		})
	}
	for seed := range s.Seeds {
		for i := range s.Policies {
			select {
			case jobs <- job{i, seed}:
			case <-ctx.Done():
			}
		}
	}
	close(jobs)
	workers.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	outcomes := make([]Outcome, len(s.Policies))
	for i, name := range s.Policies {
		outcomes[i] = Outcome{name, estimates(results[i])}
	}
	return outcomes, nil
}

func estimates(plays []map[string]float64) map[string]Estimate {
	out := map[string]Estimate{}
	for _, name := range slices.Sorted(maps.Keys(plays[0])) {
		var values []float64
		for _, one := range plays {
			values = append(values, one[name])
		}
		mean, deviation := stat.MeanStdDev(values, nil)
		e := Estimate{Mean: mean}
		if n := float64(len(values)); n > 1 {
			e.Half = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * deviation / math.Sqrt(n)
		}
		out[name] = e
	}
	return out
}
