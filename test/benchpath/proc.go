package benchpath

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// tick is the unit of processor times in /proc. USER_HZ is 100 on every Linux platform that Go supports.
const tick = 10 * time.Millisecond

// processorTime returns the user and system time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "benchpath.processorTime")
	}
	// The program name may contain spaces, so fields are counted from the closing bracket after it.
	_, afterName, found := strings.Cut(string(data), ") ")
	fields := strings.Fields(afterName)
	const utime, stime = 11, 12
	if !found || len(fields) <= stime {
		return 0, eris.Errorf("benchpath.processorTime: unexpected content %q", data)
	}
	total := time.Duration(0)
	for _, i := range []int{utime, stime} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "benchpath.processorTime")
		}
		total += time.Duration(n) * tick
	}
	return total, nil
}

// memory is the resident and anonymous memory of a process in bytes, as reported by /proc.
type memory struct{ resident, anonymous float64 }

func memoryOf(pid int) (memory, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return memory{}, eris.Wrap(err, "benchpath.memoryOf")
	}
	var m memory
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		n, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			m.resident = n * 1024
		case "RssAnon:":
			m.anonymous = n * 1024
		}
	}
	if m.resident == 0 {
		return m, eris.Errorf("benchpath.memoryOf: process %d has no VmRSS", pid)
	}
	return m, nil
}
