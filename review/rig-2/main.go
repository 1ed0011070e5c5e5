// Command rig-2 plays the cases of the second review: it starts sidecars as separate processes, with
// stand-ins of the platform's store, the endpoints and the clients in this process, and checks one rule.
//
// # Usage
//
//	rig-2 -case NAME -program target/wagtailyoke -record record.txt [-trouble=false]
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// options are the command line flags.
type options struct {
	name, program, record string
	trouble               bool
}

// scenario is a case.
type scenario struct {
	// play returns the ways in which the rule was broken.
	play func(s *site, trouble bool) ([]string, error)
	// receiveBuffer is the size of the endpoints' receive buffers, 0 for the system's.
	receiveBuffer int
}

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"slow-upload":      {play: playSlowUpload, receiveBuffer: 16 << 10},
	"slow-reader":      {play: playSlowReader},
	"clock-back":       {play: playClockBack},
	"forged-heartbeat": {play: playForgedHeartbeat},
}

func main() {
	var o options
	flag.StringVar(&o.name, "case", "", "name of the case")
	flag.StringVar(&o.program, "program", "target/wagtailyoke", "the product's program")
	flag.StringVar(&o.record, "record", "record.txt", "file for what was sent, answered and run")
	flag.BoolVar(&o.trouble, "trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(run(o))
}

func run(o options) int {
	c, ok := scenarios[o.name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", o.name)
		return exitUnable
	}
	r, err := newRecord(o.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer r.close()
	r.note("case %s, disruption %v", o.name, o.trouble)
	s, err := newSite(o.program, r, c.receiveBuffer)
	if err != nil {
		r.note("cannot run: %v", err)
		return exitUnable
	}
	defer s.close()
	broken, err := c.play(s, o.trouble)
	if err != nil {
		r.note("cannot run: %v", err)
		return exitUnable
	}
	broken = append(broken, s.unexpectedEnds()...)
	for _, b := range broken {
		r.note("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}
