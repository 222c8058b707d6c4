package health

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the resolution of the distribution: a bucket is 9 % wide.
	bucketsPerDoubling = 8
	// buckets reach from lowest to two minutes.
	buckets = 168
	lowest  = 64 * time.Microsecond
	// decayPeriod is the time after which each sample counts for decayFactor of what it did.
	decayPeriod = time.Second
	decayFactor = 0.9
	// enough is the weight of samples below which the distribution says nothing.
	enough = 50
	// slowRatio is the ratio of the median to the baseline above which the endpoints are slow as a whole.
	slowRatio = 2
	// baselineGrowth is how much the baseline may rise in one decayPeriod.
	baselineGrowth = 1.01
)

// distribution is a histogram of recent latencies in which old samples fade.
type distribution struct {
	counts  [buckets]float64
	total   float64
	decayed time.Time
	// baseline follows the median down at once and up slowly.
	baseline time.Duration
}

// add takes one sample.
func (d *distribution) add(now time.Time, took time.Duration) {
	d.decay(now)
	d.counts[bucket(took)]++
	d.total++
}

// decay lets the samples fade with the time that has passed.
func (d *distribution) decay(now time.Time) {
	if d.decayed.IsZero() {
		d.decayed = now
	}
	periods := int(now.Sub(d.decayed) / decayPeriod)
	if periods <= 0 {
		return
	}
	d.follow(periods)
	d.decayed = d.decayed.Add(time.Duration(periods) * decayPeriod)
	factor := math.Pow(decayFactor, float64(periods))
	d.total = 0
	for i := range d.counts {
		d.counts[i] *= factor
		d.total += d.counts[i]
	}
}

// follow moves the baseline.
func (d *distribution) follow(periods int) {
	median, ok := d.quantile(0.5)
	if !ok {
		return
	}
	grown := time.Duration(float64(d.baseline) * math.Pow(baselineGrowth, float64(periods)))
	if d.baseline == 0 || median < grown {
		d.baseline = median
		return
	}
	d.baseline = grown
}

// quantile gives the upper bound of the bucket that the share q of the samples lies in or below; ok is false when there
// are too few samples.
func (d *distribution) quantile(q float64) (latency time.Duration, ok bool) {
	if d.total < enough {
		return 0, false
	}
	rest := q * d.total
	for i, n := range d.counts {
		rest -= n
		if rest <= 0 {
			return bound(i), true
		}
	}
	return bound(buckets - 1), true
}

// slow says whether the endpoints are slow as a whole.
func (d *distribution) slow() bool {
	median, ok := d.quantile(0.5)
	return ok && d.baseline > 0 && float64(median) > slowRatio*float64(d.baseline)
}

func bucket(took time.Duration) int {
	if took <= lowest {
		return 0
	}
	i := int(math.Ceil(bucketsPerDoubling * math.Log2(float64(took)/float64(lowest))))
	return min(i, buckets-1)
}

// bound gives the upper bound of a bucket.
func bound(i int) time.Duration {
	return time.Duration(float64(lowest) * math.Pow(2, float64(i)/bucketsPerDoubling))
}
