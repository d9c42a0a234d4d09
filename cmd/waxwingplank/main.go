// Command waxwingplank is the operators' command-line client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"waxwingplank/internal/client/command"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return command.Run(ctx, command.Config{Args: os.Args[1:], Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Env: os.Getenv})
}
