package health

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the resolution of the histogram: each bucket is 9 % wide.
	bucketsPerDoubling = 8
	// The buckets cover the range from minLatency to two minutes.
	bucketCount = 168
	minLatency  = 64 * time.Microsecond
	// decayPeriod is the time after which the weight of each sample is multiplied by decayFactor.
	decayPeriod = time.Second
	decayFactor = 0.9
	// minSamples is the total weight of samples below which quantile returns no value.
	minSamples = 50
	// slowRatio is the ratio of the median to the baseline above which the endpoints are slow as a whole.
	slowRatio = 2
	// baselineGrowth is the largest factor by which the baseline rises in one decayPeriod.
	baselineGrowth = 1.01
)

// histogram counts recent latencies with an exponential decay.
type histogram struct {
	counts    [bucketCount]float64
	total     float64
	lastDecay time.Time
	// baseline is the median in normal operation. It follows a falling median at once and a rising one slowly.
	baseline time.Duration
}

// add adds one sample, after it has reduced the weight of the earlier ones.
func (h *histogram) add(now time.Time, took time.Duration) {
	h.decay(now)
	h.counts[bucketIndex(took)]++
	h.total++
}

// decay updates the baseline and reduces the weight of the samples for the periods that have passed since the last
// call.
func (h *histogram) decay(now time.Time) {
	if h.lastDecay.IsZero() {
		h.lastDecay = now
	}
	periods := int(now.Sub(h.lastDecay) / decayPeriod)
	if periods <= 0 {
		return
	}
	h.updateBaseline(periods)
	h.lastDecay = h.lastDecay.Add(time.Duration(periods) * decayPeriod)
	factor := math.Pow(decayFactor, float64(periods))
	h.total = 0
	for i := range h.counts {
		h.counts[i] *= factor
		h.total += h.counts[i]
	}
}

// updateBaseline moves the baseline towards the median after this many periods.
func (h *histogram) updateBaseline(periods int) {
	median, ok := h.quantile(0.5)
	if !ok {
		return
	}
	raised := time.Duration(float64(h.baseline) * math.Pow(baselineGrowth, float64(periods)))
	if h.baseline == 0 || median < raised {
		h.baseline = median
		return
	}
	h.baseline = raised
}

// quantile returns the upper bound of the bucket that contains the quantile q of the latencies; ok is false when
// there are too few samples.
func (h *histogram) quantile(q float64) (latency time.Duration, ok bool) {
	if h.total < minSamples {
		return 0, false
	}
	remaining := q * h.total
	for i, n := range h.counts {
		remaining -= n
		if remaining <= 0 {
			return upperBound(i), true
		}
	}
	return upperBound(bucketCount - 1), true
}

// isSlow reports whether the endpoints are slow as a whole: whether the median exceeds slowRatio times the baseline.
func (h *histogram) isSlow() bool {
	median, ok := h.quantile(0.5)
	return ok && h.baseline > 0 && float64(median) > slowRatio*float64(h.baseline)
}

// bucketIndex returns the bucket of a latency.
func bucketIndex(took time.Duration) int {
	if took <= minLatency {
		return 0
	}
	i := int(math.Ceil(bucketsPerDoubling * math.Log2(float64(took)/float64(minLatency))))
	return min(i, bucketCount-1)
}

// upperBound returns the upper bound of the latencies that bucketIndex puts into bucket i.
func upperBound(i int) time.Duration {
	return time.Duration(float64(minLatency) * math.Pow(2, float64(i)/bucketsPerDoubling))
}
