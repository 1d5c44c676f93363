package invoker

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Header fields exchanged by a daemon and its backend server.
const (
	// HeaderRequestID identifies the request; the backend server must return it in its answer.
	HeaderRequestID = "Lagoonlanding-Request-Id"
	// HeaderIdempotencyKey identifies the request across its caller's attempts.
	HeaderIdempotencyKey = "Lagoonlanding-Idempotency-Key"
	// HeaderKey is the workspace and the name of the key, separated by a slash.
	HeaderKey = "Lagoonlanding-Key"
	// HeaderTenant is the name of the caller's tenant.
	HeaderTenant = "Lagoonlanding-Tenant"
	// HeaderDeadline is the time that remains to the caller's deadline, in milliseconds.
	HeaderDeadline = "Lagoonlanding-Deadline-Ms"
	// HeaderFenceUntil is when the lease behind the fence expires, in Unix microseconds of the wall clock that daemon and backend server share.
	HeaderFenceUntil = "Lagoonlanding-Fence-Until"
	// HeaderFence is the proof of ownership: group, shard and fencing token.
	HeaderFence = "Lagoonlanding-Fence"
	// HeaderNotRun is "true" in an answer to a request that was not run.
	HeaderNotRun = "Lagoonlanding-Not-Run"
)

// ReportPath is the path at which a backend server reports its readiness and load.
const ReportPath = "/.standin/report"

const fenceSeparator = ";"

// FormatFence returns the header value of a fence.
func FormatFence(fence lagoonlanding.Fence) string {
	return fmt.Sprintf("%s;%d;%d", fence.Group(), fence.Shard(), fence.Token())
}

// FormatFenceUntil returns the header value of a fence's deadline, or an empty string if it has none.
func FormatFenceUntil(fence lagoonlanding.Fence) string {
	if fence.Deadline().IsZero() {
		return ""
	}
	return strconv.FormatInt(fence.Deadline().UnixMicro(), 10)
}

// ParseFenceUntil returns the fence with the deadline parsed from a header value.
func ParseFenceUntil(fence lagoonlanding.Fence, value string) (lagoonlanding.Fence, error) {
	if value == "" {
		return fence, nil
	}
	micros, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return fence, fmt.Errorf("parse the deadline of the fence %q: %w", value, err)
	}
	return fence.WithDeadline(time.UnixMicro(micros)), nil
}

// ParseFence parses the header value of a fence.
func ParseFence(value string) (lagoonlanding.Fence, error) {
	fields := strings.Split(value, fenceSeparator)
	if len(fields) != 3 {
		return lagoonlanding.Fence{}, fmt.Errorf("parse the fence %q: got %d fields, want 3", value, len(fields))
	}
	service, partition, ok := strings.Cut(fields[0], "/")
	if !ok {
		return lagoonlanding.Fence{}, fmt.Errorf("parse the fence %q: the group has no partition", value)
	}
	shard, err := strconv.ParseUint(fields[1], 10, 31)
	if err != nil {
		return lagoonlanding.Fence{}, fmt.Errorf("parse the shard of the fence %q: %w", value, err)
	}
	token, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return lagoonlanding.Fence{}, fmt.Errorf("parse the token of the fence %q: %w", value, err)
	}
	return lagoonlanding.NewFence(lagoonlanding.NewGroupID(service, partition), int(shard), token), nil
}
