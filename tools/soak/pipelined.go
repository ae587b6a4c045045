package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"quetzalknot/platform/standin"
)

const (
	// maxPipelined is the largest number of requests that a caller sends ahead. It is above
	// the number that a host serves at the same time.
	maxPipelined = 12
	// pipelinedStream separates the random numbers of callers from those of the plan.
	pipelinedStream = 1 << 32
)

// callerRand returns the source of a caller's random numbers.
func callerRand(seed uint64, host, caller int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, pipelinedStream+uint64(host)<<16+uint64(caller)))
}

// isPipelined reports whether a caller sends requests ahead. About half of them do; which
// ones depends on the seed.
func isPipelined(seed uint64, host, caller int) bool {
	return callerRand(seed, host, caller).IntN(2) == 0
}

// pipelinedCaller sends groups of requests to one host without waiting for responses.
type pipelinedCaller struct {
	*checker
	host, caller int
	random       *rand.Rand
	conn         *standin.Caller
	// generation is that of the process to which conn leads.
	generation int
	// unread are requests that the host has not read, since they were behind a response that
	// closed the connection. They are sent again.
	unread []standin.Call
	// count is the number of requests so far.
	count int
}

// sendPipelined sends groups of requests to one host until ctx is cancelled.
func (c *checker) sendPipelined(ctx context.Context, seed uint64, host, caller int) {
	p := &pipelinedCaller{checker: c, host: host, caller: caller, random: callerRand(seed, host, caller)}
	for ctx.Err() == nil {
		sleep(ctx, requestPause)
		p.sendGroup()
	}
	p.disconnect()
}

// sendGroup sends one group of requests and checks the responses.
func (p *pipelinedCaller) sendGroup() {
	if p.conn == nil {
		p.generation = p.cluster.hosts[p.host].currentGeneration()
		conn, err := standin.Dial(p.cluster.hosts[p.host].entry, dialTimeout)
		if err != nil {
			return
		}
		p.conn = conn
	}
	group := p.nextGroup()
	sentAt := time.Now()
	responses, err := p.conn.SendPipelined(group, requestTimeout)
	closes := false
	for i, response := range responses {
		p.checkOrder(group[i].ID, response)
		p.checkResponse(group[i].ID, response)
		closes = response.Closes
	}
	rest := group[len(responses):]
	switch {
	case err != nil:
		for _, call := range rest {
			p.recordDropped(p.host, p.generation, call.ID, sentAt, 0)
		}
		p.disconnect()
	case closes:
		p.unread = rest
		p.sentAgain.Add(int64(len(rest)))
		p.disconnect()
	}
}

// nextGroup returns the requests that have to be sent again, and new ones.
func (p *pipelinedCaller) nextGroup() []standin.Call {
	group := p.unread
	p.unread = nil
	for size := 1 + p.random.IntN(maxPipelined); len(group) < size; p.count++ {
		group = append(group, p.newCall(requestID(p.host, fmt.Sprint(p.caller), p.count), p.random.IntN(maxBookings)))
	}
	return group
}

func (p *pipelinedCaller) disconnect() {
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}

// checkOrder checks that a response with an id is that to the request in its place.
func (c *checker) checkOrder(id string, response standin.Response) {
	if response.ID != "" && response.ID != id {
		c.recordViolation("the response in the place of request %s is that to %s", id, response.ID)
	}
}
