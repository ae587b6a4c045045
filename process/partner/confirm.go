package partner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalknot/process/mirror"
)

// Confirmation says that the store has confirmed a copy of a table up to a position. At is a time before the store
// did so, by a clock that goes on while the machine is suspended.
type Confirmation struct {
	Position mirror.Position
	At       time.Duration
}

// ConfirmRequest asks a partner how long ago the store confirmed its copy of a table.
type ConfirmRequest struct {
	_     struct{} `cbor:",toarray"`
	Table string
}

// ConfirmReply is the reply to a ConfirmRequest. Known is false if the store never confirmed the copy.
type ConfirmReply struct {
	_             struct{} `cbor:",toarray"`
	Known         bool
	Age           time.Duration
	Era, Revision uint64
}

// confirmCalls is the number of partners that one call of Confirm asks.
const confirmCalls = 2

// Confirm handles a partner's question about a table. Whoever asks can rely on the age, since the reply is made after
// the question was sent, however long both were on the way. A heartbeat that comes as a call has no such bound: it may
// have waited while its receiver was paused.
func (s *service) Confirm(request *ConfirmRequest, reply *ConfirmReply) error {
	if s.g.opts.Confirmed == nil {
		return nil
	}
	if c, ok := s.g.opts.Confirmed(request.Table); ok {
		*reply = ConfirmReply{Known: true, Age: s.g.opts.BootTime() - c.At, Era: c.Position.Era, Revision: c.Position.Revision}
	}
	return nil
}

// Confirm asks some partners how long ago the store confirmed their copy of a table, and returns what they say when all
// have replied or failed to. Partners that read the store come first, and among them those of this region.
func (g *Group) Confirm(ctx context.Context, table string) []Confirmation {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var all []Confirmation
	var calls sync.WaitGroup
	for _, m := range g.confirmers() {
		calls.Go(func() {
			asked := g.opts.BootTime()
			var reply ConfirmReply
			err := g.opts.Client.Call(ctx, m.Peer, serviceName+".Confirm", &ConfirmRequest{Table: table}, &reply)
			if err != nil || !reply.Known || reply.Age < 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, Confirmation{Position: mirror.Position{Era: reply.Era, Revision: reply.Revision}, At: asked - reply.Age})
		})
	}
	calls.Wait()
	return all
}

// confirmers returns the partners to ask: those of the best classes, in random order within a class.
func (g *Group) confirmers() []Member {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	const classes = 4
	var byClass [classes][]Member
	for _, s := range g.members {
		if !s.alive || now.Sub(s.lastSeen) > aliveTimeout {
			continue
		}
		class := 0
		if !s.readsStore(now) {
			class += 2
		}
		if s.Region != g.opts.Self.Region {
			class++
		}
		byClass[class] = append(byClass[class], s.Member)
	}
	var chosen []Member
	for _, members := range byClass {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		chosen = append(chosen, members...)
	}
	return chosen[:min(confirmCalls, len(chosen))]
}
