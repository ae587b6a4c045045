// Package claim runs each request with an idempotency key at most once.
//
// Every key has one owner: a process of one entry host. A key that begins with a prefix
// from a look-up answer names its owner; any other key is claimed by a row in the
// table service. Only the owner runs requests of the key, and it decides from its
// memory alone whether the key has already been run. Other hosts pass such requests to
// the owner. When the owner is gone, no host runs them.
//
// key.go formats and parses prefixes, registry.go keeps the keys of this process,
// batch.go groups writes to the table service, claims.go finds the owner of a key and
// stores responses, sweep.go deletes expired rows.
package claim

import (
	"strconv"
	"strings"
	"time"
)

const (
	separator = "~"
	base      = 36
	// epochLength is the resolution of the timestamp in a prefix.
	epochLength = time.Minute
)

// Owner identifies the only process that may run the requests of a key.
type Owner struct {
	Host        string
	Incarnation uint64
}

// Prefix returns the prefix of keys that the owner runs and that are created at about
// now.
func Prefix(o Owner, now time.Time) string {
	return strings.Join([]string{
		o.Host, strconv.FormatUint(o.Incarnation, base),
		strconv.FormatInt(now.Unix()/int64(epochLength/time.Second), base), "",
	}, separator)
}

// parsePrefix returns the owner and the creation time from a key with a prefix.
func parsePrefix(key string) (o Owner, at time.Time, ok bool) {
	parts := strings.SplitN(key, separator, 4)
	if len(parts) < 4 || parts[0] == "" {
		return Owner{}, time.Time{}, false
	}
	incarnation, err := strconv.ParseUint(parts[1], base, 64)
	if err != nil {
		return Owner{}, time.Time{}, false
	}
	epoch, err := strconv.ParseInt(parts[2], base, 40)
	if err != nil || epoch < 0 {
		return Owner{}, time.Time{}, false
	}
	return Owner{Host: parts[0], Incarnation: incarnation}, time.Unix(epoch*int64(epochLength/time.Second), 0), true
}
