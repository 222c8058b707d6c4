package gather

import "time"

const (
	// lagWeight is the weight of a new sample in the mean and in the mean deviation.
	lagWeight = 0.1
	// lagDeviations is how many mean deviations beyond the mean are expected.
	lagDeviations = 2
)

// Lag estimates how long a VM takes from the moment at which an answer is due to its end. That grows with the answer's
// size and with the load of a small processor.
type Lag struct {
	mean      time.Duration
	deviation time.Duration
}

// Record takes a sample.
func (l *Lag) Record(d time.Duration) {
	if l.mean == 0 {
		l.mean = d
		l.deviation = d / 2
		return
	}
	off := (d - l.mean).Abs()
	l.mean += time.Duration(lagWeight * float64(d-l.mean))
	l.deviation += time.Duration(lagWeight * float64(off-l.deviation))
}

// UpperEstimate gives a time that most samples stay within, 0 while there are none.
func (l *Lag) UpperEstimate() time.Duration {
	return l.mean + lagDeviations*l.deviation
}
