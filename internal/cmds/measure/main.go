// Command measure compares the decision cores with simple baseline policies over several seeds and
// prints the median and the worst value of each metric.
package main

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"github.com/coltsfootspoke/coltsfootspoke/internal/measure"
)

type cli struct {
	Seeds int    `default:"7" help:"Number of seeds."`
	First uint64 `default:"1" help:"First seed."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("measure"))
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "Measure\tBaseline\tOurs\tRatio\tWorstOurs\tAim\tSeedsMet")
	for _, scenario := range []func(uint64) []measure.Comparison{
		measure.Fairness, measure.Prefixes, measure.Steps, measure.Staleness, measure.Retries, measure.Capacity,
	} {
		var runs [][]measure.Comparison
		for i := range c.Seeds {
			runs = append(runs, scenario(c.First+uint64(i)))
		}
		for i := range runs[0] {
			printComparison(w, runs, i)
		}
	}
	_ = w.Flush()
}

// printComparison prints the row of the comparison at index i of each run. The worst value is the
// smallest if Aim is a lower bound, and the largest otherwise.
func printComparison(w *tabwriter.Writer, runs [][]measure.Comparison, i int) {
	var baseline, ours, ratio []float64
	met := 0
	for _, r := range runs {
		baseline = append(baseline, r[i].Baseline)
		ours = append(ours, r[i].Ours)
		ratio = append(ratio, r[i].Ours/r[i].Baseline)
		if r[i].Met {
			met++
		}
	}
	worst := slices.Max(ours)
	if r := runs[0][i]; r.Aim[0] == '>' {
		worst = slices.Min(ours)
	}
	_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%d/%d\n", runs[0][i].Name,
		median(baseline), median(ours), median(ratio), worst, runs[0][i].Aim, met, len(runs))
}

// median sorts v and returns its median, or the upper of the two middle values.
func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}
