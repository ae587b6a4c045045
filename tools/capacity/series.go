package capacity

import (
	"context"

	"github.com/cockroachdb/errors"
)

// series is one cost that is measured at several sizes.
type series struct {
	key   string
	title string
	xUnit string
	yUnit string
	sizes []int
	// measure returns the total cost at a size.
	measure func(ctx context.Context, size int) (float64, error)
}

// run measures the cost at each size and fits a line. It calls step after each size.
func (s series) run(ctx context.Context, step func()) (*Slope, error) {
	out := &Slope{Key: s.key, Title: s.title, XUnit: s.xUnit, YUnit: s.yUnit}
	for _, size := range s.sizes {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		y, err := s.measure(ctx, size)
		if err != nil {
			return nil, errors.Wrapf(err, "%s at %d %s", s.key, size, s.xUnit)
		}
		out.X = append(out.X, float64(size))
		out.Y = append(out.Y, y)
		step()
	}
	out.fit()
	return out, nil
}

// allSeries returns all series in the order of the page.
func allSeries(full int) []series {
	var all []series
	all = append(all, tableSeries(full)...)
	all = append(all, lookupSeries(full)...)
	all = append(all, siteReportSeries()...)
	return append(all, spreadSeries()...)
}

// fractions returns a sixteenth, an eighth, a quarter, a half and all of full.
func fractions(full int) []int { return []int{full / 16, full / 8, full / 4, full / 2, full} }
