// Package boottime reads a clock that goes on while the machine is suspended, unlike the monotonic readings of time.Time,
// so that old information does not pass for recent. On Linux it is never set; elsewhere it is the wall clock.
package boottime
