package admit

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wagtailyoke/core/timer"
)

func TestRefusedRequestsExpire(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	r := NewRetryTracker(clock)
	isRetry := func(fingerprint uint64) bool { return r.Lookup(0, fingerprint, 0).IsRetry }
	r.AddRefused(1)
	r.AddRefused(2)
	clock.Run(minRetention - time.Millisecond)
	c.Assert(isRetry(1), qt.IsTrue)
	c.Assert(isRetry(1), qt.IsFalse)
	c.Assert(isRetry(3), qt.IsFalse)
	clock.Run(5 * minRetention)
	c.Assert(isRetry(2), qt.IsFalse)
}

// TestAdmittedShareMatchesRequest checks that the requested share of a grade is admitted, whatever
// the share of retries, and that retries are preferred.
func TestAdmittedShareMatchesRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		retryShare := rapid.Float64Range(0, 1).Draw(t, "retryShare")
		newAdmitted, retriesAdmitted := splitShare(share, retryShare)
		if all := retryShare*retriesAdmitted + (1-retryShare)*newAdmitted; math.Abs(all-share) > 1e-9 {
			t.Fatalf("%v of new requests and %v of retries are admitted, %v of all", newAdmitted, retriesAdmitted, all)
		}
		if newAdmitted < 0 || retriesAdmitted > 1 || retriesAdmitted < newAdmitted {
			t.Fatalf("%v of new requests and %v of retries are admitted", newAdmitted, retriesAdmitted)
		}
	})
}
