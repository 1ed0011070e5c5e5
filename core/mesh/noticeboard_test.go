package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/place"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

var (
	oldProcess = place.Endpoint{Node: "n", Service: "s", Instance: "i-1", StartedUnixMs: 1, FollowsNotices: true}
	newProcess = place.Endpoint{Node: "n", Service: "s", Instance: "i-1", StartedUnixMs: 2, FollowsNotices: true}
)

func TestLateAnswerOfAReplacedProcessBlocksNobody(t *testing.T) {
	c := qt.New(t)
	b := newNoticeBoard(timer.NewVirtual())
	b.update([]place.Endpoint{oldProcess}, 3)
	b.update([]place.Endpoint{newProcess}, 3)
	b.record(oldProcess, world.UpstreamNotice{IsLeaving: true}, 0)
	c.Assert(b.blocked("s"), qt.HasLen, 0)
}

// TestNoticesOfGoneNodesAreDropped expects a notice to outlive the record of its node by noticeTTL only.
func TestNoticesOfGoneNodesAreDropped(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	b := newNoticeBoard(clock)
	b.update([]place.Endpoint{oldProcess}, 3)
	b.record(oldProcess, world.UpstreamNotice{IsLeaving: true}, 0)
	b.update(nil, 2)
	clock.Run(clock.Now() + noticeTTL/2)
	b.update(nil, 2)
	c.Assert(b.blocked("s"), qt.DeepEquals, []world.NodeID{"n"})
	clock.Run(clock.Now() + noticeTTL + time.Second)
	b.update(nil, 2)
	c.Assert(b.entries, qt.HasLen, 0)
}
