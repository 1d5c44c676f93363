package reporter

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/messenger"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// fixedSource is a snapshot source that never changes.
type fixedSource struct{ snapshot *router.Snapshot }

func (fixedsource fixedSource) Current() *router.Snapshot { return fixedsource.snapshot }

func (fixedsource fixedSource) Changed() <-chan struct{} { return nil }

var group = lagoonlanding.NewGroupID("status-app", "mesh")

func snapshot(tokens ...uint64) *router.Snapshot {
	set := publisher.NewSet(publisher.SetConfig{Version: 3, Workspaces: []publisher.Workspace{
		publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "mesh"}),
		publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "north", HomeRegions: []string{"macedonia"}}),
	}})
	layout := lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{Version: 1, Shards: len(tokens)})
	record := lagoonlanding.NewRecord(group, layout, lagoonlanding.Layout{}, 1)
	return router.NewSnapshot(router.SnapshotConfig{
		Self: lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{Region: "attica"}), Set: set, Revision: 8,
		Groups: map[lagoonlanding.GroupID]router.Group{group: router.NewGroup(record, lagoonlanding.Placement{})},
		Leases: map[lagoonlanding.GroupID]router.Lease{group: router.NewLease(router.LeaseConfig{Tokens: tokens})},
	})
}

// scrape closes the reporter, which reports the last values, and returns the served metrics.
func scrape(t *testing.T, reporter *Reporter) string {
	t.Helper()
	if err := reporter.Close(); err != nil {
		t.Fatal(err)
	}
	writer := httptest.NewRecorder()
	reporter.Handler().ServeHTTP(writer, httptest.NewRequest("GET", "/metrics", nil))
	return writer.Body.String()
}

func newReporter(t *testing.T, snapshot *router.Snapshot) *Reporter {
	t.Helper()
	return New(Config{Snapshots: fixedSource{snapshot}, MaxTenants: 2, OnError: func(err error) { t.Error(err) }})
}

func request(tenant, workspace, class string) lagoonlanding.Request {
	return lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		Tenant: tenant, Class: class, Key: lagoonlanding.NewKey("status-app", workspace, "k"),
	})
}

func TestRequestsAreCountedByTenantAndClass(t *testing.T) {
	reporter := newReporter(t, snapshot())
	served := lagoonlanding.NewReply(lagoonlanding.ReplyConfig{Outcome: lagoonlanding.OutcomeAnswered})
	for range 3 {
		reporter.Finished(request("mall", "mesh", "lookup"), served, 4*time.Millisecond)
	}
	refused := request("mall", "mesh", "lookup")
	reporter.Finished(refused, lagoonlanding.Refuse(refused, lagoonlanding.ReasonQueueFull), time.Millisecond)
	reporter.Retried(lagoonlanding.ReasonMoving)
	got := scrape(t, reporter)
	for _, want := range []string{
		`lagoond_requests{class="lookup",outcome="answered",reason="",tenant="mall"} 3`,
		`lagoond_requests{class="lookup",outcome="not-run",reason="queue-full",tenant="mall"} 1`,
		`lagoond_request_seconds_bucket{class="lookup",tenant="mall",le="0.005"} 4`,
		`lagoond_request_seconds_bucket{class="lookup",tenant="mall",le="0.003"} 1`,
		`lagoond_retries{reason="shard-moving"} 1`,
	} {
		if !strings.Contains(got, want) {
			t.Errorf("%s is missing in\n%s", want, got)
		}
	}
}

func TestTenantLabelsAreLimitedAndStayInHomeRegions(t *testing.T) {
	reporter := newReporter(t, snapshot())
	served := lagoonlanding.NewReply(lagoonlanding.ReplyConfig{Outcome: lagoonlanding.OutcomeAnswered})
	for i := range 5 {
		reporter.Finished(request(fmt.Sprintf("tenant-%d", i), "mesh", "lookup"), served, time.Millisecond)
	}
	elsewhere := request("museum", "north", "lookup")
	reporter.Finished(elsewhere, lagoonlanding.Refuse(elsewhere, lagoonlanding.ReasonOutsideRegion), time.Millisecond)
	reporter.Finished(request("", "", ""), lagoonlanding.Refuse(lagoonlanding.Request{}, lagoonlanding.ReasonNoRoute), time.Millisecond)
	got := scrape(t, reporter)
	if strings.Contains(got, "museum") {
		t.Error("a tenant has a label outside its home regions")
	}
	for _, want := range []string{`tenant="tenant-1"`, `tenant="elsewhere"`, `class="none"`,
		`lagoond_requests{class="lookup",outcome="answered",reason="",tenant="other"} 3`} {
		if !strings.Contains(got, want) {
			t.Errorf("%s is missing in\n%s", want, got)
		}
	}
}

func TestShardMovesAndBytesAreCounted(t *testing.T) {
	reporter := newReporter(t, snapshot())
	reporter.controlMetrics.update(snapshot(7, 7, 0))
	reporter.controlMetrics.update(snapshot(0, 7, 9))
	reporter.controlMetrics.updateBytes(&messenger.Traffic{})
	reporter.controlMetrics.updateUpstream(func() (int, int, int) { return 6, 5, 2 })
	got := scrape(t, reporter)
	for _, want := range []string{"lagoond_shards_gained 3", "lagoond_shards_lost 1", "lagoond_shards_served 2", "lagoond_set_version 3", "lagoond_store_revision 8",
		"lagoond_upstream_limit 6", "lagoond_upstream_in_flight 5", "lagoond_upstream_waiting 2"} {
		if !strings.Contains(got, want) {
			t.Errorf("%s is missing in\n%s", want, got)
		}
	}
}
