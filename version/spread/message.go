package spread

import "quetzalknot/process/membership"

// serviceName is the net/rpc service of the engine.
const serviceName = "Spread"

// Fields are numbered, and a host ignores numbers that it does not know, so that
// two releases can talk. A number is never used again for another meaning.

// Sum is the hash of one topic's content.
type Sum struct {
	Topic string `cbor:"1,keyasint"`
	Sum   uint64 `cbor:"2,keyasint"`
}

// TopicDigest is the digest of one topic.
type TopicDigest struct {
	Topic  string `cbor:"1,keyasint"`
	Digest []byte `cbor:"2,keyasint"`
}

// ExchangeArgs compare the caller's topics with those of another host.
type ExchangeArgs struct {
	From        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sums        []Sum  `cbor:"3,keyasint"`
}

// ExchangeReply describes the topics that differ.
type ExchangeReply struct {
	Host          string        `cbor:"1,keyasint"`
	FailureDomain string        `cbor:"2,keyasint"`
	Digests       []TopicDigest `cbor:"3,keyasint,omitempty"`
	// Whole is true when the host holds the whole state that was in force when it started.
	Whole bool `cbor:"4,keyasint,omitempty"`
	// FreshMS is how many milliseconds ago the state was that of the table service;
	// negative when that is not known.
	FreshMS int64 `cbor:"5,keyasint"`
	// Revision is the table revision that the state holds.
	Revision int64 `cbor:"6,keyasint,omitempty"`
	// Regard is what the host believes of the caller.
	Regard membership.Status `cbor:"7,keyasint,omitempty"`
}

// SyncArgs bring what the other host lacks in a topic and ask for what the caller lacks.
type SyncArgs struct {
	Topic  string `cbor:"1,keyasint"`
	Digest []byte `cbor:"2,keyasint"`
	Delta  []byte `cbor:"3,keyasint,omitempty"`
}

// SyncReply brings what the caller lacks, and the digest after the merge.
type SyncReply struct {
	Delta  []byte `cbor:"1,keyasint,omitempty"`
	Digest []byte `cbor:"2,keyasint"`
	// Sum is the hash of the content that Digest describes.
	Sum uint64 `cbor:"3,keyasint"`
}

// PushArgs bring a change at once.
type PushArgs struct {
	From  string `cbor:"1,keyasint"`
	Topic string `cbor:"2,keyasint"`
	Delta []byte `cbor:"3,keyasint"`
}

// Empty is a reply without content.
type Empty struct{}

// ProbeArgs ask whether the host can reach another.
type ProbeArgs struct {
	Addr string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
}

// ProbeReply says whether the other host answered under its name.
type ProbeReply struct {
	Alive bool `cbor:"1,keyasint"`
}
