package caller

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"lagoonlanding.example/demo/deployer"
)

// instance returns the first instance of a plan whose caller address is the given address.
func instance(t *testing.T, plan deployer.Plan, address string) deployer.Instance {
	t.Helper()
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	const callerPort = 2
	return plan.Instances(port - callerPort)[0]
}

func TestSendOutcomes(t *testing.T) {
	plan, err := deployer.NewPlan("karotsaki")
	if err != nil {
		t.Fatal(err)
	}
	operation := Operation{service: plan.Services()[0], tenant: plan.Tenants()[0], key: "k-1"}
	answer := func(outcome, body string, status int) http.HandlerFunc {
		return func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Lagoonlanding-Outcome", outcome)
			writer.WriteHeader(status)
			_, _ = io.WriteString(writer, body)
		}
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    Outcome
	}{
		{"own answer", answer("answered", `{"key":"mesh/k-1"}`, 200), OutcomeAnswered},
		{"answer for another key", answer("answered", `{"key":"mesh/k-2"}`, 200), OutcomeMismatched},
		{"error from the backend server", answer("answered", "", 500), OutcomeUnknown},
		{"refusal", answer("not-run", "", 503), OutcomeNotRun},
		{"unknown", answer("unknown", "", 504), OutcomeUnknown},
		{"no outcome", answer("", "", 502), OutcomeUnknown},
		{"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, OutcomeUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			address := strings.TrimPrefix(server.URL, "http://")
			got := NewClient().send(t.Context(), instance(t, plan, address), operation, time.Minute)
			server.Close()
			if got.outcome != test.want {
				t.Errorf("got %s %s", got.outcome, got.reason)
			}
			if got := NewClient().send(t.Context(), instance(t, plan, address), operation, time.Minute); got.outcome != OutcomeNotRun {
				t.Errorf("without a daemon: %s", got.outcome)
			}
		})
	}
}

func TestRefusalAfterUnknownAttemptStaysUnknown(t *testing.T) {
	refused := Result{outcome: OutcomeNotRun, reason: "queue-full"}
	if got := finalResult(refused, "connection-lost"); got.Outcome() != OutcomeUnknown {
		t.Errorf("after an attempt with unknown outcome: %s", got.Outcome())
	}
	if got := finalResult(refused, ""); got.Outcome() != OutcomeNotRun {
		t.Errorf("without an attempt with unknown outcome: %s", got.Outcome())
	}
	if got := finalResult(Result{outcome: OutcomeAnswered}, "connection-lost"); got.Outcome() != OutcomeAnswered {
		t.Errorf("answered after an attempt with unknown outcome: %s", got.Outcome())
	}
}
