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

type fixed struct{ snapshot *router.Snapshot }

func (fixed fixed) Current() *router.Snapshot { return fixed.snapshot }

func (fixed fixed) Changed() <-chan struct{} { return nil }

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
		Groups:   map[lagoonlanding.GroupID]router.Group{group: router.NewGroup(record, lagoonlanding.Placement{})},
		Holdings: map[lagoonlanding.GroupID]router.Holding{group: router.NewHolding(router.HoldingConfig{Tokens: tokens})},
	})
}

// page closes the reporter, which hands its last counts over, and returns the page of metrics.
func page(t *testing.T, reporter *Reporter) string {
	t.Helper()
	if err := reporter.Close(); err != nil {
		t.Fatal(err)
	}
	writer := httptest.NewRecorder()
	reporter.Handler().ServeHTTP(writer, httptest.NewRequest("GET", "/metrics", nil))
	return writer.Body.String()
}

func open(t *testing.T, snapshot *router.Snapshot) *Reporter {
	t.Helper()
	return New(Config{Snapshots: fixed{snapshot}, MaxTenants: 2, Failed: func(err error) { t.Error(err) }})
}

func request(tenant, workspace, class string) lagoonlanding.Request {
	return lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		Tenant: tenant, Class: class, Key: lagoonlanding.NewKey("status-app", workspace, "k"),
	})
}

func TestRequestsAreCountedByTenantAndClass(t *testing.T) {
	reporter := open(t, snapshot())
	served := lagoonlanding.NewReply(lagoonlanding.ReplyConfig{Outcome: lagoonlanding.OutcomeAnswered})
	for range 3 {
		reporter.Finished(request("mall", "mesh", "lookup"), served, 4*time.Millisecond)
	}
	one := request("mall", "mesh", "lookup")
	reporter.Finished(one, lagoonlanding.Refuse(one, lagoonlanding.ReasonQueueFull), time.Millisecond)
	reporter.Retried(lagoonlanding.ReasonMoving)
	got := page(t, reporter)
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

func TestTenantsAreBoundedAndStayInTheirHomeRegions(t *testing.T) {
	reporter := open(t, snapshot())
	served := lagoonlanding.NewReply(lagoonlanding.ReplyConfig{Outcome: lagoonlanding.OutcomeAnswered})
	for i := range 5 {
		reporter.Finished(request(fmt.Sprintf("tenant-%d", i), "mesh", "lookup"), served, time.Millisecond)
	}
	away := request("museum", "north", "lookup")
	reporter.Finished(away, lagoonlanding.Refuse(away, lagoonlanding.ReasonOutsideRegion), time.Millisecond)
	reporter.Finished(request("", "", ""), lagoonlanding.Refuse(lagoonlanding.Request{}, lagoonlanding.ReasonNoRoute), time.Millisecond)
	got := page(t, reporter)
	if strings.Contains(got, "museum") {
		t.Error("a tenant was named outside its home regions")
	}
	for _, want := range []string{`tenant="tenant-1"`, `tenant="elsewhere"`, `class="none"`,
		`lagoond_requests{class="lookup",outcome="answered",reason="",tenant="other"} 3`} {
		if !strings.Contains(got, want) {
			t.Errorf("%s is missing in\n%s", want, got)
		}
	}
}

func TestMovesAndBytesAreCounted(t *testing.T) {
	reporter := open(t, snapshot())
	reporter.control.note(snapshot(7, 7, 0))
	reporter.control.note(snapshot(0, 7, 9))
	reporter.control.noteBytes(&messenger.Traffic{})
	reporter.control.noteUpstream(func() (int, int, int) { return 6, 5, 2 })
	got := page(t, reporter)
	for _, want := range []string{"lagoond_shards_gained 3", "lagoond_shards_lost 1", "lagoond_shards_served 2", "lagoond_set_version 3", "lagoond_store_revision 8",
		"lagoond_upstream_limit 6", "lagoond_upstream_in_flight 5", "lagoond_upstream_waiting 2"} {
		if !strings.Contains(got, want) {
			t.Errorf("%s is missing in\n%s", want, got)
		}
	}
}
