package spread

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/process/membership"
)

// maxSyncRounds bounds the deltas of one exchange.
const maxSyncRounds = 256

// begin starts an exchange with a member, unless one is in flight.
func (e *Engine) begin(m membership.Member) {
	e.mu.Lock()
	if e.busy[m.PeerAddr] {
		e.mu.Unlock()
		return
	}
	e.busy[m.PeerAddr] = true
	e.mu.Unlock()
	entry, _ := e.Members.Entry(m.Host)
	started := e.goCall(func(ctx context.Context) {
		defer e.unsetBusy(m.PeerAddr)
		if err := e.Exchange(ctx, m.PeerAddr); err != nil && e.stopped.Err() == nil {
			e.lookInto(entry)
		}
	})
	if !started {
		e.unsetBusy(m.PeerAddr)
	}
}

func (e *Engine) unsetBusy(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.busy, addr)
}

// Exchange compares all topics with the host at addr and levels them both ways.
// An error means that the host did not answer; what was merged stays.
func (e *Engine) Exchange(ctx context.Context, addr string) error {
	began := time.Now()
	self := e.Members.Self()
	args := ExchangeArgs{From: self.Host, Incarnation: self.Incarnation, Sums: e.sums()}
	var reply ExchangeReply
	e.Metrics.Counter("spread.exchanges_total").Add(1)
	if err := e.Caller.Call(ctx, addr, serviceName+".Exchange", &args, &reply); err != nil {
		e.Metrics.Counter("spread.exchanges_failed_total").Add(1)
		return errors.Wrap(err, "exchange")
	}
	if reply.Regard == membership.Alive {
		e.Members.Lease().Renew(began)
	}
	level := true
	for _, d := range reply.Digests {
		equal, err := e.sync(ctx, addr, d)
		if err != nil {
			evSyncFailed.Log(e.Log).Str("peer", addr).Str("topic", d.Topic).Err(err).Send()
		}
		if d.Topic == TicketsTopic {
			level = equal
		}
	}
	if level {
		e.learn(began, reply)
	}
	return nil
}

func (e *Engine) sums() []Sum {
	sums := make([]Sum, 0, len(e.names))
	for _, name := range e.names {
		sums = append(sums, Sum{Topic: name, Sum: e.topic(name).Sum()})
	}
	return sums
}

// sync levels one topic with the host at addr. It reports whether both have the
// same content at the end.
func (e *Engine) sync(ctx context.Context, addr string, theirs TopicDigest) (bool, error) {
	t := e.topic(theirs.Topic)
	if t == nil {
		return false, nil // a topic of another release
	}
	digest := theirs.Digest
	for range maxSyncRounds {
		delta := t.Delta(digest, MaxDeltaBytes)
		args := SyncArgs{Topic: theirs.Topic, Digest: t.Digest(), Delta: delta}
		var reply SyncReply
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		err := e.Caller.Call(callCtx, addr, serviceName+".Sync", &args, &reply)
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
		if !changed && len(delta) == 0 || e.stopped.Err() != nil {
			return false, nil
		}
		digest = reply.Digest
	}
	return false, nil
}

// merge takes in a delta and pushes it on when it was new.
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
