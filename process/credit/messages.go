// Package credit lends the slots of targets to entry hosts for short terms, so
// that the requests of all hosts together never exceed the slots of a target.
//
// Each target belongs to a partition, and each partition has one granting host.
// granter.go lends, holder.go uses what was lent, elector.go and tenure.go keep
// the right to grant exclusive, partition.go says which partition a target has.
// These are state machines without I/O; room.go, service.go and claims.go join
// them to requests, to the other hosts and to the table service.
package credit

import (
	"time"

	"quetzalknot/process/slots"
)

const (
	// Term is how long a loan may be used without renewal.
	Term = time.Second
	// ShortHold bounds how long a short request may occupy a slot.
	ShortHold = 10 * time.Second
	// LongHold bounds how long a long request may occupy a slot.
	LongHold = 10 * time.Minute
	// driftShare bounds by how much two monotonic clocks may differ in rate.
	driftShare = 0.01
	// driftMargin is added to every time that another host's clock bounds.
	driftMargin = 50 * time.Millisecond
)

// Hold returns how long a request of a lane may occupy a slot.
func Hold(lane slots.Lane) time.Duration {
	if lane == slots.Long {
		return LongHold
	}
	return ShortHold
}

// withDrift lengthens a time that another host measures.
func withDrift(d time.Duration) time.Duration {
	return d + time.Duration(driftShare*float64(d)) + driftMargin
}

// Process is one process on a host.
type Process struct {
	Host        string
	Incarnation uint64
}

// LoanID identifies a loan of one granting process.
type LoanID uint64

// Loan is one slot lent to one holder.
type Loan struct {
	ID     LoanID
	Target slots.Target
	Lane   slots.Lane
	// Epoch is the granting epoch of the target's partition.
	Epoch uint64
}

// Want asks for slots at any of some targets of one service.
type Want struct {
	Service string
	Targets []string
	Lane    slots.Lane
	// Count is how many requests wait for a slot.
	Count int
	// Spare is how many slots are wanted ahead of need, if nobody waits for them.
	Spare int
}

// BorrowArgs is what a holder tells one granter: all that it holds, and what it wants.
type BorrowArgs struct {
	Holder Process
	// Granter is the process that the holder means.
	Granter Process
	// Seq grows with each message. A granter takes no older message in.
	Seq uint64
	// Have lists every loan of this granter that the holder keeps. What is not
	// listed is given back.
	Have  []LoanID
	Wants []Want
}

// BorrowReply answers a BorrowArgs. Its times count from the sending of the args.
type BorrowReply struct {
	// Stale is true when the args were not taken in.
	Stale bool
	// Loans are new.
	Loans []Loan
	// Refused lists the loans of Have that are not renewed.
	Refused []LoanID
	// Scarce is true when other holders wait for slots of these services.
	Scarce bool
}

// Pledge is one partition and epoch for which an owner asks a promise.
type Pledge struct {
	Partition string
	Epoch     uint64
	// Released is the newest epoch that its owner gave up by itself; 0 means none.
	Released uint64
}

// PromiseArgs asks an elector to promise that it supports no later epoch for a while.
type PromiseArgs struct {
	Owner   Process
	Pledges []Pledge
}

// PromiseReply answers each pledge in order.
type PromiseReply struct {
	Granted []bool
}

// LookArgs tells a host that a partition was released for it.
type LookArgs struct{}

// LookReply answers LookArgs.
type LookReply struct{}
