package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/platform/adapter"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/mirror"
	"quetzalknot/process/partner"
)

var evKeysAccepted = eventlog.Define(1806, zerolog.WarnLevel, "acceptance of keys changed")

const (
	// keyMarginShare is the part of the bound for revoked keys by which a host stops to accept keys before its end. It
	// covers clocks that differ in rate, by less than 0.1 %, and the time between the check and its effect.
	keyMarginShare = 0.02
	// keyCheckInterval is the time between two checks whether keys are still accepted.
	keyCheckInterval = 250 * time.Millisecond
	// keyAskShare is the part of the bound after which a host asks partners for a newer confirmation.
	keyAskShare = 0.25
	// keyPollShare is the part of the bound that the store may keep a call for changes of the desired state open. An
	// answer confirms the state as of the call's start, so that long calls let confirmations become old.
	keyPollShare = 0.1
	// keyLagLimit is how long a host accepts keys while partners have a newer desired state in force. A pull takes less;
	// a store that was restored from a copy may lack that state for good.
	keyLagLimit = time.Second
)

// keyConfirmation knows how long ago the store confirmed this host's desired state, by a clock that goes on during
// suspensions of the machine. The zero value has no confirmation.
type keyConfirmation struct {
	// at is a time before the last confirmation; 0 means that there was none.
	at atomic.Int64
	// behindSince is when partners were first seen to have a newer desired state in force; 0 while they have none.
	behindSince atomic.Int64
}

// record records a confirmation of what is in force, given a time before it.
func (k *keyConfirmation) record(at time.Duration) {
	for {
		known := k.at.Load()
		if int64(at) <= known || k.at.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// setBehind records whether partners have a newer desired state in force.
func (k *keyConfirmation) setBehind(behind bool, now time.Duration) {
	if !behind {
		k.behindSince.Store(0)
		return
	}
	k.behindSince.CompareAndSwap(0, max(1, int64(now)))
}

// age returns the time since a time before the last confirmation; ok is false if there was none.
func (k *keyConfirmation) age(now time.Duration) (age time.Duration, ok bool) {
	at := k.at.Load()
	return now - time.Duration(at), at != 0
}

// within reports whether the last confirmation is recent enough for a bound.
func (k *keyConfirmation) within(bound, now time.Duration) bool {
	age, ok := k.age(now)
	if !ok || age > bound-time.Duration(keyMarginShare*float64(bound)) {
		return false
	}
	behind := k.behindSince.Load()
	return behind == 0 || now-time.Duration(behind) <= keyLagLimit
}

// keyRevocation returns the bound within which a revoked key is rejected at all hosts; 0 means that there is none.
func (h *Host) keyRevocation() time.Duration {
	return time.Duration(h.settings.Load().Bounds.KeyRevocation)
}

// acceptsKeys reports whether the store has confirmed the desired state so recently that no key in it was revoked
// longer ago than the bound. At the start of a host, partners may know of a state that a restored store lacks.
func (h *Host) acceptsKeys() bool {
	bound := h.keyRevocation()
	if bound == 0 {
		return true
	}
	return h.keys.within(bound, h.bootTime()) && (h.settings.Load().Host.FirstStart || h.group.Introduced(time.Now()))
}

// confirmKeysBy records that an answer of the store, which is applied, has confirmed this host's copy of a table. The
// call was made after a time and when a position was known; when the store made the answer is not known, since
// it may have been on the way for long.
func (h *Host) confirmKeysBy(answer mirror.Delta, known mirror.Position, after time.Duration) {
	confirms := !(mirror.Position{Era: answer.Era, Revision: answer.UpTo}).Lacks(known)
	if confirms && answer.Table == adapter.OperatorTable {
		h.keys.record(after)
	}
}

// confirmed returns the last confirmation of this host's copy of a table, for partners.
func (h *Host) confirmed(table string) (partner.Confirmation, bool) {
	if table != adapter.OperatorTable {
		return partner.Confirmation{}, false
	}
	at := h.keys.at.Load() // before the position, which only grows
	return partner.Confirmation{Position: h.mirror.Position(table), At: time.Duration(at)}, at != 0
}

// takeConfirmation records what a partner said, if this host has all that the partner had and has it in force.
func (h *Host) takeConfirmation(c partner.Confirmation) {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	if (c.Position != mirror.Position{}) && !h.mirror.Position(adapter.OperatorTable).Lacks(c.Position) {
		h.keys.record(c.At)
	}
}

// followKeys keeps the confirmation of the desired state recent by asking partners, until ctx ends, and logs when the
// host begins or stops to accept keys. It does nothing without a bound for revoked keys or without workspaces.
func (h *Host) followKeys(ctx context.Context) {
	accepted := true
	for pause(ctx, keyCheckInterval) {
		bound, config := h.keyRevocation(), h.config.Load()
		if bound == 0 || config == nil || !config.HasWorkspaces() {
			accepted = true
			continue
		}
		h.keys.setBehind(h.stateVersion() < h.group.StateVersion(), h.bootTime())
		if age, ok := h.keys.age(h.bootTime()); !ok || age > time.Duration(keyAskShare*float64(bound)) {
			for _, c := range h.group.Confirm(ctx, adapter.OperatorTable) {
				h.takeConfirmation(c)
			}
		}
		if accepts := h.acceptsKeys(); accepts != accepted {
			accepted = accepts
			age, _ := h.keys.age(h.bootTime())
			evKeysAccepted.Log(h.log).Bool("accepted", accepted).Int64("age_ms", age.Milliseconds()).Int64("bound_ms", bound.Milliseconds()).Send()
		}
	}
}
