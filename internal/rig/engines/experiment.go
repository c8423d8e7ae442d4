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

// Estimate is the mean of a metric over the seeds, and half the width of its 95 % confidence interval.
type Estimate struct {
	Mean         float64
	HalfInterval float64 `json:"Half"`
}

// Outcome is the result of one policy: the metrics by name.
type Outcome struct {
	Policy  string
	Metrics map[string]Estimate `json:"Figures"`
}

// Run simulates all policies with the same arrivals, for each seed, with at most parallel simulations at a time. It returns an outcome for each policy, in
// their order, or the context's error.
func Run(ctx context.Context, s *Spec, parallel int) ([]Outcome, error) {
	type job struct{ policy, seed int }
	results := make([][]map[string]float64, len(s.Policies))
	for i := range results {
		results[i] = make([]map[string]float64, s.Seeds)
	}
	jobs := make(chan job)
	var workers sync.WaitGroup
	for range max(1, min(parallel, runtime.GOMAXPROCS(0))) {
		workers.Go(func() {
			for j := range jobs {
				seed := uint64(j.seed)
				results[j.policy][j.seed] = simulate(s, findPolicy(s.Policies[j.policy]), arrivals(s, seed), seed).metrics()
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

// estimates are those of each metric, over the results of all seeds.
func estimates(results []map[string]float64) map[string]Estimate {
	out := map[string]Estimate{}
	for _, name := range slices.Sorted(maps.Keys(results[0])) {
		var values []float64
		for _, metrics := range results {
			values = append(values, metrics[name])
		}
		out[name] = estimate(values)
	}
	return out
}

// estimate is the Estimate of some values, one a seed.
func estimate(values []float64) Estimate {
	const upperQuantile = 0.975 // of a two-sided interval of 95 %
	mean, deviation := stat.MeanStdDev(values, nil)
	e := Estimate{Mean: mean}
	if n := float64(len(values)); n > 1 {
		e.HalfInterval = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(upperQuantile) * deviation / math.Sqrt(n)
	}
	return e
}
