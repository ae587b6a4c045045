// Package claim runs each request with an idempotency key at most once.
//
// Every key has one owner: a process of one entry host. A key that begins with a
// prefix given out with look-ups names its owner; any other key gets one by a row
// in the table service. Only the owner runs requests of the key, and it knows from
// its memory alone whether it has. Other hosts pass such requests on to the owner.
// When the owner is gone, nobody runs them.
//
// key.go reads prefixes, registry.go remembers keys, batch.go groups writes to the
// table service, claims.go finds the owner of a key and keeps answers.
package claim

import (
	"strconv"
	"strings"
	"time"
)

const (
	separator = "~"
	base      = 36
	// epochLength is the resolution of the time in a prefix.
	epochLength = time.Minute
)

// Owner is the process that alone runs the requests of a key.
type Owner struct {
	Host        string
	Incarnation uint64
}

// Prefix returns the beginning of keys that the owner runs and that were made
// about now.
func Prefix(o Owner, now time.Time) string {
	return strings.Join([]string{
		o.Host, strconv.FormatUint(o.Incarnation, base),
		strconv.FormatInt(now.Unix()/int64(epochLength/time.Second), base), "",
	}, separator)
}

// parsePrefix reads the owner and the time from a key with a prefix.
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
