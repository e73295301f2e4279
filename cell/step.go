package cell

import (
	"slices"
	"time"
)

// Constants of the step-time model.
const (
	stepLearning   = 0.2                    // weight of a new sample
	initialStep    = 30 * time.Millisecond  // before the first sample
	initialSlope   = 0.0005                 // seconds added to a step by one stream
	stepForgetting = 0.995                  // weight that old samples of the pool keep
	stepRecovery   = 20 * time.Second       // time constant of the return of an unused server to the pool's mean
	stepMargin     = 0.92                   // share of the target that a full batch may take
	maxStepRatio   = 20.0                   // bound on the trust in one measured step
	minStep        = 100 * time.Microsecond // below this a sample is taken as an error of measurement
)

// slopeModel learns for a pool by how much one more stream lengthens a decode step: a straight line
// through samples of batch and step time that are forgotten exponentially.
type slopeModel struct {
	n, x, y, xx, xy float64
	base, slope     float64 // of the line, in seconds
	typical         float64 // median factor of the servers, 1 at least
}

func newSlopeModel() slopeModel {
	return slopeModel{base: initialStep.Seconds(), typical: 1}
}

// compare takes in the servers' factors. Load that it answers: faults spoil what was learnt of the pool, so that all
// servers look slow. Those that are like most others are not left out, and teach the pool's mean.
func (m *slopeModel) compare(factors []float64) {
	if len(factors) == 0 {
		return
	}
	slices.Sort(factors)
	m.typical = max(factors[(len(factors)-1)/2], 1)
}

func (m *slopeModel) observe(batch, step float64) {
	m.n = m.n*stepForgetting + 1
	m.x = m.x*stepForgetting + batch
	m.y = m.y*stepForgetting + step
	m.xx = m.xx*stepForgetting + batch*batch
	m.xy = m.xy*stepForgetting + batch*step
	m.slope = m.fit()
	m.base = m.y/m.n - m.slope*m.x/m.n
}

// fit returns seconds per stream; until the batches differ enough, the initial value.
func (m *slopeModel) fit() float64 {
	const minSamples, minVariance = 20, 1
	variance := m.xx/m.n - (m.x/m.n)*(m.x/m.n)
	if m.n < minSamples || variance < minVariance {
		return initialSlope
	}
	covariance := m.xy/m.n - (m.x/m.n)*(m.y/m.n)
	return max(covariance/variance, 0)
}

// mean returns the pool's mean step at a batch.
func (m *slopeModel) mean(batch float64) float64 {
	return max(m.base+m.slope*batch, minStep.Seconds())
}

// stepModel is the step time of one server as a factor on its pool's mean.
type stepModel struct {
	pool   *slopeModel
	factor float64
	at     instant // of the newest sample
}

func newStepModel(pool *slopeModel) stepModel {
	return stepModel{pool: pool, factor: 1}
}

// step returns the expected step time in seconds with a batch of streams.
func (m *stepModel) step(batch int) float64 {
	return m.factor * m.pool.mean(float64(batch))
}

// observe takes in the mean step of a stream with the mean batch it ran in.
func (m *stepModel) observe(now instant, batch float64, step time.Duration) {
	if step < minStep {
		return
	}
	ratio := step.Seconds() / m.pool.mean(batch)
	ratio = min(max(ratio, 1/maxStepRatio), maxStepRatio)
	m.factor += stepLearning * (ratio - m.factor)
	if !m.outlier() {
		m.pool.observe(batch, step.Seconds())
	}
	m.at = now
}

// outlier tells whether the server is slow compared with most of its pool.
func (m *stepModel) outlier() bool { return m.factor >= outlierFactor*m.pool.typical }

// recover lets the factor of a server without new samples return to the pool's mean, so that a
// server that was slow is tried again.
func (m *stepModel) recover(now instant) {
	if idle := now.Sub(m.at); !m.at.IsZero() && idle > stepRecovery {
		m.factor = 1
		m.at = now
	}
}

// limit returns the largest batch, up to slots, at which a step keeps the target.
func (m *stepModel) limit(slots int, target time.Duration) int {
	allowed := target.Seconds() * stepMargin
	for slots > 1 && m.step(slots) > allowed {
		slots--
	}
	return slots
}
