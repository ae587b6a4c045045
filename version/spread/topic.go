// Package spread passes small replicated values between entry hosts.
//
// Each host talks to a bounded set of partners in its own and in other failure
// domains. A change is pushed at once to a few partners, which push it on when
// it is new to them; what a lost push leaves out is repaired by comparing
// digests with one partner at a time.
package spread

// Bounds of the messages between hosts.
const (
	// MaxTopicName is the longest name of a topic, in bytes.
	MaxTopicName = 16
	// MaxDigestBytes bounds the digest of one topic.
	MaxDigestBytes = 16 << 10
	// MaxDeltaBytes is the size that a delta should not exceed, in bytes.
	MaxDeltaBytes = 64 << 10
)

// Topic is a set of values that every host is to hold alike. Any type with these
// methods can be registered; it need not import this package.
//
// The content must be a join: merging deltas in any order, repeated, and from any
// source gives the same content, and no value steps back. All methods are called
// from several goroutines at once, must not block on I/O, and must not call the
// engine.
type Topic interface {
	// Sum is a hash of the content. Equal content has equal sums. It is compared
	// with a partner once a second, so it should be kept up to date, not computed.
	Sum() uint64
	// Digest describes the content in at most MaxDigestBytes, for Delta of a partner.
	// It is asked for only when sums differ.
	Digest() []byte
	// Delta returns values that the owner of the digest lacks or has in an older
	// form, about limit bytes at the most and at least one value when there is any.
	// It is nil when there is none or the digest is malformed.
	Delta(digest []byte, limit int) []byte
	// Merge takes in a delta of a partner and reports whether the content changed.
	// A malformed delta is an error and changes nothing.
	Merge(delta []byte) (changed bool, err error)
}
