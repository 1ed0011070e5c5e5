package once

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"wagtailyoke/core/timer"
)

var testLimits = Limits{Suspect: 2, Ban: 3}

func TestStandingByCrashes(t *testing.T) {
	tables := map[string]struct {
		crashes [][]uint64
		want    Status
	}{
		"none":                     {nil, StatusClear},
		"one":                      {[][]uint64{{1, 2}}, StatusWatched},
		"of others":                {[][]uint64{{2}, {2}, {2}}, StatusClear},
		"two with another suspect": {[][]uint64{{1, 2}, {1, 2}}, StatusSuspect},
		"two with newcomers":       {[][]uint64{{1, 2}, {1, 3}}, StatusSuspect},
		"three":                    {[][]uint64{{1, 2}, {1, 2}, {1, 2}}, StatusBanned},
	}
	for name, table := range tables {
		t.Run(name, func(t *testing.T) {
			q := NewQuarantine(timer.NewVirtual(), testLimits)
			for i, fingerprints := range table.crashes {
				q.RecordCrash(uint64(i+1), fingerprints)
			}
			qt.Assert(t, q.Status(1), qt.Equals, table.want)
		})
	}
}

func TestOnlyOneSuspectRuns(t *testing.T) {
	c := qt.New(t)
	q := NewQuarantine(timer.NewVirtual(), testLimits)
	q.RecordCrash(1, []uint64{1, 2})
	q.RecordCrash(2, []uint64{1, 2})
	c.Assert(q.Acquire(1), qt.IsTrue)
	c.Assert(q.Acquire(2), qt.IsFalse)
	// The crash is laid to the one that runs, not to 2, which waits, nor to a newcomer.
	q.RecordCrash(3, []uint64{1, 3})
	c.Assert(q.Status(1), qt.Equals, StatusBanned)
	c.Assert(q.Status(2), qt.Equals, StatusSuspect)
	c.Assert(q.Status(3), qt.Equals, StatusClear)
	c.Assert(q.Acquire(2), qt.IsTrue)
	q.Release(2)
	c.Assert(q.Acquire(2), qt.IsTrue)
}

func TestCompletionClears(t *testing.T) {
	c := qt.New(t)
	q := NewQuarantine(timer.NewVirtual(), testLimits)
	other := NewQuarantine(timer.NewVirtual(), testLimits)
	for id := range uint64(3) {
		q.RecordCrash(id, []uint64{1})
	}
	known, version := q.Export(0)
	c.Assert(other.Merge(known), qt.IsTrue)
	c.Assert(other.Status(1), qt.Equals, StatusBanned)
	q.RecordCompletion(1)
	c.Assert(q.Status(1), qt.Equals, StatusClear)
	known, _ = q.Export(version)
	c.Assert(other.Merge(known), qt.IsTrue)
	c.Assert(other.Status(1), qt.Equals, StatusClear)
	q.RecordCrash(9, []uint64{1})
	c.Assert(q.Status(1), qt.Equals, StatusWatched)
}

func TestBanLastsWhileTheRequestComes(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	q := NewQuarantine(clock, testLimits)
	q.RecordCrash(1, []uint64{1, 2})
	q.RecordCrash(2, []uint64{1})
	c.Assert(q.Acquire(1), qt.IsTrue)
	q.RecordCrash(3, []uint64{1})
	for range 4 {
		clock.Run(clock.Now() + QuarantineTTL*3/4)
		c.Assert(q.Status(1), qt.Equals, StatusBanned)
		q.RecordRefusal(1)
	}
	c.Assert(q.Status(2), qt.Equals, StatusClear)
	clock.Run(clock.Now() + QuarantineTTL)
	c.Assert(q.Status(1), qt.Equals, StatusClear)
}

func TestSuspectsAreBounded(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	q := NewQuarantine(clock, testLimits)
	for id := range uint64(3) {
		q.RecordCrash(id, []uint64{1})
	}
	for f := range uint64(2 * mostSuspects) {
		if f%64 == 0 {
			clock.Run(clock.Now() + time.Millisecond)
		}
		q.RecordCrash(100+f, []uint64{1000 + f})
	}
	all, _ := q.Export(0)
	c.Assert(len(all) <= mostSuspects, qt.IsTrue)
	c.Assert(q.Status(1), qt.Equals, StatusBanned)
}

// TestMergeInAnyOrder lets three nodes learn of crashes and completions and tell each other
// in any order: in the end all know the same.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewVirtual()
		nodes := []*Quarantine{NewQuarantine(clock, testLimits), NewQuarantine(clock, testLimits), NewQuarantine(clock, testLimits)}
		told := map[[2]int]uint64{}
		tell := func(a, b int) {
			entries, version := nodes[a].Export(told[[2]int{a, b}])
			nodes[b].Merge(entries)
			told[[2]int{a, b}] = version
		}
		for id := range rapid.IntRange(1, 30).Draw(t, "steps") {
			at := rapid.IntRange(0, 2).Draw(t, "node")
			fingerprint := rapid.Uint64Range(1, 3).Draw(t, "fingerprint")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				nodes[at].RecordCrash(uint64(id+1), []uint64{fingerprint, fingerprint%3 + 1})
			case 1:
				nodes[at].RecordCompletion(fingerprint)
			default:
				tell(at, (at+1)%3)
			}
		}
		for range 2 {
			for a := range nodes {
				for b := range nodes {
					if a != b {
						tell(a, b)
					}
				}
			}
		}
		first, _ := nodes[0].Export(0)
		for _, other := range nodes[1:] {
			entries, _ := other.Export(0)
			if len(entries) != len(first) {
				t.Fatalf("%d entries and %d", len(first), len(entries))
			}
			for i := range entries {
				if !proto.Equal(entries[i], first[i]) {
					t.Fatalf("%v and %v", first[i], entries[i])
				}
			}
		}
	})
}

// TestKeptQuarantineIsRestored writes and reads the store's document, at a node that knows nothing.
func TestKeptQuarantineIsRestored(t *testing.T) {
	c := qt.New(t)
	wall := time.UnixMilli(1_800_000_000_000)
	q := NewQuarantine(timer.NewVirtual(), testLimits)
	for id := range uint64(3) {
		q.RecordCrash(id, []uint64{1})
	}
	q.RecordCrash(7, []uint64{2, 3})
	q.RecordCompletion(3)
	c.Assert(q.IsUpToDate(nil, wall), qt.IsFalse)
	value, err := EncodeEntries(q.Snapshot(wall))
	c.Assert(err, qt.IsNil)
	held, err := DecodeEntries(value)
	c.Assert(err, qt.IsNil)
	c.Assert(q.IsUpToDate(held, wall), qt.IsTrue)
	other := NewQuarantine(timer.NewVirtual(), testLimits)
	c.Assert(other.Restore(held, wall.Add(time.Minute)), qt.IsTrue)
	for fingerprint, want := range map[uint64]Status{1: StatusBanned, 2: StatusWatched, 3: StatusClear} {
		c.Assert(other.Status(fingerprint), qt.Equals, want)
	}
	// What the store holds is out of date once there is another crash, or a ban is lifted.
	q.RecordCrash(8, []uint64{2})
	c.Assert(q.IsUpToDate(held, wall), qt.IsFalse)
	other.RecordCompletion(1)
	c.Assert(other.IsUpToDate(held, wall), qt.IsFalse)
	_, err = DecodeEntries([]byte("{"))
	c.Assert(errors.Is(err, ErrKept), qt.IsTrue)
	c.Assert(other.Restore(held, wall.Add(time.Hour)), qt.IsFalse)
}

// FuzzKept reads any document of the store: what is read is used without a limit broken.
func FuzzKept(f *testing.F) {
	f.Add([]byte(`[{"fingerprint":"12","untilUnixMs":1800000300000,"crashes":[1,2,3],"proofs":[3]}]`))
	f.Add([]byte(`[{"fingerprint":"12","untilUnixMs":9223372036854775807,"crashes":[]},{}]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		held, err := DecodeEntries(value)
		if err != nil {
			return
		}
		wall := time.UnixMilli(1_800_000_000_000)
		q := NewQuarantine(timer.NewVirtual(), testLimits)
		q.Restore(held, wall)
		for _, k := range q.Snapshot(wall) {
			if left := k.UntilUnixMs - wall.UnixMilli(); left > QuarantineTTL.Milliseconds() || left < 0 {
				t.Fatalf("entry lasts %d ms more", left)
			}
		}
		if again := q.Snapshot(wall); !q.IsUpToDate(again, wall) {
			t.Fatalf("%v is not kept by itself", again)
		}
	})
}
