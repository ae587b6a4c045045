package settings

import "time"

// Default values of the settings in this file.
const (
	defaultHeaderBytes      = 64 << 10
	defaultBodyBytes        = 64 << 20
	defaultConnections      = 4096
	defaultStallMS          = 10_000
	defaultBytesPerSecond   = 1024
	defaultKeyRetentionMS   = 3_600_000
	defaultMaxKeys          = 100_000
	defaultMaxResponseBytes = 32 << 20
	defaultLookupWaitMS     = 6000
	defaultStopLimitMS      = 120_000
)

// Limits bounds the resources that callers can use on this host.
type Limits struct {
	// HeaderBytes is the largest request header. Default 65536.
	HeaderBytes int `toml:"header_bytes"`
	// BodyBytes is the largest request body if the ticket sets no limit. Default 67108864.
	BodyBytes int64 `toml:"body_bytes"`
	// Connections is the largest number of open connections of callers. Default 4096.
	Connections int `toml:"connections"`
	// StallMS is the longest time in milliseconds without a byte received from or sent to a
	// caller. Default 10000.
	StallMS int `toml:"stall_ms"`
	// BytesPerSecond is the smallest average rate at which a caller must send or read. Default 1024.
	BytesPerSecond int64 `toml:"bytes_per_second"`
}

// DefaultLimits returns the limits that apply if the settings file sets none.
func DefaultLimits() Limits {
	var l Limits
	l.applyDefaults()
	return l
}

// StallTimeout returns StallMS as a duration.
func (l *Limits) StallTimeout() time.Duration { return time.Duration(l.StallMS) * time.Millisecond }

func (l *Limits) applyDefaults() {
	setDefault(&l.HeaderBytes, defaultHeaderBytes)
	setDefault(&l.BodyBytes, defaultBodyBytes)
	setDefault(&l.Connections, defaultConnections)
	setDefault(&l.StallMS, defaultStallMS)
	setDefault(&l.BytesPerSecond, defaultBytesPerSecond)
}

// setDefault sets a field to value if the settings file does not set it.
func setDefault[T int | int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func (l *Limits) check(p *problems) {
	p.require(l.HeaderBytes > 0, "limits.header_bytes", l.HeaderBytes, "bytes, 1 or more")
	p.require(l.BodyBytes > 0, "limits.body_bytes", l.BodyBytes, "bytes, 1 or more")
	p.require(l.Connections > 0, "limits.connections", l.Connections, "1 or more")
	p.require(l.StallMS > 0, "limits.stall_ms", l.StallMS, "milliseconds, 1 or more")
	p.require(l.BytesPerSecond > 0, "limits.bytes_per_second", l.BytesPerSecond, "1 or more")
}

// Claims bounds the memory for idempotency keys.
type Claims struct {
	// KeepMS is how long in milliseconds a key and its response are kept. Default 3600000.
	KeepMS int `toml:"keep_ms"`
	// Keys is the largest number of keys that are kept. Default 100000.
	Keys int `toml:"keys"`
	// AnswerBytes is the largest total size in bytes of the responses that are kept for
	// duplicate requests. Default 33554432.
	AnswerBytes int64 `toml:"answer_bytes"`
}

// KeyLifetime returns KeepMS as a duration.
func (c *Claims) KeyLifetime() time.Duration { return time.Duration(c.KeepMS) * time.Millisecond }

func (c *Claims) applyDefaults() {
	setDefault(&c.KeepMS, defaultKeyRetentionMS)
	setDefault(&c.Keys, defaultMaxKeys)
	setDefault(&c.AnswerBytes, defaultMaxResponseBytes)
}

func (c *Claims) check(p *problems) {
	p.require(c.KeepMS >= 1000, "claims.keep_ms", c.KeepMS, "milliseconds, 1000 or more")
	p.require(c.Keys > 0, "claims.keys", c.Keys, "1 or more")
	p.require(c.AnswerBytes > 0, "claims.answer_bytes", c.AnswerBytes, "bytes, 1 or more")
}

// Stop holds the timeouts of a graceful shutdown.
type Stop struct {
	// LookupWaitMS is how long in milliseconds new requests are still accepted after the
	// host was removed from look-up answers. Default 6000: the longest time for which a
	// look-up answer may be cached, plus one second.
	LookupWaitMS int `toml:"lookup_wait_ms"`
	// LimitMS is the time in milliseconds after which requests still in flight are
	// aborted. Default 120000.
	LimitMS int `toml:"limit_ms"`
}

// LookupWait returns LookupWaitMS as a duration.
func (s *Stop) LookupWait() time.Duration { return time.Duration(s.LookupWaitMS) * time.Millisecond }

// TimeLimit returns LimitMS as a duration.
func (s *Stop) TimeLimit() time.Duration { return time.Duration(s.LimitMS) * time.Millisecond }

func (s *Stop) applyDefaults() {
	setDefault(&s.LookupWaitMS, defaultLookupWaitMS)
	setDefault(&s.LimitMS, defaultStopLimitMS)
}

func (s *Stop) check(p *problems) {
	p.require(s.LookupWaitMS > 0, "stop.lookup_wait_ms", s.LookupWaitMS, "milliseconds, 1 or more")
	p.require(s.LimitMS > s.LookupWaitMS, "stop.limit_ms", s.LimitMS, "more than stop.lookup_wait_ms")
}
