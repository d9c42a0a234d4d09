package system

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Ports returns the local TCP ports of the process.
func (p *Process) Ports() (map[string]bool, error) {
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.PID()))
	if err != nil {
		return nil, eris.Wrap(err, "system.Ports")
	}
	sockets := map[string]bool{}
	for _, l := range links {
		// Ignore errors, since a descriptor may have been closed in the meantime.
		if to, err := os.Readlink(l); err == nil && strings.HasPrefix(to, "socket:[") {
			sockets[strings.TrimSuffix(strings.TrimPrefix(to, "socket:["), "]")] = true
		}
	}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return nil, eris.Wrap(err, "system.Ports")
	}
	defer func() { _ = file.Close() }()
	ports := map[string]bool{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		// The fields start with number, local address, remote address and state. The tenth is the inode.
		const inode = 9
		fields := strings.Fields(lines.Text())
		if len(fields) <= inode || !sockets[fields[inode]] {
			continue
		}
		_, hex, _ := strings.Cut(fields[1], ":")
		if n, err := strconv.ParseUint(hex, 16, 16); err == nil {
			ports[strconv.FormatUint(n, 10)] = true
		}
	}
	return ports, nil
}

// MemoryKB returns the resident memory of the process in KB: the total, and the anonymous part, which does not count
// the pages of the program file.
func (p *Process) MemoryKB() (resident, anonymous int, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, 0, eris.Wrap(err, "system.MemoryKB")
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		n, convErr := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			resident, err = n, convErr
		case "RssAnon:":
			anonymous, err = n, convErr
		}
	}
	return resident, anonymous, err
}
