package node

import (
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/quota"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// obtainRecord requests the idempotency record from the leader of the key's home
// failure domain.
func (f *proxiedRequest) obtainRecord() {
	n := f.n
	if f.isOver() {
		return
	}
	home := quota.HomeDomain(f.call.Customer, f.call.Route, f.call.Key, n.config.Load().Domains)
	f.call.Home = home
	leader, ok := n.leaders.of(home)
	if !ok {
		f.awaitLeader()
		return
	}
	f.owner = fmt.Sprintf("%s/%d/%016x", n.Info.Name, n.Info.Incarnation, n.randomID())
	req := &wire.BeginRequest{
		Key:         f.recordKey(),
		BodyDigest:  bodyDigest(&f.call),
		RemainingMs: (f.call.Deadline - n.Clock.Now()).Milliseconds(),
		Owner:       f.owner,
	}
	timeout := min(beginTimeout, f.call.Deadline-n.Clock.Now())
	n.control(world.Address(leader.GetPeerAddress()), req, timeout, f.handleVerdict)
}

// Timing of requests for records. A handover leaves a failure domain without a leader
// for some tens of ms.
const (
	leaderTries = 4
	leaderPause = 40 * time.Millisecond
	// beginTimeout is the timeout for the verdict of a leader.
	beginTimeout = 400 * time.Millisecond
	// runningPause is the interval at which the answer of a running call is polled.
	runningPause = 40 * time.Millisecond
)

// awaitLeader requests the record again after a pause, up to leaderTries times.
func (f *proxiedRequest) awaitLeader() {
	f.leaderTries++
	if f.leaderTries > leaderTries || f.n.Clock.Now()+leaderPause >= f.call.Deadline {
		f.finish(f.homeUnreachable(f.call.Home))
		return
	}
	f.n.Clock.After(leaderPause, f.obtainRecord)
}

func (f *proxiedRequest) recordKey() *wire.RecordKey {
	return &wire.RecordKey{Customer: string(f.call.Customer), Route: string(f.call.Route), Key: f.call.Key}
}

// homeUnreachable returns a refusal with the address of an entry node in the home
// failure domain, which the caller may be able to reach although this node cannot.
func (f *proxiedRequest) homeUnreachable(home world.DomainID) *world.Reply {
	r := world.Refuse(http.StatusServiceUnavailable, world.CodeHomeUnreachable, world.RunNo, f.n.retryAfter(time.Second))
	r.Elsewhere, _ = f.n.picker.PublicAddress(home)
	return r
}

// handleVerdict processes the home leader's verdict.
func (f *proxiedRequest) handleVerdict(m proto.Message, err error) {
	reply, ok := m.(*wire.BeginReply)
	if err != nil || !ok {
		// The record may have been created although the reply was lost. The call
		// has not been sent, hence finish removes the record.
		f.finish(f.homeUnreachable(f.call.Home))
		return
	}
	f.call.Epoch = world.Epoch(reply.GetEpoch())
	if reply.GetVerdict() == wire.Verdict_VERDICT_RUN {
		f.attempt()
		return
	}
	f.forgetOwner()
	switch reply.GetVerdict() {
	case wire.Verdict_VERDICT_ANSWERED:
		f.finish(replyOf(reply.GetAnswer()))
	case wire.Verdict_VERDICT_KEY_INVALID:
		f.finish(world.Refuse(http.StatusBadRequest, world.CodeKeyInvalid, world.RunNo, 0))
	case wire.Verdict_VERDICT_KEY_REUSED:
		f.finish(world.Refuse(http.StatusUnprocessableEntity, world.CodeKeyReused, world.RunMaybe, 0))
	case wire.Verdict_VERDICT_NOT_LEADER:
		f.n.leaders.forget(f.call.Home, f.call.Epoch)
		f.awaitLeader()
	case wire.Verdict_VERDICT_RUNNING:
		f.n.Clock.After(runningPause, f.obtainRecord)
	default:
		f.finish(world.Refuse(http.StatusConflict, world.CodeMayHaveRun, world.RunMaybe, 0))
	}
}

func (f *proxiedRequest) forgetOwner() {
	f.mu.Lock()
	f.owner = ""
	f.mu.Unlock()
}

// settleRecord stores the answer at the home leader, or removes the record if the call
// cannot have run.
func (f *proxiedRequest) settleRecord(owner string, r *world.Reply) {
	req := &wire.FinishRequest{Key: f.recordKey(), Epoch: uint64(f.call.Epoch), Owner: owner}
	if r.IsRefusal() && r.Run == world.RunNo {
		req.NotRun = true
	} else {
		req.Answer = answerOf(r)
	}
	f.n.deliver(f.call.Home, req, finishTries)
}

// Retries of record settlements.
const (
	finishTries   = 40
	finishTimeout = 500 * time.Millisecond
	finishPause   = 250 * time.Millisecond
)

// deliver sends a settlement to the leader of a failure domain until the leader
// confirms it or the tries are used up.
func (n *Node) deliver(home world.DomainID, req *wire.FinishRequest, tries int) {
	again := func() {
		if tries > 1 {
			n.Clock.After(finishPause, func() { n.deliver(home, req, tries-1) })
		}
	}
	leader, ok := n.leaders.of(home)
	if !ok {
		again()
		return
	}
	n.control(world.Address(leader.GetPeerAddress()), req, finishTimeout, func(m proto.Message, err error) {
		reply, ok := m.(*wire.FinishReply)
		if err != nil || !ok || !reply.GetStored() {
			again()
		}
	})
}
