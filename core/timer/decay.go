package timer

import (
	"math"
	"time"
)

// DecayFactor returns the weight of the old value in an exponentially smoothed average after
// the elapsed time. The remaining weight belongs to the new measurement.
func DecayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}
