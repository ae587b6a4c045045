package memory

import (
	"math"
	"runtime/debug"
	"syscall"
)

const (
	// DefaultMB is the memory assumed for a host whose settings state none.
	DefaultMB = 1024
	// maxDescriptors bounds what the system allows if the settings state none.
	maxDescriptors = 65536
	// baseBytes is left for the program, its tables and its stacks.
	baseBytes = 32 << 20
	// residentFactor is the ratio of resident to live bytes that is planned for: Go collects garbage when the heap has
	// grown to twice what is live.
	residentFactor = 2
	// softLimitShare is the part of the memory at which Go collects garbage more often. The rest is for what Go does not
	// count, such as the program's own pages.
	softLimitShare = 0.8
	// fixedDescriptors is about how many of the uncounted descriptors the log, the listeners and the store take; partners get
	// the rest.
	fixedDescriptors = 48
	// otherDescriptors is the part of the descriptors, as a divisor, for what is not counted: partners, the store, the
	// log and the listeners.
	otherDescriptors = 4
	// targetDescriptors is the part of the counted descriptors, as a divisor, that is left for targets.
	targetDescriptors = 4
)

// Limits are the limits of an account.
type Limits struct {
	// Bytes is the limit of what is held for callers.
	Bytes int64
	// Descriptors is the limit of all descriptors that are counted, CallerDescriptors of those of callers; the rest is left
	// for targets.
	Descriptors, CallerDescriptors int64
	// Partners is how many connections of other hosts are accepted. They are not counted.
	Partners int64
	// Memory is the memory of the host, in bytes.
	Memory int64
}

// LimitsOf returns the limits of a host with so many megabytes of memory and so many descriptors. 0 means unknown.
func LimitsOf(megabytes, descriptors float64) Limits {
	if megabytes <= 0 {
		megabytes = DefaultMB
	}
	if descriptors <= 0 {
		descriptors = systemDescriptors()
	}
	memory := int64(math.Min(megabytes, 1<<30) * (1 << 20))
	counted := int64(descriptors) - int64(descriptors)/otherDescriptors
	return Limits{
		Memory: memory, Bytes: (memory - min(baseBytes, memory/2)) / residentFactor,
		Partners:    max(16, int64(descriptors)-counted-fixedDescriptors),
		Descriptors: counted, CallerDescriptors: max(1, counted-counted/targetDescriptors),
	}
}

// systemDescriptors returns how many descriptors the system allows this process.
func systemDescriptors() float64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors
	}
	return math.Min(float64(limit.Cur), maxDescriptors)
}

// Apply makes Go collect garbage more often as the process approaches the memory of the host.
func (l Limits) Apply() {
	debug.SetMemoryLimit(max(baseBytes, int64(float64(l.Memory)*softLimitShare)))
}
