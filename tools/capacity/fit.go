package capacity

import (
	"math"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Slope is a series of measurements with its fitted line.
type Slope struct {
	// Key names the slope in formulas and file names.
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
	// Worst is the largest distance of a point from the line, as a share of the largest Y.
	Worst float64
	// R2 is the coefficient of determination.
	R2 float64
}

// At returns the fitted value.
func (s *Slope) At(x float64) float64 { return s.Base + s.PerUnit*x }

// fit sets the line, weighting each point by its size so that small sizes, where
// fixed costs stand out, count as much as large ones.
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
		s.Worst = worst / largest
	}
}

// cpuTime returns the processor time of this process, the collector's included.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// minRun is the least processor time that one figure is taken from.
const minRun = 100 * time.Millisecond

// cpuPer returns the processor time of one call of f, in nanoseconds.
func cpuPer(f func()) float64 {
	for n := 1; ; n *= 2 {
		start := cpuTime()
		for range n {
			f()
		}
		if used := cpuTime() - start; used >= minRun {
			return float64(used.Nanoseconds()) / float64(n)
		}
	}
}

// least returns the smallest of some measurements, which other work on the
// machine disturbed least.
func least(repeats int, measure func() float64) float64 {
	best := math.Inf(1)
	for range repeats {
		best = math.Min(best, measure())
	}
	return best
}
