package rank

import "time"

// deviationFactor is how many mean deviations above the mean nearly every sample lies.
const deviationFactor = 2

// Average is a moving average of durations with its mean deviation.
type Average struct {
	// Weight is the weight of the newest sample, from 0 to 1.
	Weight float64

	mean      float64
	deviation float64
	n         int
}

// Add takes a sample.
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

// Mean gives the average, 0 before the first sample.
func (a *Average) Mean() time.Duration {
	return time.Duration(a.mean)
}

// UpperEstimate gives the time within which nearly every sample lies: the mean and two mean deviations.
func (a *Average) UpperEstimate() time.Duration {
	return time.Duration(a.mean + deviationFactor*a.deviation)
}

// Samples gives the number of samples so far.
func (a *Average) Samples() int {
	return a.n
}
