package spread

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/process/membership"
)

// maxSyncRounds bounds the Sync calls for one topic of an exchange.
const maxSyncRounds = 256

// startExchange starts an exchange with a member unless one is already in flight. If
// the exchange fails, the member is probed indirectly.
func (e *Engine) startExchange(m membership.Member) {
	e.mu.Lock()
	if e.exchanging[m.PeerAddr] {
		e.mu.Unlock()
		return
	}
	e.exchanging[m.PeerAddr] = true
	e.mu.Unlock()
	entry, _ := e.Members.Entry(m.Host)
	started := e.goCall(func(ctx context.Context) {
		err := e.Exchange(ctx, m.PeerAddr)
		e.endExchange(m.PeerAddr)
		if err != nil && e.baseCtx.Err() == nil {
			e.probeIndirectly(entry)
		}
	})
	if !started {
		e.endExchange(m.PeerAddr)
	}
}

func (e *Engine) endExchange(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exchanging, addr)
}

// Exchange compares all topics with the host at addr and synchronises those that
// differ in both directions. It returns an error if the host did not respond to the
// comparison. A topic that cannot be synchronised is logged; deltas that were already
// merged are kept.
func (e *Engine) Exchange(ctx context.Context, addr string) error {
	began := time.Now()
	self := e.Members.Self()
	args := ExchangeArgs{From: self.Host, Incarnation: self.Incarnation, Sums: e.topicSums()}
	var reply ExchangeReply
	e.Metrics.Counter("spread.exchanges_total").Add(1)
	if err := e.Client.Call(ctx, addr, serviceName+".Exchange", &args, &reply); err != nil {
		e.Metrics.Counter("spread.exchanges_failed_total").Add(1)
		return errors.Wrap(err, "exchange")
	}
	if reply.CallerStatus == membership.Alive {
		e.Members.Lease().Renew(began)
	}
	ticketsEqual := true
	for _, d := range reply.Digests {
		e.noteDifference(d.Topic)
		equal, err := e.sync(ctx, addr, d)
		if err != nil {
			evSyncFailed.Log(e.Log).Str("peer", addr).Str("topic", d.Topic).Err(err).Send()
		}
		if d.Topic == TicketsTopic {
			ticketsEqual = equal
		}
	}
	if ticketsEqual {
		e.recordSync(began, reply)
	}
	return nil
}

func (e *Engine) topicSums() []Sum {
	sums := make([]Sum, 0, len(e.names))
	for _, name := range e.names {
		sums = append(sums, Sum{Topic: name, Sum: e.topic(name).Sum()})
	}
	return sums
}

// sync synchronises one topic with the host at addr. It reports whether both hosts
// have the same content at the end.
func (e *Engine) sync(ctx context.Context, addr string, theirs TopicDigest) (bool, error) {
	t := e.topic(theirs.Topic)
	if t == nil {
		return false, nil // a topic that only the other release has
	}
	digest := theirs.Digest
	for range maxSyncRounds {
		delta := t.Delta(digest, MaxDeltaBytes)
		args := SyncArgs{Topic: theirs.Topic, Digest: t.Digest(), Delta: delta}
		var reply SyncReply
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		err := e.Client.Call(callCtx, addr, serviceName+".Sync", &args, &reply)
		cancel()
		if err != nil {
			return false, err
		}
		changed, err := e.merge(theirs.Topic, reply.Delta, "")
		if err != nil {
			return false, err
		}
		if reply.Sum == t.Sum() {
			return true, nil
		}
		if !changed && len(delta) == 0 || e.baseCtx.Err() != nil {
			return false, nil
		}
		digest = reply.Digest
	}
	return false, nil
}

// merge applies a delta and forwards it to the partners if it changed the topic.
func (e *Engine) merge(topic string, delta []byte, from string) (bool, error) {
	t := e.topic(topic)
	if t == nil {
		return false, errors.Wrapf(errUnknownTopic, "%q", topic)
	}
	if len(delta) == 0 {
		return false, nil
	}
	changed, err := t.Merge(delta)
	if err != nil {
		e.Metrics.Counter("spread.deltas_refused_total").Add(1)
		return false, err
	}
	if changed {
		e.push(topic, delta, from)
	}
	return changed, nil
}
