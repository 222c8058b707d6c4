package gather

import "time"

const (
	// lagWeight is the weight of a new sample in the mean and in the mean deviation.
	lagWeight = 0.1
	// lagDeviations is how many mean deviations the upper estimate lies above the mean.
	lagDeviations = 2
)

// Lag estimates how long a VM takes to finish an answer after the moment at which it is due. The time grows with the
// size of the answer and with the load of a small processor.
type Lag struct {
	mean      time.Duration
	deviation time.Duration
}

// Record adds a sample, the time from the partial deadline to the end of an answer, to the moving averages.
func (l *Lag) Record(d time.Duration) {
	if l.mean == 0 {
		l.mean = d
		l.deviation = d / 2
		return
	}
	deviation := (d - l.mean).Abs()
	l.mean += time.Duration(lagWeight * float64(d-l.mean))
	l.deviation += time.Duration(lagWeight * float64(deviation-l.deviation))
}

// UpperEstimate returns a time that most samples stay below, or 0 while there are no samples.
func (l *Lag) UpperEstimate() time.Duration {
	return l.mean + lagDeviations*l.deviation
}
