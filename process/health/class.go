package health

import (
	"sync"
	"time"
)

const (
	// minClassSamples is how many run times a class needs before it is compared.
	minClassSamples = 30
	// classSampleWeight is the weight of a new sample in the moving average of a class.
	classSampleWeight = 0.05
	// contradictionRatio is the ratio of measured to reference run time (or its inverse)
	// beyond which a class contradicts its declaration.
	contradictionRatio = 5
)

// Class is a declared request class that observed run times are compared with.
type Class struct {
	Service string
	Name    string
	Long    bool
	// ExpectedMS is the declared usual run time in milliseconds; 0 means none.
	ExpectedMS int
}

// Finding describes a class whose run times contradict its declaration.
type Finding struct {
	RunTime   time.Duration
	Reference time.Duration
	// Fault is "short runs long", "long runs short" or "not as expected".
	Fault string
}

// Classes compares run times with the declared classes. It is safe for concurrent use.
type Classes struct {
	mu     sync.Mutex
	states map[Class]*classState
}

// classState is the average run time of a class, and whether its current contradiction was
// reported.
type classState struct {
	runTime  movingAverage
	reported bool
}

// NewClasses returns a Classes without run times.
func NewClasses() *Classes { return &Classes{states: make(map[Class]*classState)} }

// Observe adds a run time. It returns a finding at the first contradiction, and again only
// after the class has run as declared in between.
func (c *Classes) Observe(class Class, run time.Duration) (Finding, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.states[class]
	if r == nil {
		r = &classState{}
		c.states[class] = r
	}
	r.runTime.add(run.Seconds(), classSampleWeight)
	if r.runTime.samples < minClassSamples {
		return Finding{}, false
	}
	finding, found := c.contradiction(class, r)
	if !found || r.reported {
		r.reported = found
		return Finding{}, false
	}
	r.reported = true
	return finding, true
}

// contradiction compares a class with its expected run time, or else with the fastest
// short class of the service.
func (c *Classes) contradiction(class Class, r *classState) (Finding, bool) {
	measured := r.runTime.value
	if class.ExpectedMS > 0 {
		expected := float64(class.ExpectedMS) / 1000
		return newFinding(measured, expected, "not as expected"), measured > contradictionRatio*expected || measured < expected/contradictionRatio
	}
	fastest, known := c.fastestShortClass(class)
	if !known {
		return Finding{}, false
	}
	if class.Long {
		return newFinding(measured, fastest, "long runs short"), measured < 2*fastest
	}
	return newFinding(measured, fastest, "short runs long"), measured > contradictionRatio*fastest
}

// fastestShortClass returns the run time of the fastest other short class of the service.
func (c *Classes) fastestShortClass(class Class) (float64, bool) {
	best, known := 0.0, false
	for other, r := range c.states {
		if other.Service != class.Service || other.Long || other.Name == class.Name || r.runTime.samples < minClassSamples {
			continue
		}
		if !known || r.runTime.value < best {
			best, known = r.runTime.value, true
		}
	}
	return best, known
}

func newFinding(measured, reference float64, fault string) Finding {
	return Finding{RunTime: seconds(measured), Reference: seconds(reference), Fault: fault}
}
