package cell

import (
	"slices"
	"time"
)

// Constants of the step-time model.
const (
	stepSampleWeight    = 0.2                    // weight of a new sample
	initialStepTime     = 30 * time.Millisecond  // before the first sample
	initialSlope        = 0.0005                 // seconds added to a step by one stream
	poolSampleRetention = 0.995                  // weight that old samples of the pool keep
	stepRecoveryTime    = 20 * time.Second       // time constant of the return of an unused server to the pool's mean
	maxStepShare        = 0.92                   // share of the target that a full batch may take
	maxStepSampleRatio  = 20.0                   // bound on the trust in one measured step
	minStepTime         = 100 * time.Microsecond // below this a sample is taken as an error of measurement
)

// slopeModel learns for a pool by how much one more stream lengthens a decode step: a straight line
// through samples of batch and step time that are forgotten exponentially.
type poolStepModel struct {
	samples, sumBatch, sumStep, sumBatchSquared, sumBatchStep float64
	base, slope                                               float64 // of the line, in seconds
	typicalFactor                                             float64 // median factor of the servers, 1 at least
}

func newPoolStepModel() poolStepModel {
	return poolStepModel{base: initialStepTime.Seconds(), typicalFactor: 1}
}

// compare takes in the servers' factors. Load that it answers: faults spoil what was learnt of the pool, so that all
// servers look slow. Those that are like most others are not left out, and teach the pool's mean.
func (m *poolStepModel) updateTypical(factors []float64) {
	if len(factors) == 0 {
		return
	}
	slices.Sort(factors)
	m.typicalFactor = max(factors[(len(factors)-1)/2], 1)
}

func (m *poolStepModel) observe(batch, step float64) {
	m.samples = m.samples*poolSampleRetention + 1
	m.sumBatch = m.sumBatch*poolSampleRetention + batch
	m.sumStep = m.sumStep*poolSampleRetention + step
	m.sumBatchSquared = m.sumBatchSquared*poolSampleRetention + batch*batch
	m.sumBatchStep = m.sumBatchStep*poolSampleRetention + batch*step
	m.slope = m.fit()
	m.base = m.sumStep/m.samples - m.slope*m.sumBatch/m.samples
}

// fit returns seconds per stream; until the batches differ enough, the initial value.
func (m *poolStepModel) fit() float64 {
	const minSamples, minVariance = 20, 1
	variance := m.sumBatchSquared/m.samples - (m.sumBatch/m.samples)*(m.sumBatch/m.samples)
	if m.samples < minSamples || variance < minVariance {
		return initialSlope
	}
	covariance := m.sumBatchStep/m.samples - (m.sumBatch/m.samples)*(m.sumStep/m.samples)
	return max(covariance/variance, 0)
}

// mean returns the pool's mean step at a batch.
func (m *poolStepModel) mean(batch float64) float64 {
	return max(m.base+m.slope*batch, minStepTime.Seconds())
}

// stepModel is the step time of one server as a factor on its pool's mean.
type serverStepModel struct {
	pool       *poolStepModel
	factor     float64
	lastSample instant // of the newest sample
}

func newServerStepModel(pool *poolStepModel) serverStepModel {
	return serverStepModel{pool: pool, factor: 1}
}

// step returns the expected step time in seconds with a batch of streams.
func (m *serverStepModel) step(batch int) float64 {
	return m.factor * m.pool.mean(float64(batch))
}

// observe takes in the mean step of a stream with the mean batch it ran in.
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

// outlier tells whether the server is slow compared with most of its pool.
func (m *serverStepModel) outlier() bool { return m.factor >= outlierFactor*m.pool.typicalFactor }

// recover lets the factor of a server without new samples return to the pool's mean, so that a
// server that was slow is tried again.
func (m *serverStepModel) resetStaleFactor(now instant) {
	if idle := now.Sub(m.lastSample); !m.lastSample.IsZero() && idle > stepRecoveryTime {
		m.factor = 1
		m.lastSample = now
	}
}

// limit returns the largest batch, up to slots, at which a step keeps the target.
func (m *serverStepModel) limit(slots int, target time.Duration) int {
	allowed := target.Seconds() * maxStepShare
	for slots > 1 && m.step(slots) > allowed {
		slots--
	}
	return slots
}
