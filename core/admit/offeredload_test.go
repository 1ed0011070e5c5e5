package admit

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/timer"
)

func TestOfferedLoadRates(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	o := NewOfferedLoad(clock)
	for i := range 400 {
		clock.Run(clock.Now() + 10*time.Millisecond)
		o.Count("gate", 1, i%4 == 0)
		if i%25 == 24 {
			o.EndWindow()
		}
	}
	got := o.Rates("gate")
	c.Assert(got, qt.HasLen, 2)
	c.Assert(math.Abs(got[1].Requested-100) < 2 && math.Abs(got[1].Admitted-25) < 2, qt.IsTrue, qt.Commentf("%+v", got))
	for range 100 {
		clock.Run(clock.Now() + 250*time.Millisecond)
		o.EndWindow()
	}
	c.Assert(o.Services(), qt.HasLen, 0)
}
