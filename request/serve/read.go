package serve

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"quetzalknot/process/crash"
	"quetzalknot/process/drain"
	"quetzalknot/process/memory"
	"quetzalknot/request/place"
	"quetzalknot/request/repeat"
	"quetzalknot/version/routes"
)

const (
	// maxBufferedBody is the largest request body, in bytes, that is held in memory.
	maxBufferedBody = 1 << 20
	// fingerprintedStart is how many bytes of the start of a streamed body are read before it
	// is sent and are part of the request's fingerprint.
	fingerprintedStart = 64 << 10
	// defaultTimeout limits requests whose caller does not say how long it waits.
	defaultTimeout = 30 * time.Second
)

// read finds the route and reads the headers and the body. It returns false when it has
// sent the final response.
func (q *request) read() bool {
	var err error
	q.callerHeaders, err = q.h.Headers.ReadRequest(q.r)
	if q.config = q.h.Config(); q.config == nil {
		return q.refuse(http.StatusServiceUnavailable, errNoConfig)
	}
	if err != nil {
		return q.refuse(http.StatusBadRequest, err)
	}
	if !q.findRoute() || !q.authorize() {
		return false
	}
	timeout := q.callerHeaders.TimeLeft
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if q.route.Timeout > 0 {
		timeout = min(timeout, q.route.Timeout)
	}
	q.deadline = q.started.Add(timeout)
	if !q.readBody() {
		return false
	}
	q.service = q.route.PickService(q.sharePoint())
	q.object = place.ObjectHash(q.service, q.route.Name, q.callerHeaders.Object)
	q.fingerprint = q.computeFingerprint()
	return true
}

// findRoute finds the route in the configuration in force. A request without one may be denied only
// if that configuration is the confirmed one. It returns false when it has sent the final response.
func (q *request) findRoute() bool {
	for q.route = q.match(); q.route == nil; q.route = q.match() {
		confirmed := q.h.UpToDate()
		current := q.h.Config()
		switch {
		case current != q.config:
			q.config = current
		case confirmed:
			return q.refuseUnrouted()
		default:
			return q.refuse(http.StatusServiceUnavailable, errNoRoute)
		}
	}
	return true
}

func (q *request) match() *routes.Route { return q.config.Match(q.r.Host, pathOf(q.r)) }

// goldenRatio makes the share points of successive requests evenly spread over [0, 1).
const goldenRatio = 0.6180339887498949

// sharePoint returns the number in [0, 1) that selects the service of a weighted route.
func (q *request) sharePoint() float64 {
	if len(q.route.Services) == 1 {
		return 0
	}
	x := float64(q.h.shareCounter.Add(1)) * goldenRatio
	return x - float64(int64(x))
}

// readBody reads the request's body into memory or, when its length shows that it is too large
// for that, its start. It stops at the deadline and at the end of a planned stop.
func (q *request) readBody() bool {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return true
	}
	if limit := q.config.Limits.BodyBytes; limit > 0 && q.r.ContentLength > limit {
		return q.refuseBody(limit)
	}
	buffered := int64(maxBufferedBody + 1)
	if q.r.ContentLength > maxBufferedBody {
		buffered = fingerprintedStart
	}
	stop := time.AfterFunc(time.Until(q.deadline), func() { _ = q.r.Body.Close() })
	defer stop.Stop()
	release := q.h.ending.AfterFunc(func() { _ = q.r.Body.Close() })
	defer release()
	body, _, err := q.requestBody.read(q.r.Body, q.r.ContentLength, buffered)
	if err != nil {
		return q.bodyFailed(err)
	}
	q.body = body
	q.streamed = max(q.r.ContentLength, int64(len(body))) > maxBufferedBody
	return true
}

// refuseBody refuses a body above the limit, in bytes. The limit may have been raised while
// the configuration is not up to date or has been replaced; the caller may retry then. It always
// returns false.
func (q *request) refuseBody(limit int64) bool {
	status := http.StatusServiceUnavailable
	if q.h.UpToDate() && q.h.Config() == q.config {
		status = http.StatusRequestEntityTooLarge
	}
	return q.refuse(status, errors.Newf("request body has %d bytes; at most %d are allowed", q.r.ContentLength, limit))
}

// bodyFailed ends a request whose body could not be read. It always returns false.
func (q *request) bodyFailed(err error) bool {
	switch {
	case q.r.Context().Err() != nil:
		q.abort()
		return false
	case errors.Is(err, memory.ErrShort):
		return q.refuse(http.StatusServiceUnavailable, err)
	case !time.Now().Before(q.deadline):
		return q.refuse(http.StatusRequestTimeout, errDeadline)
	case q.h.ending.Ended():
		return q.refuse(http.StatusServiceUnavailable, drain.ErrStopping)
	default:
		return q.refuse(http.StatusBadRequest, errors.Wrap(err, "request body"))
	}
}

// computeFingerprint returns a hash that is equal for repetitions of the same request, whoever sends them. Of a streamed
// body it contains the length, if that is known, and the start.
func (q *request) computeFingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{q.r.Method, q.r.Host, q.r.RequestURI, q.callerHeaders.Object} {
		_, _ = d.WriteString(part) // writing to a hash never fails
		_, _ = d.Write([]byte{0})
	}
	if q.streamed {
		_, _ = d.WriteString(strconv.FormatInt(q.r.ContentLength, 10))
	}
	_, _ = d.Write(q.body)
	return crash.Fingerprint(d.Sum64(), q.hashHeader())
}

// hashHeader returns a hash of the header fields that a target sees, without those that differ between repetitions.
func (q *request) hashHeader() uint64 {
	return repeat.HeaderHash(q.r.Header, func(name string) bool {
		return isHopHeader(q.r.Header, name) || q.h.Headers.IsPerAttempt(name) || q.isIdentity(name)
	}) + q.workspaceHash()
}

// workspaceHash returns a hash of the workspace's name, which targets see in place of the key; 0 for none.
func (q *request) workspaceHash() uint64 {
	if q.workspace == nil {
		return 0
	}
	return xxhash.Sum64String(q.workspace.Name)
}

// callerHash returns a hash of the caller's network address.
func (q *request) callerHash() uint16 {
	return uint16(xxhash.Sum64String(callerNetwork(q.r.RemoteAddr)))
}

// ipv6Network is the length in bits of the prefix of IPv6 addresses that one caller has.
const ipv6Network = 64

// callerNetwork returns what identifies the caller at a remote address: its IP address, or the network of an
// IPv6 address.
func callerNetwork(remote string) string {
	ap, err := netip.ParseAddrPort(remote)
	if err != nil {
		return remote
	}
	ip := ap.Addr().Unmap()
	if ip.Is4() {
		return ip.String()
	}
	network, _ := ip.WithZone("").Prefix(ipv6Network) // the length is valid
	return network.String()
}
