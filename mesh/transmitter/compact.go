package transmitter

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// referencePrefix starts a value that names the header field which contains it.
const referencePrefix = "="

// The flags of a task; a daemon of an earlier release takes any of them for the first, which it does not use.
const (
	flagRepeated   = 1 << 0
	flagAtMostOnce = 1 << 1
	// flagAcceptsLevel means that the sender can decode results with a slowdown and an admission level.
	flagAcceptsLevel = 1 << 2
	// flagRelayed means that the receiver handles the task like a client's request.
	flagRelayed = 1 << 3
	// flagReturned and flagImpatient are the precedence of the task.
	flagReturned  = 1 << 4
	flagImpatient = 1 << 5
)

// The numbers of a compact result, without and with the slowdown and the admission level.
const (
	resultNumbers         = 8
	extendedResultNumbers = 10
)

var errFieldCount = errors.New("wrong number of fields")

// encodeCompactTask sets the header fields with the compact form of the metadata.
func encodeCompactTask(header http.Header, metadata taskMetadata) {
	flags := int64(flagAcceptsLevel)
	if metadata.Repeated {
		flags |= flagRepeated
	}
	if metadata.AtMostOnce {
		flags |= flagAtMostOnce
	}
	if metadata.Relayed {
		flags |= flagRelayed
	}
	switch metadata.Precedence {
	case lagoonlanding.PrecedenceReturned:
		flags |= flagReturned
	case lagoonlanding.PrecedenceImpatient:
		flags |= flagImpatient
	}
	header[headerCompactTask] = []string{fmt.Sprint(metadata.DeadlineMS, metadata.ObjectiveMS, metadata.Priority, flags)}
	id, key := referenceTo(header, metadata.ID), referenceTo(header, strconv.Itoa(metadata.ShardKey))
	workspace := referenceTo(header, metadata.Workspace)
	for name, value := range map[string]string{
		headerID: id, headerShardKey: key, headerService: metadata.Service, headerCaller: metadata.Caller, headerRoute: metadata.Route,
	} {
		header[name] = []string{value}
	}
	if metadata.Workspace != "" {
		header[headerWorkspace] = []string{workspace}
	}
}

// referenceTo returns a reference to the header field with the value, or the value itself if there is none.
func referenceTo(header http.Header, value string) string {
	for name, values := range header {
		if len(values) == 1 && values[0] == value {
			return referencePrefix + name
		}
	}
	return value
}

// resolve returns the value of a header field, or of the field that it refers to.
func resolve(header http.Header, field string) string {
	value := header.Get(field)
	if name, ok := strings.CutPrefix(value, referencePrefix); ok {
		return header.Get(name)
	}
	return value
}

// decodeCompactTask decodes the compact metadata in a header and removes its fields.
func decodeCompactTask(header http.Header, now time.Time) (lagoonlanding.TaskConfig, error) {
	numbers, err := parseNumbers(header.Get(headerCompactTask), 4)
	if err != nil {
		return lagoonlanding.TaskConfig{}, fmt.Errorf("decode %s: %w", headerCompactTask, err)
	}
	key, err := strconv.Atoi(resolve(header, headerShardKey))
	if err != nil {
		return lagoonlanding.TaskConfig{}, fmt.Errorf("decode %s: %w", headerShardKey, err)
	}
	metadata := taskMetadata{
		ID: resolve(header, headerID), DeadlineMS: numbers[0], ObjectiveMS: numbers[1], Priority: int(numbers[2]), Repeated: numbers[3]&flagRepeated != 0,
		AtMostOnce: numbers[3]&flagAtMostOnce != 0, ShardKey: key, Service: header.Get(headerService), Caller: header.Get(headerCaller), Route: header.Get(headerRoute),
		Workspace: resolve(header, headerWorkspace), Relayed: numbers[3]&flagRelayed != 0,
	}
	switch {
	case numbers[3]&flagReturned != 0:
		metadata.Precedence = lagoonlanding.PrecedenceReturned
	case numbers[3]&flagImpatient != 0:
		metadata.Precedence = lagoonlanding.PrecedenceImpatient
	}
	for _, name := range []string{headerCompactTask, headerID, headerShardKey, headerService, headerCaller, headerRoute, headerWorkspace} {
		header.Del(name)
	}
	return metadata.Value(now)
}

// acceptsLevel reports whether the sender of a compact task can decode results with a slowdown and an admission level.
func acceptsLevel(header http.Header) bool {
	numbers, err := parseNumbers(header.Get(headerCompactTask), 4)
	return err == nil && numbers[3]&flagAcceptsLevel != 0
}

// encodeCompactResult sets the header field with the compact form of the metadata; the extended form has a slowdown and an admission level.
func encodeCompactResult(header http.Header, metadata resultMetadata, isExtended bool) {
	delivered, open := 0, 0
	if metadata.Delivered {
		delivered = 1
	}
	if metadata.Open {
		open = 1
	}
	text := fmt.Sprint(
		int(metadata.Outcome), delivered, open, metadata.Waiting, metadata.Running, metadata.Slots, metadata.MeanRunTimeMS, metadata.RetryMS)
	if isExtended {
		text += " " + fmt.Sprint(metadata.SlowdownPercent, metadata.Level)
	}
	header[headerCompactResult] = []string{strings.TrimSuffix(text+" "+string(metadata.Reason), " ")}
}

// decodeCompactResult decodes the compact metadata in a header and removes its field.
func decodeCompactResult(header http.Header, now time.Time) (lagoonlanding.ResultConfig, error) {
	text := header.Get(headerCompactResult)
	reason, count := "", resultNumbers
	fields := strings.Count(text, " ") + 1
	if fields >= extendedResultNumbers {
		count = extendedResultNumbers
	}
	if last := strings.LastIndexByte(text, ' '); last >= 0 && fields == count+1 {
		text, reason = text[:last], text[last+1:]
	}
	numbers, err := parseNumbers(text, count)
	if err != nil {
		return lagoonlanding.ResultConfig{}, fmt.Errorf("decode %s: %w", headerCompactResult, err)
	}
	header.Del(headerCompactResult)
	metadata := resultMetadata{
		Outcome: lagoonlanding.Outcome(numbers[0]), Delivered: numbers[1] != 0, Open: numbers[2] != 0, Waiting: int(numbers[3]),
		Running: int(numbers[4]), Slots: int(numbers[5]), MeanRunTimeMS: numbers[6], RetryMS: numbers[7], Reason: lagoonlanding.Reason(reason),
	}
	if count == extendedResultNumbers {
		metadata.SlowdownPercent, metadata.Level = numbers[8], uint32(max(numbers[9], 0))
	}
	return metadata.Value(now)
}

// parseNumbers returns the numbers in a text that are separated by spaces.
func parseNumbers(text string, count int) ([]int64, error) {
	fields := strings.Fields(text)
	if len(fields) != count {
		return nil, errFieldCount
	}
	numbers := make([]int64, count)
	for index, field := range fields {
		number, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return nil, err
		}
		numbers[index] = number
	}
	return numbers, nil
}
