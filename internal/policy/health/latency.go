package health

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the resolution of the distribution: a bucket is 9 % wide.
	bucketsPerDoubling = 8
	// bucketCount reach from lowest to two minutes.
	bucketCount = 168
	minLatency  = 64 * time.Microsecond
	// decayPeriod is the time after which each sample counts for decayFactor of what it did.
	decayPeriod = time.Second
	decayFactor = 0.9
	// minSamples is the weight of samples below which the distribution says nothing.
	minSamples = 50
	// slowRatio is the ratio of the median to the baseline above which the endpoints are slow as a whole.
	slowRatio = 2
	// baselineGrowth is how much the baseline may rise in one decayPeriod.
	baselineGrowth = 1.01
)

// histogram is a histogram of recent latencies in which old samples fade.
type histogram struct {
	counts    [bucketCount]float64
	total     float64
	lastDecay time.Time
	// baseline follows the median down at once and up slowly.
	baseline time.Duration
}

// add takes one sample.
func (d *histogram) add(now time.Time, took time.Duration) {
	d.decay(now)
	d.counts[bucketIndex(took)]++
	d.total++
}

// decay lets the samples fade with the time that has passed.
func (d *histogram) decay(now time.Time) {
	if d.lastDecay.IsZero() {
		d.lastDecay = now
	}
	periods := int(now.Sub(d.lastDecay) / decayPeriod)
	if periods <= 0 {
		return
	}
	d.updateBaseline(periods)
	d.lastDecay = d.lastDecay.Add(time.Duration(periods) * decayPeriod)
	factor := math.Pow(decayFactor, float64(periods))
	d.total = 0
	for i := range d.counts {
		d.counts[i] *= factor
		d.total += d.counts[i]
	}
}

// updateBaseline moves the baseline.
func (d *histogram) updateBaseline(periods int) {
	median, ok := d.quantile(0.5)
	if !ok {
		return
	}
	raised := time.Duration(float64(d.baseline) * math.Pow(baselineGrowth, float64(periods)))
	if d.baseline == 0 || median < raised {
		d.baseline = median
		return
	}
	d.baseline = raised
}

// quantile gives the upper bound of the bucket that the share q of the samples lies in or below; ok is false when there
// are too few samples.
func (d *histogram) quantile(q float64) (latency time.Duration, ok bool) {
	if d.total < minSamples {
		return 0, false
	}
	remaining := q * d.total
	for i, n := range d.counts {
		remaining -= n
		if remaining <= 0 {
			return upperBound(i), true
		}
	}
	return upperBound(bucketCount - 1), true
}

// isSlow says whether the endpoints are slow as a whole.
func (d *histogram) isSlow() bool {
	median, ok := d.quantile(0.5)
	return ok && d.baseline > 0 && float64(median) > slowRatio*float64(d.baseline)
}

func bucketIndex(took time.Duration) int {
	if took <= minLatency {
		return 0
	}
	i := int(math.Ceil(bucketsPerDoubling * math.Log2(float64(took)/float64(minLatency))))
	return min(i, bucketCount-1)
}

// upperBound gives the upper bound of a bucket.
func upperBound(i int) time.Duration {
	return time.Duration(float64(minLatency) * math.Pow(2, float64(i)/bucketsPerDoubling))
}
