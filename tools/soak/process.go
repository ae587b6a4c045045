package soak

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// processSample is what the system says about the threads of a process. Times and counts are
// totals since their start.
type processSample struct {
	at  time.Time
	pid int
	// running is the time on a processor, and waiting the time for which threads that could
	// run waited for one.
	running, waiting time.Duration
	// diskFaults counts the page faults that had to wait for the disk.
	diskFaults int
	// states has the state of each thread as a letter, as in /proc/PID/stat.
	states string
}

// Fields of /proc/PID/stat behind the name, which ends with the last ')'.
const (
	stateField      = 0
	diskFaultsField = 9
)

// sampleProcess reads the state of a process.
func sampleProcess(pid int) (processSample, error) {
	sample := processSample{at: time.Now(), pid: pid}
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil {
		return sample, err
	}
	for _, thread := range threads {
		if err := sample.add(thread); err != nil && !os.IsNotExist(err) { // threads may end
			return sample, err
		}
	}
	if sample.states == "" {
		return sample, errors.Newf("process %d has no threads", pid)
	}
	return sample, nil
}

// add adds the thread whose folder is given.
func (s *processSample) add(thread string) error {
	stat, err := os.ReadFile(filepath.Join(thread, "stat"))
	if err != nil {
		return err
	}
	schedule, err := os.ReadFile(filepath.Join(thread, "schedstat"))
	if err != nil {
		return err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= diskFaultsField {
		return errors.Newf("%s has %d fields", thread, len(fields))
	}
	faults, err := strconv.Atoi(fields[diskFaultsField])
	if err != nil {
		return err
	}
	var running, waiting time.Duration
	if _, err := fmt.Sscan(string(schedule), &running, &waiting); err != nil {
		return errors.Wrapf(err, "read the times of %s", thread)
	}
	s.states += fields[stateField]
	s.running += running
	s.waiting += waiting
	s.diskFaults += faults
	return nil
}

// samples are the samples of a host's process of the last checkMemory, oldest first. They are
// safe for concurrent use.
type samples struct {
	mu    sync.Mutex
	taken []processSample
}

func (s *samples) add(sample processSample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken = append(s.taken, sample)
	for sample.at.Sub(s.taken[0].at) > checkMemory {
		s.taken = s.taken[1:]
	}
}

// describe says what the newest process did since the last sample before from, and which
// states its threads had.
func (s *samples) describe(from time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.taken) == 0 {
		return "no samples of its process"
	}
	last := s.taken[len(s.taken)-1]
	first := last
	var states []string
	for i := len(s.taken) - 1; i >= 0 && s.taken[i].pid == last.pid; i-- {
		first = s.taken[i]
		states = append(states, first.states)
		if !first.at.After(from) {
			break
		}
	}
	return fmt.Sprintf("in %v its process ran for %v, waited %v for a processor and %d times for the disk; threads, newest first: %s",
		rounded(last.at.Sub(first.at)), rounded(last.running-first.running), rounded(last.waiting-first.waiting),
		last.diskFaults-first.diskFaults, strings.Join(states, " "))
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
