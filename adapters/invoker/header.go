package invoker

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// The header fields between a daemon and its backend server.
const (
	// HeaderRequestID names the request; the backend server returns it with its answer.
	HeaderRequestID = "Lagoonlanding-Request-Id"
	// HeaderIdempotencyKey names the request across its caller's tries.
	HeaderIdempotencyKey = "Lagoonlanding-Idempotency-Key"
	// HeaderKey is the workspace and the name of the key, separated by a slash.
	HeaderKey = "Lagoonlanding-Key"
	// HeaderTenant is the name of the caller's tenant.
	HeaderTenant = "Lagoonlanding-Tenant"
	// HeaderDeadline is the time that remains to the caller's deadline, in milliseconds.
	HeaderDeadline = "Lagoonlanding-Deadline-Ms"
	// HeaderFenceUntil is when the lease behind the fence lapses, in microseconds of the wall clock that daemon and backend server share.
	HeaderFenceUntil = "Lagoonlanding-Fence-Until"
	// HeaderFence is the proof of ownership: group, shard and fencing token.
	HeaderFence = "Lagoonlanding-Fence"
	// HeaderNotRun is "true" in an answer that says that the request was not run.
	HeaderNotRun = "Lagoonlanding-Not-Run"
)

// ReportPath is where a backend server tells of its load.
const ReportPath = "/.standin/report"

const fenceSeparator = ";"

// FormatFence returns the header value of a fence.
func FormatFence(fence lagoonlanding.Fence) string {
	return fmt.Sprintf("%s;%d;%d", fence.Group(), fence.Shard(), fence.Token())
}

// FormatFenceUntil returns the header value of a fence's deadline, empty for none.
func FormatFenceUntil(fence lagoonlanding.Fence) string {
	if fence.Deadline().IsZero() {
		return ""
	}
	return strconv.FormatInt(fence.Deadline().UnixMicro(), 10)
}

// ParseFenceUntil returns the fence with the deadline of a header value.
func ParseFenceUntil(fence lagoonlanding.Fence, value string) (lagoonlanding.Fence, error) {
	if value == "" {
		return fence, nil
	}
	micros, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return fence, fmt.Errorf("deadline of the fence %q: %w", value, err)
	}
	return fence.WithDeadline(time.UnixMicro(micros)), nil
}

// ParseFence returns the fence of a header value.
func ParseFence(value string) (lagoonlanding.Fence, error) {
	parts := strings.Split(value, fenceSeparator)
	if len(parts) != 3 {
		return lagoonlanding.Fence{}, fmt.Errorf("fence %q: %d parts instead of 3", value, len(parts))
	}
	service, partition, ok := strings.Cut(parts[0], "/")
	if !ok {
		return lagoonlanding.Fence{}, fmt.Errorf("fence %q: the group has no partition", value)
	}
	shard, err := strconv.ParseUint(parts[1], 10, 31)
	if err != nil {
		return lagoonlanding.Fence{}, fmt.Errorf("shard of the fence %q: %w", value, err)
	}
	token, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return lagoonlanding.Fence{}, fmt.Errorf("token of the fence %q: %w", value, err)
	}
	return lagoonlanding.NewFence(lagoonlanding.NewGroupID(service, partition), int(shard), token), nil
}
