package rank

import "time"

// deviationFactor is how many mean deviations above the mean UpperEstimate lies.
const deviationFactor = 2

// Average is an exponentially weighted moving average of durations, with their mean deviation.
type Average struct {
	// Weight is the weight of a new sample, from 0 to 1.
	Weight float64

	mean      float64
	deviation float64
	n         int
}

// Add adds a sample.
func (a *Average) Add(d time.Duration) {
	a.n++
	if a.n == 1 {
		a.mean = float64(d)
		return
	}
	off := float64(d) - a.mean
	a.mean += off * a.Weight
	if off < 0 {
		off = -off
	}
	a.deviation += (off - a.deviation) * a.Weight
}

// Mean returns the average, or 0 before the first sample.
func (a *Average) Mean() time.Duration {
	return time.Duration(a.mean)
}

// UpperEstimate returns a duration that nearly all samples stay below: the mean plus two mean deviations. It is 0
// before the first sample.
func (a *Average) UpperEstimate() time.Duration {
	return time.Duration(a.mean + deviationFactor*a.deviation)
}

// Samples returns the number of samples added so far.
func (a *Average) Samples() int {
	return a.n
}
