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
	// starved are the threads that could run, by their numbers.
	starved map[string]starvedThread
}

// starvedThread is a thread that could run at a sample.
type starvedThread struct {
	// turns is the number of times that the thread has got a processor.
	turns int
	// since is the time of the first sample since which it could run and got none.
	since time.Time
}

// Fields of /proc/PID/stat behind the name, which ends with the last ')'.
const (
	stateField      = 0
	diskFaultsField = 9
)

// sampleProcess reads the state of a process.
func sampleProcess(pid int) (processSample, error) {
	sample := processSample{at: time.Now(), pid: pid, starved: make(map[string]starvedThread)}
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
	var turns int
	if _, err := fmt.Sscan(string(schedule), &running, &waiting, &turns); err != nil {
		return errors.Wrapf(err, "read the times of %s", thread)
	}
	if fields[stateField] == "R" {
		s.starved[filepath.Base(thread)] = starvedThread{turns: turns, since: s.at}
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
	if n := len(s.taken); n > 0 && s.taken[n-1].pid == sample.pid {
		sample.continueStarved(s.taken[n-1])
	}
	s.taken = append(s.taken, sample)
	for sample.at.Sub(s.taken[0].at) > checkMemory {
		s.taken = s.taken[1:]
	}
}

// continueStarved sets the times since which threads got no processor, by the sample before.
func (s *processSample) continueStarved(before processSample) {
	for thread, now := range s.starved {
		if was, ok := before.starved[thread]; ok && was.turns == now.turns {
			now.since = was.since
			s.starved[thread] = now
		}
	}
}

// longestStarved returns the longest time for which a thread got no processor though it could run,
// as far as samples show it.
func (s *processSample) longestStarved() time.Duration {
	var longest time.Duration
	for _, thread := range s.starved {
		longest = max(longest, s.at.Sub(thread.since))
	}
	return longest
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
	var starved time.Duration
	for i := len(s.taken) - 1; i >= 0 && s.taken[i].pid == last.pid; i-- {
		first = s.taken[i]
		states = append(states, first.states)
		starved = max(starved, first.longestStarved())
		if !first.at.After(from) {
			break
		}
	}
	return fmt.Sprintf("in %v its process ran for %v, waited %v for a processor and %d times for the disk, a thread that could run got no processor for up to %v; threads, newest first: %s",
		rounded(last.at.Sub(first.at)), rounded(last.running-first.running), rounded(last.waiting-first.waiting),
		last.diskFaults-first.diskFaults, rounded(starved), strings.Join(states, " "))
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
