// Command fleetbench measures the cost of endpoint ownership per host and prints the figures as JSON lines.
package main

import (
	"fmt"
	"os"

	"waxwingplank/test/benchfleet"
)

func main() {
	if err := benchfleet.Run(benchfleet.Config{Out: os.Stdout}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
