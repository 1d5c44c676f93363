package receiver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

var start = time.Unix(1_700_000_000, 0)

// fixedState is a Clock and a snapshot Source that never change.
type fixedState struct{ snapshot *router.Snapshot }

func (fixedstate fixedState) Now() time.Time { return start }

func (fixedstate fixedState) Until(time.Time) <-chan time.Time { return nil }

func (fixedstate fixedState) Current() *router.Snapshot { return fixedstate.snapshot }

func (fixedstate fixedState) Changed() <-chan struct{} { return nil }

// recorder is a RequestHandler and a Meter that record their calls.
type recorder struct {
	requests []lagoonlanding.Request
	reply    func(lagoonlanding.Request) lagoonlanding.Reply
	finished []lagoonlanding.Reply
}

func (recorder *recorder) Dispatch(_ context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
	recorder.requests = append(recorder.requests, request)
	return recorder.reply(request)
}

func (recorder *recorder) Finished(_ lagoonlanding.Request, reply lagoonlanding.Reply, _ time.Duration) {
	recorder.finished = append(recorder.finished, reply)
}

func instance(name, region string) lagoonlanding.Instance {
	return lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
		ID: lagoonlanding.NewInstanceID(name, 5), CallerAddress: "10.0.0.1:8000", Region: region, AvailabilityZone: "piraeus",
	})
}

func sampleSet() *publisher.Set {
	return publisher.NewSet(publisher.SetConfig{
		Version: 4,
		Services: []publisher.Service{
			publisher.NewService(publisher.ServiceConfig{Name: "status-app", Divided: true, LongestDeadline: 2 * time.Second}),
		},
		Workspaces: []publisher.Workspace{
			publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "mesh"}),
			publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "north", HomeRegions: []string{"macedonia"}}),
		},
		Tenants: []publisher.Tenant{
			publisher.NewTenant(publisher.TenantConfig{Name: "mall", Workspace: "mesh"}),
			publisher.NewTenant(publisher.TenantConfig{Name: "museum", Workspace: "north"}),
		},
		Routes: []publisher.Route{
			publisher.NewRoute(publisher.RouteConfig{Name: "tags", Path: "/tags/{key}", Service: "status-app", Class: "lookup"}),
			publisher.NewRoute(publisher.RouteConfig{
				Name: "seen", Path: "/tags/{key}/seen", Methods: []string{"PUT"}, Service: "status-app", Class: "lookup", Idempotent: true,
			}),
		},
	})
}

func snapshot() *router.Snapshot {
	group := lagoonlanding.NewGroupID("status-app", "macedonia")
	home := lagoonlanding.NewMember(instance("far", "macedonia"), lagoonlanding.MemberActive, 100)
	layout := lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{Version: 1, Members: []lagoonlanding.Member{home}})
	record := lagoonlanding.NewRecord(group, layout, lagoonlanding.Layout{}, 1)
	return router.NewSnapshot(router.SnapshotConfig{
		Self: instance("near", "attica"), Set: sampleSet(), Revision: 9,
		Groups: map[lagoonlanding.GroupID]router.Group{group: router.NewGroup(record, lagoonlanding.Placement{})},
	})
}

func newReceiver(snapshot *router.Snapshot, recorder *recorder) *Receiver {
	fixedstate := fixedState{snapshot: snapshot}
	return New(Config{Snapshots: fixedstate, Handler: recorder, Clock: fixedstate, Meter: recorder, BodyLimit: 8})
}

func answered(request lagoonlanding.Request) lagoonlanding.Reply {
	return lagoonlanding.NewReply(lagoonlanding.ReplyConfig{
		RequestID: request.ID(), Outcome: lagoonlanding.OutcomeAnswered, Status: http.StatusCreated,
		Headers: []lagoonlanding.Header{lagoonlanding.NewHeader("Content-Type", "text/plain")},
		Body:    []byte("whole"), Owner: instance("owner", "attica"), Repeated: true,
	})
}

func send(receiver *Receiver, method, target, body string, fields ...string) *httptest.ResponseRecorder {
	message := httptest.NewRequest(method, target, strings.NewReader(body))
	message.Header.Set(headerTenant, "mall")
	for i := 0; i < len(fields); i += 2 {
		message.Header.Set(fields[i], fields[i+1])
	}
	writer := httptest.NewRecorder()
	receiver.ServeHTTP(writer, message)
	return writer
}

func TestRequestIsDispatchedUnchanged(t *testing.T) {
	recorder := &recorder{reply: answered}
	writer := send(newReceiver(snapshot(), recorder), "POST", "/tags/a%2Fb?full=1", "body",
		headerIdempotencyKey, "k-1", headerTicket, "7-1700000000000", headerDeadline, "250",
		"Accept", "text/plain", "Connection", "close, X-Hop", "X-Hop", "1", "Te", "trailers")
	request := recorder.requests[0]
	want := lagoonlanding.NewKey("status-app", "mesh", "a/b")
	if request.Key() != want || request.Path() != "/tags/a%2Fb?full=1" || string(request.Body()) != "body" || request.Method() != "POST" {
		t.Errorf("got %+v", request)
	}
	if request.Tenant() != "mall" || request.Class() != "lookup" || request.SetVersion() != 4 || request.IsIdempotent() {
		t.Errorf("got %+v", request)
	}
	if !request.Deadline().Equal(start.Add(250*time.Millisecond)) || request.IdempotencyKey() != "k-1" {
		t.Errorf("got deadline %v, idempotency key %q", request.Deadline(), request.IdempotencyKey())
	}
	if request.Ticket() != lagoonlanding.NewTicket(7, time.UnixMilli(1700000000000)) {
		t.Errorf("got ticket %v", request.Ticket())
	}
	if len(request.Headers()) != 1 || request.Headers()[0] != lagoonlanding.NewHeader("Accept", "text/plain") {
		t.Errorf("got fields %v", request.Headers())
	}
	fields := writer.Header()
	if writer.Code != http.StatusCreated || writer.Body.String() != "whole" || fields.Get("Content-Type") != "text/plain" ||
		fields.Get(headerOutcome) != "answered" || fields.Get(headerOwner) != "owner" || fields.Get(headerOwnerAddress) != "10.0.0.1:8000" ||
		fields.Get(headerRepeated) != "true" || fields.Get(headerTicket) != "9-1700000000000" || fields.Get(headerRequestID) != request.ID() {
		t.Errorf("got %d %q %v", writer.Code, writer.Body, fields)
	}
	if len(recorder.finished) != 1 {
		t.Errorf("%d replies were recorded by the meter", len(recorder.finished))
	}
}

func TestDeadlineIsLimitedByTheService(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 2 * time.Second, "9000": 2 * time.Second, "1": time.Millisecond} {
		recorder := &recorder{reply: answered}
		send(newReceiver(snapshot(), recorder), "GET", "/tags/7", "", headerDeadline, text)
		if got := recorder.requests[0].Deadline().Sub(start); got != want {
			t.Errorf("deadline %q: got %v, want %v", text, got, want)
		}
	}
}

func TestRefusalsBeforeDispatch(t *testing.T) {
	valid := []string{headerIdempotencyKey, "k", headerTicket, "7-1"}
	cases := []struct {
		name, method, target, body string
		fields                     []string
		status                     int
		reason                     lagoonlanding.Reason
	}{
		{"unknown route", "GET", "/nowhere/7", "", nil, 404, lagoonlanding.ReasonNoRoute},
		{"malformed key", "GET", "/tags/a%00b", "", nil, 400, lagoonlanding.ReasonMalformed},
		{"dot segment", "GET", "/tags/../7", "", nil, 400, lagoonlanding.ReasonMalformed},
		{"malformed deadline", "GET", "/tags/7", "", []string{headerDeadline, "soon"}, 400, lagoonlanding.ReasonMalformed},
		{"zero deadline", "GET", "/tags/7", "", []string{headerDeadline, "0"}, 400, lagoonlanding.ReasonMalformed},
		{"negative deadline", "GET", "/tags/7", "", []string{headerDeadline, "-5"}, 400, lagoonlanding.ReasonMalformed},
		{"huge deadline", "GET", "/tags/7", "", []string{headerDeadline, "99999999999999999999"}, 400, lagoonlanding.ReasonMalformed},
		{"malformed ticket", "POST", "/tags/7", "", []string{headerIdempotencyKey, "k", headerTicket, "now"}, 400, lagoonlanding.ReasonMalformed},
		{"malformed idempotency key", "POST", "/tags/7", "", []string{headerIdempotencyKey, "a b"}, 400, lagoonlanding.ReasonMalformed},
		{"unknown tenant", "GET", "/tags/7", "", []string{headerTenant, "stranger"}, 403, lagoonlanding.ReasonUnknownTenant},
		{"no idempotency key", "POST", "/tags/7", "", nil, 428, lagoonlanding.ReasonKeyMissing},
		{"no ticket", "DELETE", "/tags/7", "", []string{headerIdempotencyKey, "k"}, 428, lagoonlanding.ReasonTicketMissing},
		{"oversized body", "POST", "/tags/7", "123456789", valid, 413, lagoonlanding.ReasonTooLarge},
		{"outside the home regions", "GET", "/tags/7", "", []string{headerTenant, "museum"}, 421, lagoonlanding.ReasonOutsideRegion},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			recorder := &recorder{reply: answered}
			writer := send(newReceiver(snapshot(), recorder), test.method, test.target, test.body, test.fields...)
			if writer.Code != test.status || writer.Header().Get(headerReason) != string(test.reason) || writer.Header().Get(headerOutcome) != "not-run" {
				t.Errorf("got %d %v", writer.Code, writer.Header())
			}
			if len(recorder.requests) > 0 {
				t.Error("the request was dispatched")
			}
		})
	}
}

func TestOversizedBodyOfUnknownLengthIsRefused(t *testing.T) {
	recorder := &recorder{reply: answered}
	message := httptest.NewRequest("PUT", "/tags/7/seen", strings.NewReader("123456789"))
	message.ContentLength = -1
	message.Header.Set(headerTenant, "mall")
	writer := httptest.NewRecorder()
	newReceiver(snapshot(), recorder).ServeHTTP(writer, message)
	if writer.Code != http.StatusRequestEntityTooLarge || len(recorder.requests) > 0 {
		t.Errorf("got %d", writer.Code)
	}
}

func TestRouteMarksRequestIdempotent(t *testing.T) {
	recorder := &recorder{reply: answered}
	send(newReceiver(snapshot(), recorder), "PUT", "/tags/7/seen", "")
	if !recorder.requests[0].IsIdempotent() {
		t.Error("the idempotent flag of the route was not applied")
	}
}

func TestCallerOutsideHomeRegionsGetsHomeAddresses(t *testing.T) {
	writer := send(newReceiver(snapshot(), &recorder{reply: answered}), "GET", "/tags/7", "", headerTenant, "museum")
	if writer.Header().Get(headerOwnerAddress) != "10.0.0.1:8000" || !strings.Contains(writer.Body.String(), `"addresses":["10.0.0.1:8000"]`) {
		t.Errorf("got %v %s", writer.Header(), writer.Body)
	}
}

func TestStatusOfRepliesWithoutAnswer(t *testing.T) {
	cases := []struct {
		reply  func(lagoonlanding.Request) lagoonlanding.Reply
		status int
		retry  string
	}{
		{func(request lagoonlanding.Request) lagoonlanding.Reply {
			return lagoonlanding.Refuse(request, lagoonlanding.ReasonMoving).WithRetryAfter(start.Add(1200 * time.Millisecond))
		}, 503, "2"},
		{func(request lagoonlanding.Request) lagoonlanding.Reply {
			return lagoonlanding.Refuse(request, lagoonlanding.ReasonTenantLimit)
		}, 429, ""},
		{func(request lagoonlanding.Request) lagoonlanding.Reply {
			return lagoonlanding.UnknownOutcome(request, lagoonlanding.ReasonConnectionLost)
		}, 504, ""},
	}
	for _, test := range cases {
		writer := send(newReceiver(snapshot(), &recorder{reply: test.reply}), "GET", "/tags/7", "")
		if writer.Code != test.status || writer.Header().Get("Retry-After") != test.retry {
			t.Errorf("got %d, Retry-After %q; want %d, %q", writer.Code, writer.Header().Get("Retry-After"), test.status, test.retry)
		}
	}
}

func TestDaemonEndpoints(t *testing.T) {
	notReady := router.NewSnapshot(router.SnapshotConfig{Self: instance("near", "attica")})
	leaving := router.NewSnapshot(router.SnapshotConfig{Self: instance("near", "attica"), Set: sampleSet(), Revision: 9, Leaving: true})
	cases := []struct {
		snapshot     *router.Snapshot
		method, path string
		status       int
		body         string
	}{
		{notReady, "GET", pathLive, 200, ""},
		{notReady, "GET", pathReady, 503, "the store has not answered yet"},
		{notReady, "GET", pathTicket, 503, ""},
		{notReady, "GET", "/tags/7", 503, "not-ready"},
		{leaving, "GET", pathReady, 503, "leaving"},
		{snapshot(), "GET", pathReady, 200, `"ready":true`},
		{snapshot(), "GET", pathTicket, 200, `"ticket":"9-1700000000000"`},
		{snapshot(), "POST", pathTicket, 405, ""},
		{snapshot(), "GET", "/.lagoonlanding/other", 404, ""},
	}
	for _, test := range cases {
		writer := send(newReceiver(test.snapshot, &recorder{reply: answered}), test.method, test.path, "")
		if writer.Code != test.status || !strings.Contains(writer.Body.String(), test.body) {
			t.Errorf("%s %s: got %d %s", test.method, test.path, writer.Code, writer.Body)
		}
	}
}

func FuzzParseTicket(f *testing.F) {
	f.Add("7-1700000000000")
	f.Add("-")
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := parseTicket(text)
		if err != nil {
			return
		}
		again, err := parseTicket(formatTicket(ticket))
		if err != nil || again.Revision() != ticket.Revision() || !again.Issued().Equal(ticket.Issued()) {
			t.Errorf("%q became %q", text, formatTicket(ticket))
		}
	})
}
