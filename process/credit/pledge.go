package credit

import (
	"context"
	"sync"
	"time"
)

// pledgeInterval is the time between two requests for promises.
const pledgeInterval = time.Second

// pledge asks the electors of all owned partitions for promises: one message to
// each elector, whatever the number of partitions.
func (s *Service) pledge(ctx context.Context) {
	addrs := make(map[string]Host)
	for _, h := range s.opts.Hosts() {
		addrs[h.Host] = h
	}
	var calls sync.WaitGroup
	for name, args := range s.pledges() {
		host, live := addrs[name]
		if !live && name != s.self.Host {
			continue
		}
		calls.Go(func() { s.askPromise(ctx, name, host, args) })
	}
	calls.Wait()
}

func (s *Service) pledges() map[string]*PromiseArgs {
	s.mu.Lock()
	defer s.mu.Unlock()
	byElector := make(map[string]*PromiseArgs)
	for _, tenure := range s.tenures {
		for _, elector := range tenure.Electors() {
			args := byElector[elector]
			if args == nil {
				args = &PromiseArgs{Owner: s.self}
				byElector[elector] = args
			}
			args.Pledges = append(args.Pledges, tenure.Pledge())
		}
	}
	return byElector
}

func (s *Service) askPromise(ctx context.Context, elector string, host Host, args *PromiseArgs) {
	sent := time.Now()
	var reply PromiseReply
	if elector == s.self.Host {
		reply = s.promise(args)
	} else {
		ctx, cancel := context.WithTimeout(ctx, pledgeInterval)
		defer cancel()
		s.counters.pledges.Add(1)
		if err := s.opts.Caller.Call(ctx, host.Addr, serviceName+".Promise", args, &reply); err != nil {
			s.counters.failed.Add(1)
			return
		}
	}
	s.takePromises(elector, sent, args, &reply)
}

func (s *Service) takePromises(elector string, sent time.Time, args *PromiseArgs, reply *PromiseReply) {
	s.mu.Lock()
	fresh := false
	for i, p := range args.Pledges {
		tenure := s.tenures[p.Partition]
		if i >= len(reply.Granted) || !reply.Granted[i] || tenure == nil || tenure.Epoch != p.Epoch {
			continue
		}
		before := tenure.establishedAt
		tenure.Promised(time.Now(), elector, sent)
		if before.IsZero() && !tenure.establishedAt.IsZero() {
			fresh = true
			evEstablished.Log(s.opts.Log).Str("partition", p.Partition).Uint64("epoch", p.Epoch).
				Dur("wait_ms", tenure.Wait(time.Now()).Short).Send()
		}
	}
	s.mu.Unlock()
	if fresh {
		s.adopt()
		s.trigger()
	}
}
