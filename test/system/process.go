package system

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// startTimeout bounds the time until a process is ready.
const startTimeout = 10 * time.Second

// Process is one process of the system.
type Process struct {
	name    string
	address string
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
}

// Name returns the name of the process, which is also the base name of its log file.
func (p *Process) Name() string { return p.name }

// Address returns the address that the process serves.
func (p *Process) Address() string { return p.address }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process with SIGKILL, as if its machine had failed, and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze suspends the process with SIGSTOP. Its connections stay open.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw continues a frozen process with SIGCONT.
func (p *Process) Thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.cmd.Process.Signal(signal) }

// Stop sends SIGTERM to the process and waits for its end.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return eris.Wrapf(err, "stop %s", p.name)
	}
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "stop %s", p.name)
	}
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// spawn starts a program. It returns a reader of the standard output; standard error goes to a log file in dir.
func spawn(dir, name, program string, args ...string) (*Process, *bufio.Reader, error) {
	cmd := exec.Command(program, args...) //nolint:noctx // The process outlives the call that starts it.
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, nil, eris.Wrap(err, "system.spawn")
	}
	cmd.Stderr = log
	read, write, err := os.Pipe()
	if err != nil {
		return nil, nil, eris.Wrap(err, "system.spawn")
	}
	cmd.Stdout = write
	// The process is killed when its parent ends, so that a failed test leaves no processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, nil, eris.Wrapf(err, "start %s", name)
	}
	_ = write.Close()
	p := &Process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, bufio.NewReader(read), nil
}

// spawnStandin starts a stand-in and waits for the line with its address.
func spawnStandin(dir, bin, name string, args ...string) (*Process, error) {
	p, out, err := spawn(dir, name, filepath.Join(bin, "standin"), args...)
	if err != nil {
		return nil, err
	}
	line, err := readLine(out)
	if err != nil {
		p.Kill()
		return nil, eris.Wrapf(err, "start %s", name)
	}
	var started struct{ Address string }
	if err := json.Unmarshal(line, &started); err != nil {
		p.Kill()
		return nil, eris.Wrapf(err, "start %s: %q", name, line)
	}
	p.address = started.Address
	return p, nil
}

func readLine(out *bufio.Reader) ([]byte, error) {
	type result struct {
		line []byte
		err  error
	}
	got := make(chan result, 1)
	go func() {
		line, err := out.ReadBytes('\n')
		got <- result{line: line, err: err}
	}()
	select {
	case r := <-got:
		return r.line, r.err
	case <-time.After(startTimeout):
		return nil, fmt.Errorf("no output within %s", startTimeout)
	}
}

// lastNetwork counts the systems started by this process.
var lastNetwork atomic.Uint32

// network returns the first three bytes, in dotted form, of loopback addresses for one system. It differs from the
// networks of other systems. On 127.0.0.1, outgoing connections of other tests could take a port between its choice and
// its use.
func network() (string, error) {
	var random [2]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", eris.Wrap(err, "system.network")
	}
	return fmt.Sprintf("127.%d.%d", 1+random[0]%254, (uint32(random[1])+lastNetwork.Add(1))%256), nil
}

// freeAddresses returns n addresses of the given IP address with free ports. All listeners stay open until the last
// port is chosen, since the operating system may choose a released port again.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", ip+":0")
		if err != nil {
			return nil, eris.Wrap(err, "system.freeAddresses")
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}
