// Package spread replicates small values between entry hosts by gossip.
//
// Each host has a bounded set of gossip partners in its own and in other failure
// domains. A change is pushed to the partners at once, and they forward it if it
// is new to them. Changes missed because a push was lost are repaired by
// anti-entropy: periodic exchanges that compare digests with one partner at a time.
package spread

// Size limits of the messages between hosts.
const (
	// MaxTopicName is the longest name of a topic, in bytes.
	MaxTopicName = 16
	// MaxDigestBytes is the largest digest of one topic.
	MaxDigestBytes = 16 << 10
	// MaxDeltaBytes is the size limit passed to Topic.Delta. A delta with a single
	// larger value exceeds it.
	MaxDeltaBytes = 64 << 10
)

// Topic is a set of values that is replicated to every host. Any type with these
// methods can be registered; it need not import this package.
//
// Merge must be commutative, associative and idempotent, so that the order,
// repetition and source of deltas do not matter, and must never replace a value by
// an older one. All methods are called concurrently, must not block on I/O, and must
// not call the engine.
type Topic interface {
	// Sum returns a hash of the content. Equal content has equal sums. It is compared
	// with a partner once a second, so it should be maintained incrementally.
	Sum() uint64
	// Digest returns a summary of the content of at most MaxDigestBytes, which a partner
	// passes to Delta. It is called only when sums differ.
	Digest() []byte
	// Delta returns values that are missing or older on the host that made the digest.
	// It stops near limit bytes, but returns at least one value if there is any, and
	// nil if there is none or the digest is malformed.
	Delta(digest []byte, limit int) []byte
	// Merge applies a partner's delta and reports whether the content changed.
	// A malformed delta returns an error and changes nothing.
	Merge(delta []byte) (changed bool, err error)
}

// Quiet marks a topic that changes constantly and needs no fast repair: its
// changes do not shorten the interval between exchanges.
type Quiet interface {
	Quiet()
}
