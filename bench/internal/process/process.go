// Package process reads what a running process uses.
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

// ticksPerSecond is the unit of processor times in /proc, fixed for user space.
const ticksPerSecond = 100

// Usage is what a process has used so far.
type Usage struct {
	// CPU is the processor time in user and kernel mode.
	CPU time.Duration
	// Resident is the memory in use, in bytes.
	ResidentBytes int64
}

// Read returns the usage of a process.
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
		return 0, errors.Wrap(err, "read processor time")
	}
	// The name of the program stands in parentheses and may contain spaces.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, errors.Errorf("/proc/%d/stat has %d fields after the name", pid, len(fields))
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
		return 0, errors.Wrap(err, "read memory")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmRSS:"); ok {
			kibibytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kibibytes << 10, errors.Wrapf(err, "parse /proc/%d/status", pid)
		}
	}
	return 0, errors.Errorf("/proc/%d/status has no VmRSS", pid)
}
