package hostproc

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// PeakMemory returns the largest resident memory of a host's process so far, in bytes.
func (h *Host) PeakMemory() (int64, error) {
	file, err := os.Open(h.proc("status"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("no VmHWM of %s: %w", h.Name, lines.Err())
}

// Descriptors returns the number of open descriptors of a host's process.
func (h *Host) Descriptors() (int, error) {
	entries, err := os.ReadDir(h.proc("fd"))
	return len(entries), err
}

// proc returns the path of a file of the process in /proc.
func (h *Host) proc(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("/proc/%d/%s", h.process.Process.Pid, name)
}
