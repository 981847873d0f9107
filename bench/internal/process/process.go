// Package process reads the CPU time and memory that a running process uses, from /proc.
package process

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ticksPerSecond is the number of clock ticks a second in which /proc gives CPU times. It
// is fixed for user space.
const ticksPerSecond = 100

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the CPU time in user and kernel mode since the start of the process.
	CPU time.Duration
	// ResidentBytes is the size of the resident set now.
	ResidentBytes int64
}

// Read returns the usage of the process with the given PID.
func Read(pid int) (Usage, error) {
	cpu, err := readCPU(pid)
	if err != nil {
		return Usage{}, err
	}
	resident, err := readResident(pid)
	return Usage{CPU: cpu, ResidentBytes: resident}, err
}

func readCPU(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read CPU time")
	}
	// The second field, the name of the program, is in parentheses and may contain spaces.
	// Fields are counted after it.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, errors.Errorf("/proc/%d/stat has only %d fields after the program name", pid, len(fields))
	}
	var ticks int64
	for _, field := range fields[userField : systemField+1] {
		count, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, errors.Wrapf(err, "parse /proc/%d/stat", pid)
		}
		ticks += count
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

func readResident(pid int) (int64, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read resident memory")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmRSS:"); ok {
			kibibytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kibibytes << 10, errors.Wrapf(err, "parse /proc/%d/status", pid)
		}
	}
	return 0, errors.Errorf("/proc/%d/status has no line VmRSS", pid)
}
