// Command fleetbench measures what the ownership of endpoints costs each host and prints its figures.
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
