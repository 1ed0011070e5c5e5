// Command wagtailyoke runs a node and holds the operators' commands.
package main

import (
	"os"

	"wagtailyoke/io/admin"
)

func main() { os.Exit(admin.Main(os.Args[1:], os.Stdout, os.Stderr)) }
