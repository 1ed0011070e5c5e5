#!/usr/bin/env bash
# Fails if a name of the platform's protocol occurs outside platform/, the only package
# that translates the protocol.
cd "$(dirname "$0")/.." || exit 1
names='pathPrefix|apiKeys|trafficSplit|maxAttempts|targetLatencyMs|heartbeatAddr|coldRemainingMs|ratePerS'
names+='|Instances\.(Heartbeat|Leave)|/v1/(ready|objects)|currentRev|allowStale'
names+='|Wagtailyoke-(Deadline-Ms|Tenant|Expected-Instance|Instance-Id|Not-Executed|Response-Signature|Caller-Service)'
names+='|Server-(Limit|Leaving)|Store-Era'
found=$(git ls-files --cached --others --exclude-standard '*.go' | grep -v '^platform/' | xargs grep -nE "$names")
if [ -n "$found" ]; then
  echo "platform protocol names outside platform/:"
  echo "$found"
  exit 1
fi
