package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lagoonlanding.example/demo/deployer"
)

const (
	connectionsPerDaemon = 64
	maxAnswerBytes       = 1 << 20
	// refusalGracePeriod is how long a caller waits beyond its own deadline for the daemon to refuse the request.
	refusalGracePeriod = 500 * time.Millisecond
)

// reply is the reply to one attempt.
type reply struct {
	outcome Outcome
	reason  string
	owner   string
}

// Client sends single attempts.
type Client struct {
	client *http.Client
}

// NewClient returns a client with a connection pool.
func NewClient() *Client {
	return &Client{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connectionsPerDaemon}}}
}

// Ticket requests a ticket from the daemon; it returns an empty string if there is none.
func (client *Client) Ticket(ctx context.Context, instance deployer.Instance) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.CallerAddress()+"/.lagoonlanding/ticket", nil)
	if err != nil {
		return ""
	}
	response, err := client.client.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Header.Get("Lagoonlanding-Ticket")
}

// Read sends one read of a key and returns the owner that answered, or false if there was no answer.
func (client *Client) Read(ctx context.Context, instance deployer.Instance, service deployer.Service, tenant deployer.Tenant, key string, wait time.Duration) (string, bool) {
	reply := client.send(ctx, instance, Operation{service: service, tenant: tenant, key: key}, wait)
	return reply.owner, reply.outcome == OutcomeAnswered
}

// send sends one attempt, which the daemon must answer within the wait.
func (client *Client) send(ctx context.Context, instance deployer.Instance, operation Operation, wait time.Duration) reply {
	ctx, cancel := context.WithTimeout(ctx, wait+refusalGracePeriod)
	defer cancel()
	request, err := newRequest(ctx, instance, operation, wait)
	if err != nil {
		return reply{outcome: OutcomeNotRun, reason: err.Error()}
	}
	response, err := client.client.Do(request)
	if err != nil {
		return replyFromError(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return replyFromError(err)
	}
	got := reply{
		outcome: Outcome(response.Header.Get("Lagoonlanding-Outcome")),
		reason:  response.Header.Get("Lagoonlanding-Reason"),
		owner:   response.Header.Get("Lagoonlanding-Owner"),
	}
	switch got.outcome {
	case OutcomeAnswered:
		return verifyAnswer(got, response.StatusCode, body, operation)
	case OutcomeNotRun, OutcomeUnknown:
		return got
	}
	return reply{outcome: OutcomeUnknown, reason: "no-outcome-" + strconv.Itoa(response.StatusCode)}
}

func newRequest(ctx context.Context, instance deployer.Instance, operation Operation, wait time.Duration) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if operation.write {
		method, body = http.MethodPost, strings.NewReader(`{"note":"demo"}`)
	}
	url := "http://" + instance.CallerAddress() + operation.service.Path() + operation.key
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, fmt.Errorf("create the request: %w", err)
	}
	request.Header.Set("Lagoonlanding-Tenant", operation.tenant.Name())
	request.Header.Set("Lagoonlanding-Deadline", strconv.FormatInt(wait.Milliseconds(), 10))
	if operation.write {
		request.Header.Set("Lagoonlanding-Idempotency-Key", operation.idempotencyKey)
		request.Header.Set("Lagoonlanding-Ticket", operation.ticket)
	}
	return request, nil
}

type answerJSON struct {
	Key string `json:"key"`
}

// verifyAnswer checks that the answer is complete and belongs to the operation.
func verifyAnswer(got reply, status int, body []byte, operation Operation) reply {
	if status != http.StatusOK {
		got.outcome, got.reason = OutcomeUnknown, "status-"+strconv.Itoa(status)
		return got
	}
	var answer answerJSON
	if err := json.Unmarshal(body, &answer); err != nil || answer.Key != operation.tenant.Workspace()+"/"+operation.key {
		got.outcome = OutcomeMismatched
	}
	return got
}

// replyFromError distinguishes a daemon that could not be reached from one that may have received the request.
func replyFromError(err error) reply {
	var operror *net.OpError
	if errors.As(err, &operror) && operror.Op == "dial" {
		return reply{outcome: OutcomeNotRun, reason: "no-daemon"}
	}
	return reply{outcome: OutcomeUnknown, reason: "connection-lost"}
}
