package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"lagoonlanding.example/lagoonlanding/operations/administrator/encoder"
)

// maxReplySize limits the size of a reply of the daemon.
const maxReplySize = 64 << 20

// Config holds the configuration of a Caller.
type Config struct {
	// URL is the administration address of a daemon.
	URL string
	// KeyFile is the path of the file with the operator's key, empty for none.
	KeyFile string
}

// Caller calls the administration API of one daemon.
type Caller struct {
	url string
	key string
}

// New returns a caller with the key from the key file.
func New(config Config) (*Caller, error) {
	caller := &Caller{url: strings.TrimRight(config.URL, "/")}
	if config.KeyFile == "" {
		return caller, nil
	}
	text, err := os.ReadFile(config.KeyFile)
	if err != nil {
		return nil, oops.In("caller").Wrapf(err, "reading the key")
	}
	// A line holds the operator's name and the key, or only the key; the first line is used.
	line, _, _ := strings.Cut(strings.TrimSpace(string(text)), "\n")
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return nil, oops.In("caller").Errorf("the key file %s is empty", config.KeyFile)
	}
	caller.key = fields[len(fields)-1]
	return caller, nil
}

// Plan returns the effects of publishing a set.
func (caller *Caller) Plan(ctx context.Context, setrequest encoder.SetRequest) (encoder.Plan, error) {
	return call[encoder.Plan](ctx, caller, http.MethodPost, "/v1/plan", setrequest)
}

// Publish replaces the set in force.
func (caller *Caller) Publish(ctx context.Context, setrequest encoder.SetRequest) (encoder.Outcome, error) {
	return call[encoder.Outcome](ctx, caller, http.MethodPost, "/v1/publish", setrequest)
}

// Zone takes a zone out of service or back in; action is out or return.
func (caller *Caller) Zone(ctx context.Context, zone, action string, zonerequest encoder.ZoneRequest) (encoder.Outcome, error) {
	return call[encoder.Outcome](ctx, caller, http.MethodPost, "/v1/zones/"+url.PathEscape(zone)+"/"+action, zonerequest)
}

// Set returns a published set; version zero is the set in force.
func (caller *Caller) Set(ctx context.Context, version uint64) (encoder.Set, error) {
	path := "/v1/set"
	if version > 0 {
		path += "?version=" + strconv.FormatUint(version, 10)
	}
	return call[encoder.Set](ctx, caller, http.MethodGet, path, nil)
}

// History returns the publications of the history.
func (caller *Caller) History(ctx context.Context) (encoder.History, error) {
	return call[encoder.History](ctx, caller, http.MethodGet, "/v1/history", nil)
}

// Status returns the status of the daemon and of the groups that it knows.
func (caller *Caller) Status(ctx context.Context) (encoder.Status, error) {
	return call[encoder.Status](ctx, caller, http.MethodGet, "/v1/status", nil)
}

// Confirmation checks whether a set is in force everywhere; version zero is the set in force.
func (caller *Caller) Confirmation(ctx context.Context, version uint64) (encoder.Confirmation, error) {
	return call[encoder.Confirmation](ctx, caller, http.MethodGet, "/v1/confirmation?version="+strconv.FormatUint(version, 10), nil)
}

// Explain returns which instance owns a key, and why.
func (caller *Caller) Explain(ctx context.Context, service, workspace, key string) (encoder.Explanation, error) {
	query := url.Values{"service": {service}, "workspace": {workspace}, "key": {key}}
	return call[encoder.Explanation](ctx, caller, http.MethodGet, "/v1/explain?"+query.Encode(), nil)
}

// Drain makes the daemon hand over its shards and stop.
func (caller *Caller) Drain(ctx context.Context) (encoder.Status, error) {
	return call[encoder.Status](ctx, caller, http.MethodPost, "/v1/drain", nil)
}

// Watch waits until the daemon applies a newer set than the version, or until the timeout of the daemon.
func (caller *Caller) Watch(ctx context.Context, after uint64) (encoder.Publication, error) {
	return call[encoder.Publication](ctx, caller, http.MethodGet, "/v1/watch?after="+strconv.FormatUint(after, 10), nil)
}

func call[Reply any](ctx context.Context, caller *Caller, method, path string, body any) (Reply, error) {
	var reply Reply
	text, err := json.Marshal(body)
	if err != nil {
		return reply, oops.In("caller").Wrapf(err, "encoding the call to %s", path)
	}
	request, err := http.NewRequestWithContext(ctx, method, caller.url+path, bytes.NewReader(text))
	if err != nil {
		return reply, oops.In("caller").Wrapf(err, "calling %s", path)
	}
	request.Header.Set("Content-Type", "application/json")
	if caller.key != "" {
		request.Header.Set("Authorization", "Bearer "+caller.key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply, oops.In("caller").Wrapf(err, "calling the daemon")
	}
	defer func() { _ = response.Body.Close() }()
	text, err = io.ReadAll(io.LimitReader(response.Body, maxReplySize))
	if err != nil {
		return reply, oops.In("caller").Wrapf(err, "reading the reply to %s", path)
	}
	return decode[Reply](response.StatusCode, text)
}

// decode decodes the reply, or returns the problem of an error reply.
func decode[Reply any](status int, text []byte) (Reply, error) {
	var reply Reply
	var message encoder.Error
	if status >= http.StatusBadRequest && json.Unmarshal(text, &message) == nil && isOnlyProblem(text) {
		return reply, oops.In("caller").Errorf("the daemon replied with status %d: %s", status, message.Problem)
	}
	if err := json.Unmarshal(text, &reply); err != nil {
		return reply, oops.In("caller").Wrapf(err, "the daemon replied with status %d and an unknown body", status)
	}
	return reply, nil
}

func isOnlyProblem(text []byte) bool {
	var fields map[string]json.RawMessage
	return json.Unmarshal(text, &fields) == nil && len(fields) == 1 && fields["problem"] != nil
}
