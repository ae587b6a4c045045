package spread

import "quetzalknot/process/membership"

// serviceName is the net/rpc service of the engine.
const serviceName = "Spread"

// Fields are numbered, and a host ignores unknown numbers, so that hosts of different
// releases are compatible. A number must not be reused with another meaning.

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

// ExchangeArgs holds the sums of the calling host's topics.
type ExchangeArgs struct {
	From        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sums        []Sum  `cbor:"3,keyasint"`
}

// ExchangeReply holds the digests of the topics that differ.
type ExchangeReply struct {
	Host          string        `cbor:"1,keyasint"`
	FailureDomain string        `cbor:"2,keyasint"`
	Digests       []TopicDigest `cbor:"3,keyasint,omitempty"`
	// Complete is true if the host has the complete state as of its start.
	Complete bool `cbor:"4,keyasint,omitempty"`
	// StateAgeMS is the time in milliseconds since the state last matched the table service;
	// negative if unknown.
	StateAgeMS int64 `cbor:"5,keyasint"`
	// Revision is the table revision up to which the state contains all accepted tickets.
	Revision int64 `cbor:"6,keyasint,omitempty"`
	// CallerStatus is the status of the calling host in the membership of the responding one.
	CallerStatus membership.Status `cbor:"7,keyasint,omitempty"`
	// Era is the era of the table to which Revision belongs.
	Era uint64 `cbor:"8,keyasint,omitempty"`
}

// SyncArgs holds the values of a topic that the called host lacks, and a digest with
// which it determines the values that the calling host lacks.
type SyncArgs struct {
	Topic  string `cbor:"1,keyasint"`
	Digest []byte `cbor:"2,keyasint"`
	Delta  []byte `cbor:"3,keyasint,omitempty"`
}

// SyncReply holds the values that the calling host lacks, and the digest of the called
// host after it merged SyncArgs.Delta.
type SyncReply struct {
	Delta  []byte `cbor:"1,keyasint,omitempty"`
	Digest []byte `cbor:"2,keyasint"`
	// Sum is the hash of the content that Digest describes.
	Sum uint64 `cbor:"3,keyasint"`
}

// PushArgs holds a change that is pushed when it happens.
type PushArgs struct {
	From  string `cbor:"1,keyasint"`
	Topic string `cbor:"2,keyasint"`
	Delta []byte `cbor:"3,keyasint"`
}

// Empty is a reply without fields.
type Empty struct{}

// ProbeArgs identifies the host that the called host is to probe.
type ProbeArgs struct {
	Addr string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
}

// ProbeReply reports whether the probed host responded under the expected name.
type ProbeReply struct {
	Alive bool `cbor:"1,keyasint"`
}
