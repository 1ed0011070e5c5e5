#!/usr/bin/env bash
# Mutation tests: applies one fault at a time to a copy of the last commit and runs the
# test that must detect it. Fails if a fault goes undetected.
#   SEEDS=n TERM_SEEDS=n scripts/planted.sh [NAME]
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
unseen=0

# plant NAME FILE SED TEST: applies the edit SED to FILE and expects TEST to fail.
plant() {
  if [ -n "${only:-}" ] && [ "$only" != "$1" ]; then return; fi
  rm -rf "$copy/tree" && mkdir "$copy/tree" && git -C "$root" archive HEAD | tar xf - -C "$copy/tree"
  sed -i "$3" "$copy/tree/$2"
  if git -C "$root" show "HEAD:$2" | cmp -s - "$copy/tree/$2"; then echo "$1: the edit no longer applies"; unseen=1; return; fi
  if ! (cd "$copy/tree" && go vet "./$(dirname "$2")") >"$copy/out" 2>&1; then echo "$1: does not build"; cat "$copy/out"; unseen=1; return; fi
  # Seeds that test only leader terms run quickly, so use more of them.
  case $4 in TestOneHolder) seeds=${TERM_SEEDS:-400} ;; *) seeds=${SEEDS:-20} ;; esac
  if (cd "$copy/tree" && WAGTAILYOKE_SOAK=1 WAGTAILYOKE_SEEDS=$seeds go test -count=1 -run "$4" ./core/... ./io/peer ./io/hops ./io/body) >"$copy/out" 2>&1; then
    echo "$1: NOT SEEN by $4"
    unseen=1
  else
    echo "$1: seen: $(grep -m1 -E 'seed [0-9]+[:,]|invariant|failed|values are|ran |spent' "$copy/out" | sed 's/^ *//' | cut -c1-150)"
  fi
}

only=${1:-}
chaos='TestChaos|TestSoak'
plant no-testimonies core/term/takeover.go 's/len(r.confirmed) >= confirmationsNeeded(len(r.record.Members))/true/' TestOneHolder
plant silence-too-short core/term/takeover.go 's/minSilence: t.options.FenceTimeout + t.options.RoundTimeout,/minSilence: t.options.FenceTimeout \/ 4,/' TestOneHolder
plant version-not-pinned core/term/takeover.go 's/^\tt.writeRecord(r.version, r.nextRecord()/\to, _ := t.version, 0\n\tt.writeRecord(o, r.nextRecord()/' TestOneHolder
plant evidence-from-arrival core/term/term.go 's/^\t\tt.contacts\[member\] = sent$/\t\tt.contacts[member] = t.clock.Now() + t.options.FenceTimeout/' TestOneHolder
plant confirmed-at-answer core/term/cycle.go 's/^\tt.confirmedAt = max(t.confirmedAt, sent)$/\tt.confirmedAt = t.clock.Now()/' TestOneHolder
plant no-settling core/quota/ledger.go 's/^\t\tl.settledAt += .*/\t\tl.settledAt += 0/' "$chaos"
plant tokens-never-expire core/quota/tokens.go 's/s.clock.Now() >= s.expiry || h.tokens() <= 0/h.tokens() <= 0/; s/if s.expiry != 0 \&\& s.clock.Now() >= s.expiry {/if false {/' "$chaos"
plant grants-not-counted core/quota/ledger.go 's/^\treturn max(0, burst+a.borrowed-a.outstanding)$/\treturn max(0, burst+a.borrowed)/' "TestLedger|$chaos"
plant growth-not-confirmed core/quota/ledger.go 's/if a.hasPending \&\& confirmed >= a.pendingVersion {/if a.hasPending {/' "$chaos"
plant unseen-keys-run core/once/records.go 's/case !issued.After(r.term.FreshAfter):/case false:/' "$chaos"
plant anyone-takes-back core/once/records.go 's/case e.owner == req.GetOwner():/default:/' "$chaos"
plant retry-any-call core/node/retry.go 's/if !p.call.Idempotent \&\& r.Run != world.RunNo {/if false {/' "$chaos"
plant broken-is-not-run core/node/proxiedrequest.go 's/^\trun := world.RunMaybe$/\trun := world.RunNo/' "$chaos"
plant key-passes core/node/serve.go 's/^\th.Del(HeaderKey)$/\t_ = h/' "$chaos"
plant drain-ignored core/node/execution.go 's/if n.state() != wire.NodeState_NODE_STATE_READY {/if false {/' TestLeaving
plant config-falls core/node/config.go 's/if versionOf(old) >= version {/if false {/; s/^\tif version <= n.configVersion() {/\tif false {/' TestOlderConfiguration
plant no-handover core/node/handover.go 's/^\tr := n.validRole()\n\tsuccessor/&/; s/if r == nil || successor == nil {/if true {/' TestRollingRestart
plant no-quarantine core/once/quarantine.go 's/^\t\treturn StatusBanned$/\t\treturn StatusWatched/' TestCrashingRequest
plant shed-clears core/node/execution.go 's/if reply.IsSuccess() {/if reply.Code != world.CodeUnreachable {/' TestSheddingUpstreamClearsNoSuspect
plant key-in-fingerprint core/node/serve.go 's/string(c.Route), c.Method, c.Path}/string(c.Route), c.Method, c.Path, c.Key}/' TestResendWithAnotherKey
plant not-kept core/node/leaderrole.go 's/^\tn.persistQuarantine(r.Epoch)$/\tif false {\n\t\tn.persistQuarantine(r.Epoch)\n\t}/' TestCrashingRequestIsStopped
plant not-kept-mesh core/mesh/quarantinestore.go 's/if s.n.quarantine.IsUpToDate(s.stored, s.n.Clock.Wall()) {/if s.n != nil {/' TestBan
plant home-kept-at-a-stop core/share/home.go 's/^\tl.isLeaving = true$/\tl.isLeaving = false/' TestRateHoldsWhileNodes
plant pool-not-handed-over core/share/request.go 's/if want.GetLeft() > 0 {/if want.GetLeft() > 1<<30 {/' TestPoolIsHandedOver
plant takes-to-the-end core/mesh/stop.go 's/return n.refusesCallers \&\& /return n.refusesCallers \&\& n.executionCount < 0 \&\& /' TestCallersThatStay
plant head-without-bound io/hops/hops.go 's/if c.headLeft <= 0 {/if c.headLeft < -1<<40 {/; s/p\[:min(len(p), c.headLeft)\]/p/' TestEndlessResponses
plant stream-without-bound core/mesh/proxiedrequest.go 's/^\tif r.Rest == nil {$/\tif r.Rest == nil || p.n != nil {/' TestAnswerWithoutEnd
plant limit-ignored core/mesh/notice.go 's/^\tcase reply.Notice.HasCallLimit:$/\tcase false:/' TestCallLimitOfUpstreamIsKept
plant limit-not-passed-on core/mesh/notice.go 's/ \&\& n.rateGate.Suggest(l.CallsPerSecond)/ \&\& false/' TestCallLimitAfterRestart
plant limit-without-share core/mesh/noticeboard.go 's/return p.isLeaving || .*/return p.isLeaving/' TestCallLimitBesideOldBuild
plant leave-forgotten core/mesh/noticeboard.go 's/return p.isLeaving || /return /' TestLeaveIsRemembered
plant refusal-on-its-connection io/hops/hops.go 's/if len(c.refused) > 0 /if false /' TestDuplicateRefusal
plant shed-from-the-top core/admit/fairqueue.go 's/^\tfor c := range q.classes {$/\tfor c := len(q.classes) - 1; c >= 0; c-- {/' 'TestFairQueue'
plant budget-copied core/retry/retry.go 's/^\tb.left -= half$/\t_ = half/' 'TestBudget'
plant share-before-written core/quota/reserved.go 's/^\treturn int64(min(wanted, s.size))$/\treturn int64(wanted)/; s/^const reservedFraction.*/&/' "TestAllLeaders|$chaos"
plant floor-not-surrendered core/quota/reserved.go 's/if s.acknowledged \&\& now < end {/if true {/; s/start := r.lastReply + shareReleaseTTL + r.lease/start := r.lastReply/' "TestAllLeaders|$chaos"
plant crossed-reply-taken io/peer/forward.go 's/if world.RequestID(meta.GetRequestId()) != id {/if false {/' TestReplyToAnotherRequest
plant cut-answer-taken io/peer/forward.go 's/done(nil, nil, errors.Wrap(world.ErrBroken, err.Error()))/done(resp, body, nil)/' TestTruncatedResponses
plant transport-repeats io/hops/hops.go 's/^\tresp, err := p.exchange(c, to, req)$/&\n\tif err != nil {\n\t\t_ = to.Close()\n\t\tif to, err = p.dial(req.Address); err == nil {\n\t\t\tresp, err = p.exchange(c, to, req)\n\t\t}\n\t}/' TestNothingIsRepeated
plant reset-is-the-end io/hops/reset.go 's/if writeErr := c.finishWrite(); writeErr != nil {/if writeErr := c.finishWrite(); writeErr != nil \&\& c == nil {/' 'TestResetSeen'
plant names-unchecked io/hops/head.go 's/if !httpguts.ValidHeaderFieldName(string(name)) {/if false {/' TestFieldNames
plant upload-shared io/body/upload.go 's/if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {/if err := error(nil); err != nil {/; s/h.Set("Connection", "close")/_ = h/' TestEarlyAnswerLeaves
plant copies-taken io/hops/hops.go 's/if p.options.Matches == nil || p.options.Matches(req, resp.Header) {/if true {/' TestDuplicateResponsesAreSkipped
plant suspension-unseen core/timer/timer.go 's/r.monotonicClock() + time.Duration(r.suspended.Load())/r.monotonicClock()/' TestSuspendedTimeCounts
plant unknown-age-is-new core/mesh/follow.go 's/^\t\treturn unknownTableAge$/\t\treturn n.Clock.Now()/' TestTableOfUnknownAge
plant lost-updates-stay-lost core/fleet/exchange.go 's/^\t\tv.scheduleResyncLocked(m)$/\t\t_ = m/' TestFleetConvergesAfterFaults
plant relay-reports-all-alive core/fleet/report.go 's/if now-m.loadReportedAt <= time.Duration(alivePeriods/if true || now-m.loadReportedAt <= time.Duration(alivePeriods/' TestCrashIsDetectedEverywhere
plant cold-gate-open core/admit/coldgate.go 's/^\tif now < g.nextCallAt {$/\tif g == nil {/' 'TestColdGate|TestAllReturnCold'
plant restart-unnoticed core/mesh/coldstart.go 's/^\tn.coldGate.Unverify()$/\t_ = n/' TestEvacuation
plant old-heartbeat-believed core/mesh/coldstart.go 's/isUnverified \&\& !isNewProcess {/isUnverified \&\& !isNewProcess \&\& n == nil {/' TestNodeRestartsBesideAColdUpstream
plant evacuation-ignored core/mesh/evacuation.go 's/^\treturn e.domains\[domain\]$/\treturn e.domains[domain] \&\& e == nil/' TestEvacuation
plant deletion-missed core/mesh/evacuation.go 's/^\t\t\tclear(domains)$/\t\t\t_ = domains/' TestMissedEndOfAnEvacuation
plant missed-counts-twice core/quota/refill.go 's/^\t\tm.amount -= taken$/\t\t_ = taken/' 'TestLedger|TestChaos|TestSoak'
exit $unseen
