#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt, and prints that list. An entry starts
# with "PACKAGE TEST" at the beginning of a line, with TEST as go test prints it
# (Test/subtest); indented lines below it describe the failure. An entry whose test does not
# exist is an error. KNOWN_RED selects another list; if it is empty, all tests run. The test
# cache is disabled because it does not track the programs that platform/soak builds.
set -euo pipefail
cd "${TEST_ROOT:-$(dirname "$0")/..}"
list=${KNOWN_RED-KNOWN-RED.txt}

declare -A skip
entries=0
if [ -n "$list" ]; then
  number=0
  while IFS= read -r line || [ -n "$line" ]; do
    number=$((number + 1))
    case $line in
      '' | '#'* | [[:space:]]*) continue ;;
    esac
    read -r package test rest <<<"$line"
    if [ -z "$test" ] || [ -n "$rest" ]; then
      echo "$list:$number: want \"PACKAGE TEST\", got \"$line\"" >&2
      exit 1
    fi
    known=$(go test -list "^${test%%/*}\$" "$package" | grep -cx "${test%%/*}" || true)
    if [ "$known" -ne 1 ]; then
      echo "$list:$number: test \"${test%%/*}\" does not exist in package \"$package\"" >&2
      exit 1
    fi
    # go test matches each level of a test name against a separate pattern.
    pattern=$(printf '%s' "$test" | sed -e 's/[][\.*^$+?(){}|]/\\&/g' -e 's,/,$/^,g')
    skip[$package]="${skip[$package]:+${skip[$package]}|}^$pattern\$"
    entries=$((entries + 1))
  done <"$list"
fi
if [ "$entries" -eq 0 ]; then
  exec go test -count=1 ./...
fi

echo "Known failures (skipped):"
cat "$list"
status=0
mapfile -t others < <(go list ./... | grep -vxF "$(printf '%s\n' "${!skip[@]}")" || true)
if [ "${#others[@]}" -gt 0 ]; then
  go test -count=1 "${others[@]}" || status=1
fi
for package in "${!skip[@]}"; do
  go test -count=1 -skip "${skip[$package]}" "$package" || status=1
done
exit "$status"
