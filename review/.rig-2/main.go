// Command rig plays the cases of the review: it starts entry hosts as separate processes, with stand-ins for the store, the
// workers and the clients around them, and judges a rule by what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"waxwingplank/platform/standin"
)

const (
	callerHost = "host.example"
	// playTime bounds a run.
	playTime = 110 * time.Second
)

// bench is what all cases share.
type bench struct {
	trouble bool
	ctx     context.Context
	begun   time.Time
	store   *standin.Store
	address string
	hosts   []*host
	// processes are the workers that run as processes of their own.
	processes []*process
	dir       string
	binary    string

	mu     sync.Mutex
	record *os.File
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// note writes a line to the record.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, err := fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.begun).Seconds(), fmt.Sprintf(format, args...))
	check(err)
}

var cases = map[string]func(context.Context, *bench) (broken bool){}

func main() { os.Exit(play()) }

func play() (code int) {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file that gets what was sent, answered and run")
	binary := flag.String("daemon", "target/waxwingplankd", "path of the daemon")
	keep := flag.Bool("keep", false, "keep the logs of the hosts")
	flag.Parse()
	if *workerID != "" {
		fmt.Fprintln(os.Stderr, serveWorker())
		return 2
	}
	f := cases[*name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	check(err)
	if !*keep {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	b := &bench{trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), store: standin.NewStore(), dir: dir}
	b.binary, err = filepath.Abs(*binary)
	check(err)
	b.record, err = os.Create(*recordPath)
	check(err)
	defer func() { _ = b.record.Close() }()
	server := httptest.NewServer(b.store)
	defer server.CloseClientConnections()
	b.address = strings.TrimPrefix(server.URL, "http://")
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintln(os.Stderr, "case could not run:", r)
			b.note("case could not run: %v", r)
			code = 2
		}
		for _, h := range b.hosts {
			h.kill()
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		for _, h := range b.hosts {
			h.kill()
		}
		for _, p := range b.processes {
			_ = p.cmd.Process.Kill() // it may have ended
		}
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	if f(ctx, b) {
		b.note("verdict: the rule was broken")
		return 1
	}
	b.note("verdict: the rule held")
	return 0
}
