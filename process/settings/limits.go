package settings

import "time"

// Defaults of the limits.
const (
	defaultHeaderBytes    = 64 << 10
	defaultBodyBytes      = 64 << 20
	defaultConnections    = 4096
	defaultStallMS        = 10_000
	defaultBytesPerSecond = 1024
	defaultKeepKeysMS     = 3_600_000
	defaultKeyCount       = 100_000
	defaultAnswerBytes    = 32 << 20
	defaultLookupWaitMS   = 6000
	defaultStopLimitMS    = 120_000
)

// Limits bound what callers may cost this host.
type Limits struct {
	// HeaderBytes is the largest request header. Default 65536.
	HeaderBytes int `toml:"header_bytes"`
	// BodyBytes is the largest request body where the ticket states none. Default 67108864.
	BodyBytes int64 `toml:"body_bytes"`
	// Connections is how many callers' connections are open at once. Default 4096.
	Connections int `toml:"connections"`
	// StallMS is the longest time in milliseconds without a byte from or to a caller. Default 10000.
	StallMS int `toml:"stall_ms"`
	// BytesPerSecond is the smallest average rate of a caller that sends or reads. Default 1024.
	BytesPerSecond int64 `toml:"bytes_per_second"`
}

// DefaultLimits returns the limits of a file that states none.
func DefaultLimits() Limits {
	var l Limits
	l.applyDefaults()
	return l
}

// Stall returns the longest time without a byte from or to a caller.
func (l *Limits) Stall() time.Duration { return time.Duration(l.StallMS) * time.Millisecond }

func (l *Limits) applyDefaults() {
	fill(&l.HeaderBytes, defaultHeaderBytes)
	fill(&l.BodyBytes, defaultBodyBytes)
	fill(&l.Connections, defaultConnections)
	fill(&l.StallMS, defaultStallMS)
	fill(&l.BytesPerSecond, defaultBytesPerSecond)
}

// fill sets a value that the file leaves out.
func fill[T int | int64](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

func (l *Limits) check(p *problems) {
	p.require(l.HeaderBytes > 0, "limits.header_bytes", l.HeaderBytes, "bytes, 1 or more")
	p.require(l.BodyBytes > 0, "limits.body_bytes", l.BodyBytes, "bytes, 1 or more")
	p.require(l.Connections > 0, "limits.connections", l.Connections, "1 or more")
	p.require(l.StallMS > 0, "limits.stall_ms", l.StallMS, "milliseconds, 1 or more")
	p.require(l.BytesPerSecond > 0, "limits.bytes_per_second", l.BytesPerSecond, "1 or more")
}

// Claims bound the memory for idempotency keys.
type Claims struct {
	// KeepMS is how long in milliseconds a key and its answer are known. Default 3600000.
	KeepMS int `toml:"keep_ms"`
	// Keys is how many keys are known at once. Default 100000.
	Keys int `toml:"keys"`
	// AnswerBytes is how many bytes of answers are kept for duplicates. Default 33554432.
	AnswerBytes int64 `toml:"answer_bytes"`
}

// Keep returns how long a key is known.
func (c *Claims) Keep() time.Duration { return time.Duration(c.KeepMS) * time.Millisecond }

func (c *Claims) applyDefaults() {
	fill(&c.KeepMS, defaultKeepKeysMS)
	fill(&c.Keys, defaultKeyCount)
	fill(&c.AnswerBytes, defaultAnswerBytes)
}

func (c *Claims) check(p *problems) {
	p.require(c.KeepMS >= 1000, "claims.keep_ms", c.KeepMS, "milliseconds, 1000 or more")
	p.require(c.Keys > 0, "claims.keys", c.Keys, "1 or more")
	p.require(c.AnswerBytes > 0, "claims.answer_bytes", c.AnswerBytes, "bytes, 1 or more")
}

// Stop sets the times of a planned stop.
type Stop struct {
	// LookupWaitMS is how long in milliseconds requests are still taken after the
	// host has left the look-ups. Default 6000: the longest time for which a look-up answer may be cached, and a second.
	LookupWaitMS int `toml:"lookup_wait_ms"`
	// LimitMS is the time in milliseconds after which the requests still in flight are cut. Default 120000.
	LimitMS int `toml:"limit_ms"`
}

// LookupWait returns how long requests are still taken.
func (s *Stop) LookupWait() time.Duration { return time.Duration(s.LookupWaitMS) * time.Millisecond }

// Limit returns the time after which requests in flight are cut.
func (s *Stop) Limit() time.Duration { return time.Duration(s.LimitMS) * time.Millisecond }

func (s *Stop) applyDefaults() {
	fill(&s.LookupWaitMS, defaultLookupWaitMS)
	fill(&s.LimitMS, defaultStopLimitMS)
}

func (s *Stop) check(p *problems) {
	p.require(s.LookupWaitMS > 0, "stop.lookup_wait_ms", s.LookupWaitMS, "milliseconds, 1 or more")
	p.require(s.LimitMS > s.LookupWaitMS, "stop.limit_ms", s.LimitMS, "more than stop.lookup_wait_ms")
}
