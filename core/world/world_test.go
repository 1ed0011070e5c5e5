package world_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/world"
)

func TestRetryAfterIsParsed(t *testing.T) {
	c := qt.New(t)
	for value, want := range map[string]time.Duration{
		"": 0, "2": 2 * time.Second, "0.25": 250 * time.Millisecond, "-1": 0, "NaN": 0, "soon": 0,
		"1e300": 30 * time.Second, "Inf": 30 * time.Second, "Sat, 05 Dec 2026 08:00:00 GMT": 0,
	} {
		c.Check(world.ParseRetryAfter(value), qt.Equals, want, qt.Commentf("%q", value))
	}
}
