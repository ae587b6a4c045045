package soak

import "math/rand/v2"

// buildStream separates the random numbers for the choice of builds from those of the plan.
const buildStream = 1 << 33

// builds are the programs that the hosts run: one, or two builds of it in one fleet.
type builds struct {
	// program and other are the paths of the programs; other is empty if there is only one.
	program, other string
	seed           uint64
}

// of returns the program for a start of a host. Generations count the starts of a host, from 1.
func (b builds) of(host, generation int) string {
	if b.other == "" {
		return b.program
	}
	r := rand.New(rand.NewPCG(b.seed, buildStream+uint64(host)<<16+uint64(generation)))
	if r.IntN(2) == 0 {
		return b.other
	}
	return b.program
}
