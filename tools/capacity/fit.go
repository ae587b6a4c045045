package capacity

import (
	"math"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Slope is a series of measurements with its fitted line.
type Slope struct {
	// Key identifies the slope in the model and in file names.
	Key   string
	Title string
	// XUnit and YUnit are the units of the axes.
	XUnit string
	YUnit string
	X     []float64
	Y     []float64
	// Base and PerUnit are the line Y = Base + PerUnit * X.
	Base    float64
	PerUnit float64
	// WorstResidual is the largest absolute residual, as a share of the largest Y.
	WorstResidual float64
	// R2 is the coefficient of determination.
	R2 float64
}

// At returns the value of the fitted line at x.
func (s *Slope) At(x float64) float64 { return s.Base + s.PerUnit*x }

// fit fits the line by weighted linear regression. Points are weighted by 1/Y, so that
// small sizes, which show the fixed cost, count as much as large ones.
func (s *Slope) fit() {
	weights := make([]float64, len(s.X))
	for i, y := range s.Y {
		weights[i] = 1 / math.Max(math.Abs(y), math.SmallestNonzeroFloat32)
	}
	s.Base, s.PerUnit = stat.LinearRegression(s.X, s.Y, weights, false)
	s.R2 = stat.RSquared(s.X, s.Y, weights, s.Base, s.PerUnit)
	var largest, worst float64
	for i, x := range s.X {
		largest = math.Max(largest, math.Abs(s.Y[i]))
		worst = math.Max(worst, math.Abs(s.Y[i]-s.At(x)))
	}
	if largest > 0 {
		s.WorstResidual = worst / largest
	}
}

// cpuTime returns the processor time of this process, including garbage collection.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// minCPUTime is the least processor time of one measurement.
const minCPUTime = 100 * time.Millisecond

// cpuPerCall returns the mean processor time of one call of f, in nanoseconds.
func cpuPerCall(f func()) float64 {
	for n := 1; ; n *= 2 {
		start := cpuTime()
		for range n {
			f()
		}
		if used := cpuTime() - start; used >= minCPUTime {
			return float64(used.Nanoseconds()) / float64(n)
		}
	}
}

// minOf repeats a measurement and returns the smallest result, which other processes on
// the machine affected least.
func minOf(repeats int, measure func() float64) float64 {
	best := math.Inf(1)
	for range repeats {
		best = math.Min(best, measure())
	}
	return best
}
