// Package repeat recognises repetitions of a request by its header.
package repeat

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// volatile holds headers that may differ between repetitions of a request by their purpose.
var volatile = map[string]bool{
	"Date": true, "Traceparent": true, "Tracestate": true, "Baggage": true, "B3": true,
	"X-Request-Id": true, "X-Correlation-Id": true, "X-Amzn-Trace-Id": true, "X-Forwarded-For": true,
}

// HeaderHash returns a hash of the fields of a header that does not depend on their order. It leaves out fields that differ
// between repetitions by their purpose and those for which skip returns true, by their canonical names.
func HeaderHash(header http.Header, skip func(name string) bool) uint64 {
	var sum uint64
	d := xxhash.New()
	for name, values := range header {
		if volatile[name] || skip(name) {
			continue
		}
		d.Reset()
		_, _ = d.WriteString(name) // writing to a hash never fails
		for _, value := range values {
			_, _ = d.Write([]byte{0})
			_, _ = d.WriteString(value)
		}
		sum += d.Sum64()
	}
	return sum
}
