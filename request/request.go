// Package request parses a caller's HTTP request into the values that routing uses.
package request

import (
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"quetzalknot/version/config"
)

// Headers of callers' requests and of the responses to them.
const (
	HeaderService        = "Quetzal-Service"
	HeaderRequestID      = "Quetzal-Request-Id"
	HeaderTimeout        = "Quetzal-Timeout-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderClient is the client address that the caller passed to the look-up. Without
	// it, the remote address of the connection is used.
	HeaderClient = "Quetzal-Client"
)

// maxHeaderValue is the longest accepted request id or key, in bytes.
const maxHeaderValue = 200

// Info holds the values of a request that routing uses.
type Info struct {
	// ID is returned to the caller and written to every log line of the request.
	ID      string
	Service *config.Service
	Class   config.Class
	Method  string
	Path    string
	// Client is the address that determines the region and the session affinity.
	Client netip.Addr
	// Key is the idempotency key; empty when the caller sent none.
	Key      string
	Deadline time.Time
	// Idempotent is true when running the request twice has the same effect as once.
	Idempotent bool
	// Fingerprint is a hash by which a repeated request is recognised.
	Fingerprint uint64
	// Region limits the request to targets of one region; empty means all.
	Region string
	// HomeRegion serves the request when no traffic shift moves it.
	HomeRegion string
}

// AtMostOnce reports whether the request must not run more than once under its
// idempotency key.
func (i *Info) AtMostOnce() bool { return i.Key != "" && !i.Idempotent }

// BodyLimit returns the largest accepted request body in bytes, or fallback when neither
// the class nor the service sets a limit.
func (i *Info) BodyLimit(fallback int64) int64 {
	for _, n := range []int64{i.Class.MaxBodyBytes, i.Service.MaxBodyBytes} {
		if n > 0 {
			return n
		}
	}
	return fallback
}

// FieldError reports an invalid request header.
type FieldError struct {
	Field   string
	Value   string
	Allowed string
}

// Error implements the error interface.
func (e *FieldError) Error() string {
	return e.Field + " = " + strconv.Quote(e.Value) + ": " + e.Allowed
}

// ServiceName returns the name of the requested service: the header's value, or else the
// host name without its port.
func ServiceName(r *http.Request) string {
	if name := r.Header.Get(HeaderService); name != "" {
		return name
	}
	host, _, found := strings.Cut(r.Host, ":")
	if found {
		return host
	}
	return r.Host
}

// Parse reads the headers of a request for a service and determines its class, deadline
// and client address.
func Parse(r *http.Request, svc *config.Service, now time.Time) (*Info, error) {
	id, err := boundedHeader(r, HeaderRequestID)
	if err != nil {
		return nil, err
	}
	if id == "" {
		id = ulid.Make().String()
	}
	key, err := boundedHeader(r, HeaderIdempotencyKey)
	if err != nil {
		return nil, err
	}
	client, err := clientAddr(r)
	if err != nil {
		return nil, err
	}
	class := ClassOf(svc, r.Method, r.URL.Path)
	timeout, err := timeoutOf(r, svc, class)
	if err != nil {
		return nil, err
	}
	return &Info{
		ID: id, Service: svc, Class: class, Method: r.Method, Path: r.URL.Path,
		Client: client, Key: key, Deadline: now.Add(timeout),
		Idempotent: idempotentMethod(r.Method),
	}, nil
}

func boundedHeader(r *http.Request, name string) (string, error) {
	value := r.Header.Get(name)
	if len(value) > maxHeaderValue {
		return "", &FieldError{Field: name, Value: value[:maxHeaderValue], Allowed: "at most 200 bytes"}
	}
	return value, nil
}

func timeoutOf(r *http.Request, svc *config.Service, class config.Class) (time.Duration, error) {
	if text := r.Header.Get(HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > math.MaxInt32 {
			return 0, errors.WithStack(&FieldError{Field: HeaderTimeout, Value: text, Allowed: "whole milliseconds, 1 or more"})
		}
		return time.Duration(ms) * time.Millisecond, nil
	}
	for _, ms := range []int{class.TimeoutMS, svc.TimeoutMS, config.DefaultTimeoutMS} {
		if ms > 0 {
			return time.Duration(ms) * time.Millisecond, nil
		}
	}
	return 0, nil
}

// ClassOf returns the first class of the service that matches, or the class "short".
func ClassOf(svc *config.Service, method, path string) config.Class {
	for _, c := range svc.Classes {
		if strings.HasPrefix(path, c.PathPrefix) && methodMatches(c.Methods, method) {
			return c
		}
	}
	return config.Class{Name: "short"}
}

func methodMatches(methods []string, method string) bool {
	if len(methods) == 0 {
		return true
	}
	for _, m := range methods {
		if m == method {
			return true
		}
	}
	return false
}

func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// clientAddr returns the client address that determines a request's region and session
// affinity.
func clientAddr(r *http.Request) (netip.Addr, error) {
	if text := r.Header.Get(HeaderClient); text != "" {
		addr, err := netip.ParseAddr(text)
		if err != nil || addr.Zone() != "" {
			return netip.Addr{}, errors.WithStack(&FieldError{Field: HeaderClient, Value: text[:min(len(text), maxHeaderValue)], Allowed: "an IP address without a zone"})
		}
		return addr.Unmap(), nil
	}
	ap, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, nil
	}
	return ap.Addr().Unmap(), nil
}
