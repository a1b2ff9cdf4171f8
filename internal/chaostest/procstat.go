package chaostest

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// cpuTime returns the CPU time of a process: fields 14 and 15 of /proc/PID/stat, see proc(5). It is 0 if they can't be read.
func cpuTime(pid int) time.Duration {
	const user, system = 14 - 3, 15 - 3 // counted from the first field after the name
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) <= system {
		return 0
	}
	ticks := int64(0)
	for _, field := range []string{fields[user], fields[system]} {
		n, _ := strconv.ParseInt(field, 10, 64)
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// residentKB returns the resident memory of a process in kilobytes, or 0 if it can't be read.
func residentKB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(fields[0], 10, 64)
	return n
}
