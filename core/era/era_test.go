package era_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/era"
)

func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	ordered := []era.Revision{{}, {Number: 7}, {Era: 1}, {Era: 1, Number: 90}, {Era: 2}, {Era: 2, Number: 3}, {Era: 2, Number: 4}}
	for i, a := range ordered {
		for j, b := range ordered {
			qt.Check(t, a.IsAfter(b), qt.Equals, i > j, qt.Commentf("%v after %v", a, b))
		}
	}
}

func TestTrackerKeepsTheHighestEra(t *testing.T) {
	c := qt.New(t)
	var tracker era.Tracker
	for _, step := range []struct {
		observed, present era.Era
		want              era.Order
	}{
		{0, 0, era.Present}, {3, 3, era.First}, {3, 3, era.Present}, {0, 3, era.Present}, {2, 3, era.Older}, {5, 5, era.Newer}, {3, 5, era.Older},
	} {
		c.Check(tracker.Observe(step.observed), qt.Equals, step.want, qt.Commentf("%+v", step))
		c.Check(tracker.Present(), qt.Equals, step.present, qt.Commentf("%+v", step))
	}
}
