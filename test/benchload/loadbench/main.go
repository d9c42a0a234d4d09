// Command loadbench measures the policy for scarce capacity and prints its figures.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"waxwingplank/test/benchload"
)

func main() {
	var options struct {
		Seed       uint64 `long:"seed" default:"1" description:"seed of the trace and of the choices"`
		Only       string `long:"only" description:"run scenarios whose name contains this"`
		GrantSlack int    `long:"grant-slack" description:"change in slots that moves no grant"`
	}
	if _, err := flags.Parse(&options); err != nil {
		os.Exit(2)
	}
	cfg := benchload.Config{
		Seed: options.Seed, Only: options.Only, Table: os.Stderr, Lines: os.Stdout,
		Options: benchload.Options{GrantSlack: options.GrantSlack},
	}
	if err := benchload.Run(cfg); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
