// Command rig plays a scenario of the review against real sidecar processes. It holds the stand-ins of the
// platform's store, the endpoints, the operator and the clients.
//
// # Usage
//
//	rig SCENARIO RECORD
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the scenario could not run. With TROUBLE=0 it
// leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// scenario plays the disruption and checks the rule.
type scenario struct {
	places []place
	play   func(s *site, hasTrouble bool) (isBroken bool, err error)
}

var scenarios = map[string]scenario{
	"tokens": {places: fleet("pricebook", "pricebook", "yardgate", "yardgate"), play: playTokens},
	"stop":   {places: fleet("stockdesk", "lotbook"), play: playStop},
	"idle":   {places: fleet("stockdesk", "pricebook"), play: playIdle},
	"leave":  {places: fleet("stockdesk", "pricebook"), play: playLeave},
}

// fleet returns a machine of each service in each zone.
func fleet(services ...string) []place {
	var places []place
	for _, service := range services {
		for _, zone := range []string{"mill-st", "river-rd", "annex-b"} {
			places = append(places, place{zone: zone, service: service})
		}
	}
	return places
}

func main() { os.Exit(run()) }

const (
	held, broken, failed = 0, 1, 2
)

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO RECORD")
		return failed
	}
	chosen, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "rig: scenario %q does not exist\n", os.Args[1])
		return failed
	}
	names, err := readProtocol("review/rig/protocol.json")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return failed
	}
	s, err := newSite(names, "target/wagtailyoke", os.Args[2], chosen.places)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return failed
	}
	defer s.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- playScenario(s, chosen) }()
	select {
	case <-interrupted:
		return failed
	case code := <-result:
		return code
	}
}

func playScenario(s *site, chosen scenario) int {
	isBroken, err := chosen.play(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.report("the case could not run: %v", err)
		return failed
	case isBroken:
		s.report("the rule is broken")
		return broken
	default:
		s.report("the rule held")
		return held
	}
}

// report writes a line to the record and to standard output.
func (s *site) report(format string, args ...any) {
	s.log(format, args...)
	fmt.Printf(format+"\n", args...)
}
