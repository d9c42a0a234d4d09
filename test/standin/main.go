package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"waxwingplank/internal/standin/engine"
	"waxwingplank/internal/standin/objectapi"
	"waxwingplank/internal/standin/plain"
)

type server interface {
	Start(address string) error
	Address() string
	Close() error
}

type listenOptions struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"host:port to serve on"`
}

type platformCommand struct {
	listenOptions
	ReadsPerSecond       float64       `long:"reads-per-second" description:"read limit; 0 is none"`
	WritesPerSecond      float64       `long:"writes-per-second" description:"write limit; 0 is none"`
	HostLag              time.Duration `long:"host-lag" description:"age of the host list"`
	WeightBytesPerSecond int64         `long:"weight-bytes-per-second" description:"weight store rate"`
	WeightLoadsAtOnce    int           `long:"weight-loads-at-once" description:"weight store loads at once"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	return serve(c.Listen, objectapi.New(objectapi.Config{
		ReadsPerSecond: c.ReadsPerSecond, WritesPerSecond: c.WritesPerSecond, HostLag: c.HostLag,
		WeightBytesPerSecond: c.WeightBytesPerSecond, WeightLoadsAtOnce: c.WeightLoadsAtOnce,
	}))
}

type engineCommand struct {
	listenOptions
	Endpoint      string        `long:"endpoint" description:"name; the address by default"`
	Accelerator   string        `long:"accelerator" description:"kind of accelerator"`
	FailureDomain string        `long:"failure-domain" description:"failure domain"`
	MemoryBytes   int64         `long:"memory-bytes" description:"memory"`
	ChecksFencing bool          `long:"checks-fencing" description:"refuse orders with an old fencing token"`
	Holdings      []string      `long:"holding" description:"model/version/from/to; may be repeated"`
	Slots         int           `long:"slots" description:"streams at once"`
	QueueLimit    int           `long:"queue" description:"streams that may wait"`
	Step          time.Duration `long:"step" description:"time for one token"`
	Prefill       time.Duration `long:"prefill" description:"time for 1,000 bytes of prompt"`
	Heartbeat     time.Duration `long:"heartbeat" description:"period of heartbeats"`
	StageTimeout  time.Duration `long:"stage-timeout" description:"wait for the next stage"`
	KeepBroken    time.Duration `long:"keep-broken" description:"time to keep a broken stream"`
	LoadLag       time.Duration `long:"load-lag" description:"age of the reported load"`
	EventDelay    time.Duration `long:"event-delay" description:"delay of cache events"`
	EventGap      int           `long:"event-gap" description:"lose every n-th cache event"`
	OrderTime     time.Duration `long:"order-time" description:"time for one order"`
	CrashMarker   string        `long:"crash-marker" description:"text in a prompt that crashes the engine"`
	CrashDowntime time.Duration `long:"crash-downtime" description:"time until a crashed engine is back"`
	NoExecutions  bool          `long:"no-executions" description:"keep no record of executions"`
	Record        string        `long:"record" description:"file that takes a JSON line for each execution"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	cfg := engine.Config{
		Endpoint: c.Endpoint, Accelerator: c.Accelerator, FailureDomain: c.FailureDomain, MemoryBytes: c.MemoryBytes,
		ChecksFencing: c.ChecksFencing, Slots: c.Slots, QueueLimit: c.QueueLimit, Step: c.Step, Prefill: c.Prefill,
		Heartbeat: c.Heartbeat, StageTimeout: c.StageTimeout, SessionTTL: c.KeepBroken, LoadReportDelay: c.LoadLag,
		EventDelay: c.EventDelay, EventLossInterval: c.EventGap, OrderDuration: c.OrderTime, CrashMarker: c.CrashMarker,
		CrashDowntime: c.CrashDowntime, DiscardExecutions: c.NoExecutions,
	}
	for _, text := range c.Holdings {
		h, err := parseHolding(text)
		if err != nil {
			return err
		}
		cfg.Holdings = append(cfg.Holdings, h)
	}
	file, err := recordFile(c.Record)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	cfg.Record = file
	return serve(c.Listen, engine.New(cfg))
}

func parseHolding(text string) (engine.Holding, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 4 {
		return engine.Holding{}, fmt.Errorf("holding %q is not model/version/from/to", text)
	}
	h := engine.Holding{Model: parts[0], Version: parts[1]}
	for i, number := range parts[2:] {
		n, err := strconv.Atoi(number)
		if err != nil {
			return engine.Holding{}, fmt.Errorf("holding %q: %w", text, err)
		}
		h.Layers[i] = n
	}
	return h, nil
}

type plainCommand struct {
	listenOptions
	Work   time.Duration `long:"work" description:"time for one execution"`
	Record string        `long:"record" description:"file that takes a JSON line for each execution"`
}

// Execute implements flags.Commander.
func (c *plainCommand) Execute([]string) error {
	file, err := recordFile(c.Record)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return serve(c.Listen, plain.New(plain.Config{Work: c.Work, Record: file}))
}

// recordFile opens the file for the record of executions. Without a name it opens the null device.
func recordFile(name string) (*os.File, error) {
	if name == "" {
		name = os.DevNull
	}
	return os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

func serve(address string, s server) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	if err := s.Start(address); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(map[string]string{"address": s.Address()}); err != nil {
		return err
	}
	<-stop
	return s.Close()
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	commands := []struct {
		name, short string
		data        any
	}{
		{"platform", "object API, host list and weight store", &platformCommand{}},
		{"engine", "model engine", &engineCommand{}},
		{"plain", "plain service", &plainCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}
