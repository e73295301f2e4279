package cell

import (
	"slices"
	"time"
)

// Constants of the step-time model.
const (
	stepSampleWeight    = 0.2                    // weight of a new sample
	initialStepTime     = 30 * time.Millisecond  // before the first sample
	initialSlopeShare   = 1.0 / 60               // part of the mean step that one stream adds, before it is measured
	maxSlopeShare       = 0.9                    // largest part of the mean step that the streams of the mean batch add
	poolSampleRetention = 0.995                  // factor on the weight of the older samples of the pool
	stepRecoveryTime    = 20 * time.Second       // after which an outlier without samples is reset to the pool's mean
	maxStepShare        = 0.92                   // share of the target that the step of a full batch may take
	maxStepSampleRatio  = 20.0                   // a sample counts at most as this factor above or below the mean
	minStepTime         = 100 * time.Microsecond // smallest mean; a shorter sample counts as an error of measurement
)

// poolStepModel estimates by how much each stream lengthens a decode step of a pool. It fits a straight line through
// samples of batch size and step time, whose weights decay exponentially.
type poolStepModel struct {
	samples, sumBatch, sumStep, sumBatchSquared, sumBatchStep float64
	base, slope                                               float64 // of the line, in seconds and seconds per stream
	typicalFactor                                             float64 // median factor of the servers, at least 1
	medianFactor                                              float64 // median factor of the servers; 0 before the first sample
}

func newPoolStepModel() poolStepModel {
	return poolStepModel{base: initialStepTime.Seconds(), typicalFactor: 1}
}

// updateTypical updates the typical factor from the servers' factors. When faults have distorted the pool's mean so
// that all servers look slow, those that are like most others still count as normal, and their samples correct the
// mean.
func (m *poolStepModel) updateTypical(factors []float64) {
	if len(factors) == 0 {
		return
	}
	slices.Sort(factors)
	m.medianFactor = factors[(len(factors)-1)/2]
	m.typicalFactor = max(m.medianFactor, 1)
}

func (m *poolStepModel) observe(batch, step float64) {
	m.samples = m.samples*poolSampleRetention + 1
	m.sumBatch = m.sumBatch*poolSampleRetention + batch
	m.sumStep = m.sumStep*poolSampleRetention + step
	m.sumBatchSquared = m.sumBatchSquared*poolSampleRetention + batch*batch
	m.sumBatchStep = m.sumBatchStep*poolSampleRetention + batch*step
	meanBatch, meanStep := m.sumBatch/m.samples, m.sumStep/m.samples
	m.slope = min(m.fit(meanBatch, meanStep), maxSlopeShare*meanStep/max(meanBatch, 1))
	m.base = meanStep - m.slope*meanBatch
}

// fit returns the slope in seconds per stream, or the initial one until there are enough samples with
// different batch sizes.
func (m *poolStepModel) fit(meanBatch, meanStep float64) float64 {
	const minSamples, minVariance = 20, 1
	variance := m.sumBatchSquared/m.samples - meanBatch*meanBatch
	if m.samples < minSamples || variance < minVariance {
		return initialSlopeShare * meanStep
	}
	covariance := m.sumBatchStep/m.samples - meanBatch*meanStep
	return max(covariance/variance, 0)
}

// mean returns the pool's mean step time at a batch size, in seconds.
func (m *poolStepModel) mean(batch float64) float64 {
	return max(m.base+m.slope*batch, minStepTime.Seconds())
}

// serverStepModel is the step time of one server as a factor on its pool's mean.
type serverStepModel struct {
	pool       *poolStepModel
	factor     float64
	lastSample instant // time of the newest sample
}

func newServerStepModel(pool *poolStepModel) serverStepModel {
	return serverStepModel{pool: pool, factor: 1}
}

// step returns the expected step time in seconds at a batch size.
func (m *serverStepModel) step(batch int) float64 {
	return m.factor * m.pool.mean(float64(batch))
}

// observe adds a sample: the mean step time of a stream and the mean batch size during the stream.
func (m *serverStepModel) observe(now instant, batch float64, step time.Duration) {
	if step < minStepTime {
		return
	}
	ratio := step.Seconds() / m.pool.mean(batch)
	ratio = min(max(ratio, 1/maxStepSampleRatio), maxStepSampleRatio)
	m.factor += stepSampleWeight * (ratio - m.factor)
	if !m.outlier() {
		m.pool.observe(batch, step.Seconds())
	}
	m.lastSample = now
}

// outlier reports whether the server is slow compared with most of its pool.
func (m *serverStepModel) outlier() bool { return m.factor >= outlierFactor*m.pool.typicalFactor }

// slow reports whether the server is clearly slower than the middle of its pool.
func (m *serverStepModel) slow() bool {
	return m.pool.medianFactor > 0 && m.factor >= slowFactor*m.pool.medianFactor || m.outlier()
}

// resetStaleFactor resets the factor of a server without recent samples to the pool's mean, so that a server that was
// slow is tried again.
func (m *serverStepModel) resetStaleFactor(now instant) {
	if idle := now.Sub(m.lastSample); !m.lastSample.IsZero() && idle > stepRecoveryTime {
		m.factor = 1
		m.lastSample = now
	}
}

// limit returns the largest batch size, up to slots and at least 1, at which a step meets the target. Before the pool's
// first sample that is slots: a new dispatcher that took the initial step time for real would use one slot of each server
// under the load that it has just taken over.
func (m *serverStepModel) limit(slots int, target time.Duration) int {
	if m.pool.samples == 0 {
		return slots
	}
	allowed := target.Seconds() * maxStepShare
	for slots > 1 && m.step(slots) > allowed {
		slots--
	}
	return slots
}
