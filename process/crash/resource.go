package crash

import (
	"slices"
	"time"
)

// variantBits is how many of the lowest bits of a fingerprint identify the variant.
const variantBits = 32

// Fingerprint returns the fingerprint of a request by two hashes: of the resource that it asks for, with its body,
// and of the other header fields that a target sees.
func Fingerprint(resource, variant uint64) uint64 {
	return resource>>variantBits<<variantBits | variant>>variantBits
}

// resourceOf returns what the fingerprint says of the resource.
func resourceOf(fingerprint uint64) uint32 { return uint32(fingerprint >> variantBits) }

// resource is a resource with counted requests.
type resource struct {
	// variants are the fingerprints of its requests.
	variants []uint64
	// total is the number of crashes of its variants below the limit.
	total   int
	counted derivation
	// trying is the variant that is on trial since tryingSince; 0 if there is none.
	trying      uint64
	tryingSince time.Time
}

// derivedAge is how long what was derived from counts may be used, since counts expire without a change.
const derivedAge = time.Minute

// derivation is the state of the counts from which something was derived.
type derivation struct {
	changes uint64
	at      time.Time
}

// derive returns the present state and reports whether it is that of an earlier derivation.
func (c *Counts) derive(earlier derivation, now time.Time) (derivation, bool) {
	if !earlier.at.IsZero() && earlier.changes == c.changes && now.Sub(earlier.at) < derivedAge {
		return earlier, true
	}
	return derivation{changes: c.changes, at: now}, false
}

func (c *Counts) addVariant(fingerprint uint64) {
	key := resourceOf(fingerprint)
	res := c.resources[key]
	if res == nil {
		res = new(resource)
		c.resources[key] = res
	}
	res.variants = append(res.variants, fingerprint)
	c.changes++
}

func (c *Counts) removeVariant(fingerprint uint64) {
	key := resourceOf(fingerprint)
	res := c.resources[key]
	if res == nil {
		return
	}
	res.variants = slices.DeleteFunc(res.variants, func(f uint64) bool { return f == fingerprint })
	if len(res.variants) == 0 {
		delete(c.resources, key)
	}
}

// suspected reports whether the variants of a resource that are below the limit have crashed as many targets together
// as bring one to the limit.
func (c *Counts) suspected(res *resource, now time.Time) bool {
	return res != nil && c.variantCrashes(res, now) >= MaxCrashes
}

// variantCrashes returns how many crashes the variants of a resource that are below the limit have together. A crash
// with several variants in flight counts once, and not at all if a request at the limit explains it: the others
// were only beside that one.
func (c *Counts) variantCrashes(res *resource, now time.Time) int {
	state, same := c.derive(res.counted, now)
	if same {
		return res.total
	}
	explained := c.explainedCrashes(now)
	crashes := make(map[string]int)
	for _, fingerprint := range res.variants {
		r := c.requests[fingerprint]
		if r.expired(now) || r.total() >= MaxCrashes {
			continue
		}
		for target, t := range r.byTarget {
			if n := t.crashes - t.cleared; n > 0 && !explained[target] {
				crashes[target] = max(crashes[target], n)
			}
		}
	}
	res.total, res.counted = 0, state
	for _, n := range crashes {
		res.total += n
	}
	return res.total
}

// explainedCrashes returns the incarnations whose crashes count for a request at the limit.
func (c *Counts) explainedCrashes(now time.Time) map[string]bool {
	state, same := c.derive(c.explainedState, now)
	if same {
		return c.explained
	}
	c.explained, c.explainedState = make(map[string]bool), state
	for _, r := range c.requests {
		if r.total() < MaxCrashes || r.expired(now) {
			continue
		}
		for target, t := range r.byTarget {
			if t.crashes > t.cleared {
				c.explained[target] = true
			}
		}
	}
	return c.explained
}
