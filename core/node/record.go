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
func (p *proxiedRequest) obtainRecord() {
	n := p.n
	if p.isOver() {
		return
	}
	home := quota.HomeDomain(p.call.Customer, p.call.Route, p.call.Key, n.config.Load().Domains)
	p.call.Home = home
	leader, ok := n.leaders.of(home)
	if !ok {
		p.awaitLeader()
		return
	}
	p.owner = fmt.Sprintf("%s/%d/%016x", n.Info.Name, n.Info.Incarnation, n.randomID())
	req := &wire.BeginRequest{
		Key:         p.recordKey(),
		BodyDigest:  bodyDigest(&p.call),
		RemainingMs: (p.call.Deadline - n.Clock.Now()).Milliseconds(),
		Owner:       p.owner,
	}
	timeout := min(beginTimeout, p.call.Deadline-n.Clock.Now())
	n.control(world.Address(leader.GetPeerAddress()), req, timeout, p.handleVerdict)
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
func (p *proxiedRequest) awaitLeader() {
	p.leaderTries++
	if p.leaderTries > leaderTries || p.n.Clock.Now()+leaderPause >= p.call.Deadline {
		p.finish(p.homeUnreachable(p.call.Home))
		return
	}
	p.n.Clock.After(leaderPause, p.obtainRecord)
}

func (p *proxiedRequest) recordKey() *wire.RecordKey {
	return &wire.RecordKey{Customer: string(p.call.Customer), Route: string(p.call.Route), Key: p.call.Key}
}

// homeUnreachable returns a refusal with the address of an entry node in the home
// failure domain, which the caller may be able to reach although this node cannot.
func (p *proxiedRequest) homeUnreachable(home world.DomainID) *world.Reply {
	r := world.Refuse(http.StatusServiceUnavailable, world.CodeHomeUnreachable, world.RunNo, p.n.retryAfter(time.Second))
	r.AlternativeAddress, _ = p.n.picker.PublicAddress(home)
	return r
}

// handleVerdict processes the home leader's verdict.
func (p *proxiedRequest) handleVerdict(m proto.Message, err error) {
	reply, ok := m.(*wire.BeginReply)
	if err != nil || !ok {
		// The record may have been created although the reply was lost. The call
		// has not been sent, hence finish removes the record.
		p.finish(p.homeUnreachable(p.call.Home))
		return
	}
	p.call.Epoch = world.Epoch(reply.GetEpoch())
	if reply.GetVerdict() == wire.Verdict_VERDICT_RUN {
		p.attempt()
		return
	}
	p.forgetOwner()
	switch reply.GetVerdict() {
	case wire.Verdict_VERDICT_ANSWERED:
		p.finish(replyOf(reply.GetAnswer()))
	case wire.Verdict_VERDICT_KEY_INVALID:
		p.finish(world.Refuse(http.StatusBadRequest, world.CodeKeyInvalid, world.RunNo, 0))
	case wire.Verdict_VERDICT_KEY_REUSED:
		p.finish(world.Refuse(http.StatusUnprocessableEntity, world.CodeKeyReused, world.RunMaybe, 0))
	case wire.Verdict_VERDICT_NOT_LEADER:
		p.n.leaders.forget(p.call.Home, p.call.Epoch)
		p.awaitLeader()
	case wire.Verdict_VERDICT_RUNNING:
		p.n.Clock.After(runningPause, p.obtainRecord)
	default:
		p.finish(world.Refuse(http.StatusConflict, world.CodeMayHaveRun, world.RunMaybe, 0))
	}
}

func (p *proxiedRequest) forgetOwner() {
	p.mu.Lock()
	p.owner = ""
	p.mu.Unlock()
}

// settleRecord stores the answer at the home leader, or removes the record if the call
// cannot have run.
func (p *proxiedRequest) settleRecord(owner string, r *world.Reply) {
	req := &wire.FinishRequest{Key: p.recordKey(), Epoch: uint64(p.call.Epoch), Owner: owner}
	if r.IsRefusal() && r.Run == world.RunNo {
		req.NotRun = true
	} else {
		req.Answer = answerOf(r)
	}
	p.n.deliver(p.call.Home, req, finishTries)
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
