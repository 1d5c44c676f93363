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

// maxAnswerSize bounds an answer of the daemon.
const maxAnswerSize = 64 << 20

// Config holds what a Caller needs.
type Config struct {
	// URL is the administration address of a daemon.
	URL string
	// KeyFile is the path of the operator's key, empty for none.
	KeyFile string
}

// Caller calls the administration API of one daemon.
type Caller struct {
	url string
	key string
}

// New returns a caller with the key from its file.
func New(config Config) (*Caller, error) {
	caller := &Caller{url: strings.TrimRight(config.URL, "/")}
	if config.KeyFile == "" {
		return caller, nil
	}
	text, err := os.ReadFile(config.KeyFile)
	if err != nil {
		return nil, oops.In("caller").Wrapf(err, "reading the key")
	}
	// A line holds the operator's name and the key, or only the key; the first line counts.
	line, _, _ := strings.Cut(strings.TrimSpace(string(text)), "\n")
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return nil, oops.In("caller").Errorf("the key file %s is empty", config.KeyFile)
	}
	caller.key = fields[len(fields)-1]
	return caller, nil
}

// Plan asks what a set would do.
func (caller *Caller) Plan(ctx context.Context, order encoder.SetRequest) (encoder.Plan, error) {
	return call[encoder.Plan](ctx, caller, http.MethodPost, "/v1/plan", order)
}

// Publish asks to replace the set in force.
func (caller *Caller) Publish(ctx context.Context, order encoder.SetRequest) (encoder.Outcome, error) {
	return call[encoder.Outcome](ctx, caller, http.MethodPost, "/v1/publish", order)
}

// Zone asks to take a zone out or back; action is out or return.
func (caller *Caller) Zone(ctx context.Context, zone, action string, order encoder.ZoneRequest) (encoder.Outcome, error) {
	return call[encoder.Outcome](ctx, caller, http.MethodPost, "/v1/zones/"+url.PathEscape(zone)+"/"+action, order)
}

// Set asks for a published set, zero for the one in force.
func (caller *Caller) Set(ctx context.Context, version uint64) (encoder.Set, error) {
	path := "/v1/set"
	if version > 0 {
		path += "?version=" + strconv.FormatUint(version, 10)
	}
	return call[encoder.Set](ctx, caller, http.MethodGet, path, nil)
}

// History asks for the kept publications.
func (caller *Caller) History(ctx context.Context) (encoder.History, error) {
	return call[encoder.History](ctx, caller, http.MethodGet, "/v1/history", nil)
}

// Status asks for what the daemon knows of the fleet.
func (caller *Caller) Status(ctx context.Context) (encoder.Status, error) {
	return call[encoder.Status](ctx, caller, http.MethodGet, "/v1/status", nil)
}

// Confirmation asks whether a set is in force everywhere, zero for the newest.
func (caller *Caller) Confirmation(ctx context.Context, version uint64) (encoder.Confirmation, error) {
	return call[encoder.Confirmation](ctx, caller, http.MethodGet, "/v1/confirmation?version="+strconv.FormatUint(version, 10), nil)
}

// Explain asks why a key is where it is.
func (caller *Caller) Explain(ctx context.Context, service, workspace, key string) (encoder.Explanation, error) {
	query := url.Values{"service": {service}, "workspace": {workspace}, "key": {key}}
	return call[encoder.Explanation](ctx, caller, http.MethodGet, "/v1/explain?"+query.Encode(), nil)
}

// Drain asks the daemon to hand over its shards and stop.
func (caller *Caller) Drain(ctx context.Context) (encoder.Status, error) {
	return call[encoder.Status](ctx, caller, http.MethodPost, "/v1/drain", nil)
}

// Watch waits until the daemon applies a newer set than the version, or some time has passed.
func (caller *Caller) Watch(ctx context.Context, after uint64) (encoder.Publication, error) {
	return call[encoder.Publication](ctx, caller, http.MethodGet, "/v1/watch?after="+strconv.FormatUint(after, 10), nil)
}

func call[Answer any](ctx context.Context, caller *Caller, method, path string, body any) (Answer, error) {
	var answer Answer
	text, err := json.Marshal(body)
	if err != nil {
		return answer, oops.In("caller").Wrapf(err, "encoding the call to %s", path)
	}
	request, err := http.NewRequestWithContext(ctx, method, caller.url+path, bytes.NewReader(text))
	if err != nil {
		return answer, oops.In("caller").Wrapf(err, "calling %s", path)
	}
	request.Header.Set("Content-Type", "application/json")
	if caller.key != "" {
		request.Header.Set("Authorization", "Bearer "+caller.key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, oops.In("caller").Wrapf(err, "calling the daemon")
	}
	defer func() { _ = response.Body.Close() }()
	text, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if err != nil {
		return answer, oops.In("caller").Wrapf(err, "reading the answer to %s", path)
	}
	return decode[Answer](response.StatusCode, text)
}

// decode reads the answer, or the problem that stands in its place.
func decode[Answer any](status int, text []byte) (Answer, error) {
	var answer Answer
	var failure encoder.Error
	if status >= http.StatusBadRequest && json.Unmarshal(text, &failure) == nil && isOnlyProblem(text) {
		return answer, oops.In("caller").Errorf("the daemon answers %d: %s", status, failure.Problem)
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return answer, oops.In("caller").Wrapf(err, "the daemon answers %d without a form that is known", status)
	}
	return answer, nil
}

func isOnlyProblem(text []byte) bool {
	var fields map[string]json.RawMessage
	return json.Unmarshal(text, &fields) == nil && len(fields) == 1 && fields["problem"] != nil
}
