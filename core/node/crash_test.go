package node_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/world"
)

// crashUpstreamsUntil sends a request that crashes upstreams until a number of them have
// crashed, at most 40 times.
func (f *fleet) crashUpstreamsUntil(ends int, send func()) {
	for range 40 {
		if f.crashes() >= ends {
			return
		}
		send()
		f.run(300 * time.Millisecond)
	}
}

// sendCrashing sends a request that crashes upstreams to a random node.
func (f *fleet) sendCrashing() {
	f.send(f.anyVM(), "c0", http.MethodGet, "/b/bad?crash=1", "", nil)
}

func (f *fleet) crashes() int {
	n := 0
	for _, v := range f.vms {
		n += v.up.totalDowns
	}
	return n
}

// TestSheddingUpstreamClearsNoSuspect: a request that an upstream sheds has not completed,
// hence it stays a suspect.
func TestSheddingUpstreamClearsNoSuspect(t *testing.T) {
	c := qt.New(t)
	f := newCalm(1, 3, 4)
	f.crashUpstreamsUntil(1, f.sendCrashing)
	f.run(2 * time.Second)
	for _, v := range f.vms {
		v.up.shedding = true
	}
	f.sendCrashing()
	f.run(time.Second)
	for _, v := range f.vms {
		v.up.shedding = false
	}
	for range 20 {
		f.sendCrashing()
		f.run(500 * time.Millisecond)
	}
	c.Assert(f.crashes(), qt.Equals, 2)
}

// TestCrashDetectedByNewCall: a new call detects a crash of the upstream before the
// connections of the calls in flight break. Those calls still become suspects.
func TestCrashDetectedByNewCall(t *testing.T) {
	c := qt.New(t)
	f := newCalm(1, 1, 2)
	v := f.vms[1]
	v.up.slow = 50
	f.send(v, "c0", http.MethodGet, "/b/long", "", nil)
	f.run(20 * time.Millisecond)
	v.up.down = true
	f.send(v, "c0", http.MethodGet, "/b/y", "", nil)
	f.run(20 * time.Millisecond)
	v.up.crash()
	f.run(20 * time.Millisecond)
	c.Assert(v.n.Status().Suspects, qt.Equals, 1)
}

// TestResendWithAnotherKeyIsTheSameRequest: resends with a new idempotency key each count
// as the same request for the quarantine.
func TestResendWithAnotherKeyIsTheSameRequest(t *testing.T) {
	c := qt.New(t)
	f := newCalm(2, 3, 4)
	for range 40 {
		f.send(f.anyVM(), "c0", http.MethodPost, "/b/reserve/1?crash=1", f.newKey(), nil)
		f.run(500 * time.Millisecond)
	}
	c.Assert(f.crashes() <= 2, qt.IsTrue, qt.Commentf("%d upstreams were lost to one request", f.crashes()))
}

// TestCrashingCallOfAnUpstream: the request that crashes upstreams is a child call of
// another upstream.
func TestCrashingCallOfAnUpstream(t *testing.T) {
	c := qt.New(t)
	f := newCalm(3, 3, 4)
	for range 40 {
		f.send(f.anyVM(), "c0", http.MethodGet, "/a/x?child=/b/bad?crash=1", "", nil)
		f.run(500 * time.Millisecond)
	}
	c.Assert(f.crashes() <= 2, qt.IsTrue, qt.Commentf("%d upstreams were lost to one call", f.crashes()))
}

// TestCrashingRequestAtAllNodesAtOnce sends a crashing request to all nodes at once, five
// times. Only the first round may crash upstreams.
func TestCrashingRequestAtAllNodesAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newCalm(5, 3, 4)
	after := 0
	for volley := range 5 {
		before := f.crashes()
		for _, v := range f.vms {
			f.send(v, "c0", http.MethodGet, "/b/bad?crash=1", "", nil)
		}
		f.run(3 * time.Second)
		if volley > 0 {
			after += f.crashes() - before
		}
	}
	c.Assert(after, qt.Equals, 0)
}

// TestCrashingRequestIsStoppedAfterARestartOfAllNodes kills and boots all nodes after a
// request was banned. The quarantine is restored from the object store.
func TestCrashingRequestIsStoppedAfterARestartOfAllNodes(t *testing.T) {
	c := qt.New(t)
	f := newCalm(4, 3, 4)
	f.crashUpstreamsUntil(2, f.sendCrashing)
	f.run(3 * time.Second)
	for _, v := range f.vms {
		v.kill()
	}
	f.run(time.Second)
	for _, v := range f.vms {
		v.boot()
	}
	f.run(15 * time.Second)
	before := f.crashes()
	for range 20 {
		f.sendCrashing()
		f.run(500 * time.Millisecond)
	}
	c.Assert(f.crashes(), qt.Equals, before)
}

// TestCrashingRequestIsStoppedInADomainThatIsCutOff: a failure domain that is cut off from
// the others, but not from the platform, gets the quarantine from the object store.
func TestCrashingRequestIsStoppedInADomainThatIsCutOff(t *testing.T) {
	c := qt.New(t)
	f := newCalm(6, 3, 4)
	for _, a := range []world.DomainID{"d0", "d1"} {
		f.cuts[[2]world.DomainID{a, "d2"}], f.cuts[[2]world.DomainID{"d2", a}] = true, true
	}
	f.run(time.Second)
	f.crashUpstreamsUntil(2, func() { f.send(f.vms[0], "c0", http.MethodGet, "/b/bad?crash=1", "", nil) })
	f.run(4 * time.Second)
	before := f.crashes()
	for range 20 {
		for _, v := range f.vms {
			if v.info.Domain == "d2" {
				f.send(v, "c0", http.MethodGet, "/b/bad?crash=1", "", nil)
			}
		}
		f.run(500 * time.Millisecond)
	}
	c.Assert(f.crashes(), qt.Equals, before)
}
