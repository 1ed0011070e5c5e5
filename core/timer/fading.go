package timer

import (
	"math"
	"time"
)

// DecayFactor is the part of a smoothed figure that is left after a time. The rest is the
// weight of what was measured meanwhile.
func DecayFactor(elapsed, constant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / constant.Seconds())
}
