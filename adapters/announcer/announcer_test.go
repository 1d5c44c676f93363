package announcer

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"lagoonlanding.example/lagoonlanding"
)

// addressUpstream is an upstream that answers with its address.
type addressUpstream struct{ address string }

func (addressupstream addressUpstream) Serve(_ context.Context, request lagoonlanding.Request, _ lagoonlanding.Fence) (lagoonlanding.Reply, error) {
	return lagoonlanding.NewReply(lagoonlanding.ReplyConfig{RequestID: request.ID(), Body: []byte(addressupstream.address)}), nil
}

func (addressupstream addressUpstream) Report(context.Context) (lagoonlanding.UpstreamReport, error) {
	return lagoonlanding.NewUpstreamReport(true, 0, 6), nil
}

func TestLastAcceptedAnnouncementSelectsTheUpstream(t *testing.T) {
	upstream := NewUpstream()
	var announcements []Announcement
	handler := New(Config{
		Upstream:       upstream,
		Connect:        func(announcement Announcement) lagoonlanding.Upstream { return addressUpstream{announcement.Address()} },
		OnAnnouncement: func(announcement Announcement) { announcements = append(announcements, announcement) },
	}).Handler()
	if _, err := upstream.Serve(t.Context(), lagoonlanding.Request{}, lagoonlanding.Fence{}); !errors.Is(err, lagoonlanding.ErrNotSent) {
		t.Errorf("without an announcement: got %v", err)
	}
	steps := []struct {
		method, body  string
		status        int
		answer        string
		announcements int
	}{
		{"POST", `{"service":"status-app","address":"127.0.0.1:9001","slots":6}`, 204, "127.0.0.1:9001", 1},
		{"POST", `{"service":"status-app","address":"127.0.0.1:9001","slots":6}`, 204, "127.0.0.1:9001", 1},
		{"POST", `{"service":"status-app","address":"127.0.0.1:9002","slots":6}`, 204, "127.0.0.1:9002", 2},
		{"POST", `{"service":"status-app","address":"127.0.0.1:9002","slots":6,"start":"b"}`, 204, "127.0.0.1:9002", 3},
		{"POST", `{"service":"status-app","address":"127.0.0.1:9002","slots":6,"start":"b"}`, 204, "127.0.0.1:9002", 3},
		{"POST", `{"service":"tag-ledger","address":"127.0.0.1:9003","slots":6}`, 409, "127.0.0.1:9002", 3},
		{"POST", `{"service":"","address":"127.0.0.1:9003","slots":6}`, 400, "127.0.0.1:9002", 3},
		{"POST", `{"service":"status-app","address":"host:9003","slots":6}`, 400, "127.0.0.1:9002", 3},
		{"POST", `{"service":"status-app","address":"127.0.0.1:0","slots":6}`, 400, "127.0.0.1:9002", 3},
		{"POST", `{"service":"status-app","address":"127.0.0.1:9003","slots":0}`, 400, "127.0.0.1:9002", 3},
		{"POST", `{"service":"status-app","colour":"red"}`, 400, "127.0.0.1:9002", 3},
		{"POST", `not JSON`, 400, "127.0.0.1:9002", 3},
		{"GET", ``, 405, "127.0.0.1:9002", 3},
	}
	for _, step := range steps {
		writer := httptest.NewRecorder()
		handler.ServeHTTP(writer, httptest.NewRequest(step.method, "/upstream", strings.NewReader(step.body)))
		reply, err := upstream.Serve(t.Context(), lagoonlanding.Request{}, lagoonlanding.Fence{})
		if err != nil || writer.Code != step.status || string(reply.Body()) != step.answer || len(announcements) != step.announcements {
			t.Errorf("%s %s: got status %d, upstream %s, %d announcements, %v", step.method, step.body, writer.Code, reply.Body(), len(announcements), err)
		}
	}
}
