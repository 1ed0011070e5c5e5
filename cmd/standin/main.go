// Command standin provides simple stand-ins for the systems around wagtailyoke: the
// platform's object API, an upstream and a load generator. It is a test tool and not part
// of the product.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	parser := flags.NewNamedParser("standin", flags.Default)
	add(parser, "platform", "the platform's object API", &platformCommand{})
	add(parser, "upstream", "a service endpoint", &upstreamCommand{})
	add(parser, "load", "an open-loop load generator", &loadCommand{})
	add(parser, "fleet", "write the settings of a complete deployment", &fleetCommand{})
	add(parser, "check", "compare the callers' records with the upstreams' logs", &checkCommand{})
	add(parser, "plot", "plot the measurements of load runs", &plotCommand{})
	if _, err := parser.Parse(); err != nil {
		const exitUsage = 2
		os.Exit(exitUsage)
	}
}

func add(parser *flags.Parser, name, short string, data any) {
	if _, err := parser.AddCommand(name, short, "", data); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
