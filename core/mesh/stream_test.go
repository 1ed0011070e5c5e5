package mesh_test

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/event"
	"wagtailyoke/core/mesh"
	"wagtailyoke/core/world"
)

// endlessRest is the rest of an answer's body that never ends.
type endlessRest struct{ closed int }

func (e *endlessRest) Read(p []byte) (int, error) {
	if e.closed > 0 {
		return 0, io.ErrClosedPipe
	}
	return len(p), nil
}

func (e *endlessRest) Close() error {
	e.closed++
	return nil
}

// stream requests an answer whose body has begun and does not end.
func stream(c *qt.C, wait time.Duration) (s *site, rest *endlessRest, reply *world.Reply) {
	s = newTestSite(c, 51)
	rest = &endlessRest{}
	for _, v := range s.nodes {
		v.up.streams = func() io.ReadCloser { return rest }
	}
	s.run(3 * time.Second)
	s.nodes[0].node.Serve(mesh.Incoming{
		Call:     world.Call{ID: "stream", Method: "GET", Path: "/bin/1", Host: "site"},
		PathOnly: "/bin/1", Key: key, HasKey: true, Timeout: wait,
	}, func(r *world.Reply) { reply = r })
	s.run(700 * time.Millisecond)
	c.Assert(reply, qt.IsNotNil)
	c.Assert(reply.Rest, qt.IsNotNil)
	return s, rest, reply
}

func TestAnswerWithoutEndIsCutWhenItsCallerHasGone(t *testing.T) {
	c := qt.New(t)
	s, rest, _ := stream(c, 2*time.Second)
	// The route's timeout of 800 ms does not apply to an answer that has begun.
	s.run(time.Second)
	c.Assert(rest.closed, qt.Equals, 0)
	s.run(500 * time.Millisecond)
	c.Assert(rest.closed, qt.Equals, 1)
	c.Assert(s.events.counts[event.AnswerCut], qt.Equals, 1)
}

func TestAnswerWithoutEndIsCutIfItsCallerSetsNoTimeout(t *testing.T) {
	c := qt.New(t)
	s, rest, _ := stream(c, 0)
	s.run(70 * time.Second)
	c.Assert(rest.closed, qt.Equals, 1)
}

func TestAnswerThatEndsIsNotCut(t *testing.T) {
	c := qt.New(t)
	s, rest, reply := stream(c, 2*time.Second)
	c.Assert(reply.Rest.Close(), qt.IsNil)
	s.run(5 * time.Second)
	c.Assert(rest.closed, qt.Equals, 1)
	c.Assert(s.events.counts[event.AnswerCut], qt.Equals, 0)
}

// TestStopWaitsForStreamedAnswers guards against a planned stop that cuts long answers on their way: both the node
// where the request entered and that of the endpoint must stay until the answer's body is closed.
func TestStopWaitsForStreamedAnswers(t *testing.T) {
	for _, isEntry := range []bool{true, false} {
		c := qt.New(t)
		s, _, reply := stream(c, 5*time.Second)
		var ended []bool
		for _, v := range s.nodes {
			if isEntry == (v == s.nodes[0]) && (isEntry || v.service == "gate") {
				v.node.Stop(func() { ended = append(ended, true) })
			}
		}
		stopping := map[bool]int{true: 1, false: 3}[isEntry]
		s.run(4 * time.Second)
		c.Assert(len(ended), qt.Equals, stopping-1, qt.Commentf("isEntry=%v", isEntry))
		c.Assert(reply.Rest.Close(), qt.IsNil)
		s.run(10 * time.Millisecond)
		c.Assert(len(ended), qt.Equals, stopping, qt.Commentf("isEntry=%v", isEntry))
	}
}

// brokenRest is the rest of an answer that the upstream breaks off.
type brokenRest struct{ endlessRest }

func (b *brokenRest) Read([]byte) (int, error) {
	if b.closed > 0 {
		return 0, io.ErrClosedPipe
	}
	return 0, io.ErrUnexpectedEOF
}

// TestBrokenAnswersAreLogged breaks answers off before and after they have begun. An answer that the node itself
// gives up is not logged.
func TestBrokenAnswersAreLogged(t *testing.T) {
	c := qt.New(t)
	s := newTestSite(c, 52)
	for _, v := range s.nodes {
		v.up.streams = func() io.ReadCloser { return &brokenRest{} }
	}
	s.run(3 * time.Second)
	serve := func(id string) (reply *world.Reply) {
		s.nodes[0].node.Serve(mesh.Incoming{
			Call:     world.Call{ID: world.RequestID(id), Method: "POST", Path: "/bin/1", Host: "site"},
			PathOnly: "/bin/1", Key: key, HasKey: true, Timeout: 2 * time.Second,
		}, func(r *world.Reply) { reply = r })
		s.run(700 * time.Millisecond)
		c.Assert(reply, qt.IsNotNil)
		return reply
	}
	closed := serve("closed")
	c.Assert(closed.Rest.Close(), qt.IsNil)
	_, err := closed.Rest.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.ErrClosedPipe)
	c.Assert(s.events.counts[event.AnswerBroken], qt.Equals, 0)
	cut := serve("cut")
	_, err = cut.Rest.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
	c.Assert(cut.Rest.Close(), qt.IsNil)
	c.Assert(s.events.counts[event.AnswerBroken], qt.Equals, 1)
	for _, v := range s.nodes {
		v.up.loses = true
	}
	serve("lost")
	c.Assert(s.events.counts[event.AnswerBroken] > 1, qt.IsTrue)
}
