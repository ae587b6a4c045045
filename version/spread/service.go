package spread

import (
	"context"

	"quetzalknot/process/membership"
)

// service holds the engine's net/rpc methods.
type service struct{ engine *Engine }

// Exchange returns the digests of the topics whose sums differ from the calling host's.
func (s *service) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	e := s.engine
	self := e.Members.Self()
	reply.Host, reply.FailureDomain = self.Host, self.FailureDomain
	reply.Complete = e.Complete()
	reply.StateAgeMS = e.watermark.ageMS()
	at := e.Position()
	reply.Era, reply.Revision = at.Era, at.Revision
	if entry, ok := e.Members.Entry(args.From); ok && entry.Member.Incarnation == args.Incarnation {
		reply.CallerStatus = entry.Status
	} else if ok && entry.Member.Incarnation > args.Incarnation {
		reply.CallerStatus = membership.Dead
	}
	for _, theirs := range args.Sums {
		t := e.topic(theirs.Topic)
		if t == nil || t.Sum() == theirs.Sum {
			continue
		}
		e.noteDifference(theirs.Topic)
		reply.Digests = append(reply.Digests, TopicDigest{Topic: theirs.Topic, Digest: t.Digest()})
	}
	return nil
}

// Sync merges the calling host's delta and returns the values that it lacks.
func (s *service) Sync(args *SyncArgs, reply *SyncReply) error {
	if _, err := s.engine.merge(args.Topic, args.Delta, ""); err != nil {
		return err
	}
	t := s.engine.topic(args.Topic)
	if t == nil {
		return errUnknownTopic
	}
	reply.Delta = t.Delta(args.Digest, MaxDeltaBytes)
	reply.Digest = t.Digest()
	reply.Sum = t.Sum()
	return nil
}

// Push merges a pushed change.
func (s *service) Push(args *PushArgs, _ *Empty) error {
	_, err := s.engine.merge(args.Topic, args.Delta, args.From)
	return err
}

// Probe reports whether this host can reach another one.
func (s *service) Probe(args *ProbeArgs, reply *ProbeReply) error {
	ctx, cancel := context.WithTimeout(s.engine.baseCtx, callTimeout)
	defer cancel()
	probeArgs := ExchangeArgs{From: s.engine.Members.Self().Host}
	var probeReply ExchangeReply
	err := s.engine.Client.Call(ctx, args.Addr, serviceName+".Exchange", &probeArgs, &probeReply)
	reply.Alive = err == nil && probeReply.Host == args.Host
	return nil
}
