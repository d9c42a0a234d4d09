package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
)

// The exit codes. Scripts depend on them.
const (
	exitOK             = 0
	exitFailed         = 1
	exitBadInput       = 2
	exitConflict       = 3
	exitUnavailable    = 4
	exitOutcomeUnknown = 5
	exitTimeout        = 6
)

const exitCodes = `Exit codes:
  0  done
  1  failed
  2  bad input or settings
  3  conflict with another operator's change
  4  no host answers, or the object API is unavailable; nothing was changed
  5  outcome unknown: the change may have taken effect
  6  timed out while waiting
`

// envHost is the environment variable that lists the hosts to use if --host is not given.
const envHost = "WAXWINGPLANK_HOST"

// Config configures one run of the client.
type Config struct {
	// Args are the arguments without the program name.
	Args   []string
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Env looks up an environment variable.
	Env func(string) string
	// CallTimeout is the timeout of one call to one host; zero means 3 s.
	CallTimeout time.Duration
	// PollInterval is the delay after a failed poll of a drain or a watch; zero means 250 ms.
	PollInterval time.Duration
}

// The limits for fields that are zero in Config.
const (
	// defaultCallTimeout is far above the response time of a live host, which is milliseconds.
	defaultCallTimeout = 3 * time.Second
	// defaultPollInterval is short enough that a person notices no delay in the progress of a drain.
	defaultPollInterval = 250 * time.Millisecond
)

// failure is an error with an exit code.
type failure struct {
	code    int
	message string
}

func (f *failure) Error() string { return f.message }

func fail(code int, format string, args ...any) error {
	return &failure{code: code, message: fmt.Sprintf(format, args...)}
}

// runner is a command of the command line.
type runner interface {
	run(ctx context.Context, s *session) error
}

// baseCommand is embedded to implement flags.Commander. Its Execute method does nothing, because go-flags calls the
// parser's CommandHandler instead.
type baseCommand struct{}

// Execute implements flags.Commander.
func (baseCommand) Execute([]string) error { return nil }

type globals struct {
	Hosts     []string `long:"host" value-name:"ADDRESS" description:"operator address of a host; give it again for hosts to try when one does not answer (default: $WAXWINGPLANK_HOST, separated by commas)"`
	TokenFile string   `long:"token-file" value-name:"FILE" description:"file with the bearer token"`
	CAFile    string   `long:"ca-file" value-name:"FILE" description:"authority that signs the hosts' certificates; the client then uses TLS"`
	JSON      bool     `long:"json" description:"print JSON in place of columns"`
}

// session holds the configuration and the global options for one run of a command.
type session struct {
	cfg  Config
	opts globals
}

// Run runs one command and returns its exit code.
func Run(ctx context.Context, cfg Config) int {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.PollInterval == 0 {
		cfg.PollInterval = defaultPollInterval
	}
	s := &session{cfg: cfg}
	p, err := s.parser(ctx)
	if err == nil {
		_, err = p.ParseArgs(cfg.Args)
	}
	return s.finish(err)
}

func (s *session) parser(ctx context.Context) (*flags.Parser, error) {
	p := flags.NewNamedParser("waxwingplank", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Operates a deployment of waxwingplank.\n\n" + exitCodes
	if _, err := p.AddGroup("Global options", "", &s.opts); err != nil {
		return nil, err
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.make()); err != nil {
			return nil, err
		}
	}
	p.CommandHandler = func(cmd flags.Commander, args []string) error {
		r, ok := cmd.(runner)
		if !ok {
			return fail(exitBadInput, "a command is missing; see waxwingplank --help")
		}
		if len(args) > 0 {
			return fail(exitBadInput, "unexpected argument %q", args[0])
		}
		return r.run(ctx, s)
	}
	p.CompletionHandler = func(items []flags.Completion) {
		for _, i := range items {
			_, _ = fmt.Fprintln(s.cfg.Stdout, i.Item)
		}
	}
	return p, nil
}

type commandEntry struct {
	name, short, long string
	make              func() any
}

var commands = []commandEntry{
	{"check", "Check settings and service documents", "Checks files without a host. Each error is one line with file, line and field. The exit code is 2 if a file is invalid.", func() any { return &checkCommand{} }},
	{"apply", "Put a service document in force", "Checks the document, shows what it changes, writes it, and waits until it is in force on all hosts that can be reached. If the file has a generation, the change is based on it; otherwise it is based on the generation in force.", func() any { return &applyCommand{} }},
	{"get", "Print the document in force", "Prints the document in force with its generation, ready to edit and apply.", func() any { return &getCommand{} }},
	{"status", "Show hosts, endpoints, services and leases", "Shows the state of the deployment as seen by one host.", func() any { return &statusCommand{} }},
	{"watch", "Watch a change take effect", "Shows the progress until the newest generation is in force on all hosts that can be reached.", func() any { return &watchCommand{} }},
	{"drain", "Drain one host", "Starts the drain of the host at the operator address, and shows the remaining work until none is left.", func() any { return &drainCommand{} }},
	{"explain", "Show the decisions about a request", "Asks every host given by --host and every host in the status for the decisions about a request. With --log, reads the logs of entry hosts instead: it prints the lines about the request and about its endpoints and host at that time, and how it ended and why.", func() any { return &explainCommand{} }},
	{"addresses", "Show the addresses for callers of a service", "Shows the hosts that callers should use, best first.", func() any { return &addressesCommand{} }},
	{"completion", "Print shell completion", "Prints the completion script for bash or zsh.", func() any { return &completionCommand{} }},
	{"version", "Print the version", "Prints the version of this program.", func() any { return &versionCommand{} }},
}

// finish prints the error, if any, and returns the exit code.
func (s *session) finish(err error) int {
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(s.cfg.Stdout, usage.Message)
			return exitOK
		}
		err = fail(exitBadInput, "%s", usage.Message)
	}
	code := exitFailed
	var f *failure
	if errors.As(err, &f) {
		code = f.code
	}
	if s.opts.JSON {
		_ = json.NewEncoder(s.cfg.Stderr).Encode(map[string]any{"error": map[string]any{"exit_code": code, "message": err.Error()}})
		return code
	}
	_, _ = fmt.Fprintln(s.cfg.Stderr, "waxwingplank: "+err.Error())
	return code
}

// note prints a progress message to standard error, so that standard output has only results.
func (s *session) note(format string, args ...any) {
	_, _ = fmt.Fprintf(s.cfg.Stderr, format+"\n", args...)
}

func (s *session) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.cfg.Stdout, format+"\n", args...)
}

func (s *session) json(v any) error {
	e := json.NewEncoder(s.cfg.Stdout)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

// columns prints a table with a heading. Empty cells are printed as a dash.
func (s *session) columns(heading string, rows [][]string) {
	w := tabwriter.NewWriter(s.cfg.Stdout, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(heading, " ", "\t"))
	for _, r := range rows {
		for i, cell := range r {
			if cell == "" {
				r[i] = "-"
			}
		}
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, fail(exitBadInput, "%v", err)
	}
	return data, nil
}
