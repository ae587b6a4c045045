package health

import (
	"sync"
	"time"
)

const (
	// classSamples is how many run times are needed before a class is judged.
	classSamples = 30
	// classGain is the share of a new sample in the moving average of a class.
	classGain = 0.05
	// classRatio is the factor from which a run time contradicts a declaration.
	classRatio = 5
)

// Class is the declaration that observed run times are compared with.
type Class struct {
	Service string
	Name    string
	Long    bool
	// ExpectedMS is the declared usual run time in milliseconds; 0 means none.
	ExpectedMS int
}

// Finding says how the run times of a class contradict its declaration.
type Finding struct {
	RunTime  time.Duration
	Compared time.Duration
	// Fault is "short runs long", "long runs short" or "not as expected".
	Fault string
}

// Classes compares run times with declared classes. It is safe for concurrent use.
type Classes struct {
	mu    sync.Mutex
	known map[Class]*classRecord
}

type classRecord struct {
	run      average
	reported bool
}

// NewClasses returns a Classes without run times.
func NewClasses() *Classes { return &Classes{known: make(map[Class]*classRecord)} }

// Observe takes in one run time. It returns a finding at the first contradiction
// and again only after the class has run as declared.
func (c *Classes) Observe(class Class, run time.Duration) (Finding, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.known[class]
	if r == nil {
		r = &classRecord{}
		c.known[class] = r
	}
	r.run.add(run.Seconds(), classGain)
	if r.run.samples < classSamples {
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

func (c *Classes) contradiction(class Class, r *classRecord) (Finding, bool) {
	own := r.run.value
	if class.ExpectedMS > 0 {
		expected := float64(class.ExpectedMS) / 1000
		return finding(own, expected, "not as expected"), own > classRatio*expected || own < expected/classRatio
	}
	other, known := c.shortRun(class)
	if !known {
		return Finding{}, false
	}
	if class.Long {
		return finding(own, other, "long runs short"), own < 2*other
	}
	return finding(own, other, "short runs long"), own > classRatio*other
}

// shortRun returns the run time of the fastest other short class of the service.
func (c *Classes) shortRun(class Class) (float64, bool) {
	best, known := 0.0, false
	for other, r := range c.known {
		if other.Service != class.Service || other.Long || other.Name == class.Name || r.run.samples < classSamples {
			continue
		}
		if !known || r.run.value < best {
			best, known = r.run.value, true
		}
	}
	return best, known
}

func finding(own, other float64, fault string) Finding {
	return Finding{RunTime: seconds(own), Compared: seconds(other), Fault: fault}
}
