package forwarder

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// countingQuota grants a number of credits and counts what happens to them.
type countingQuota struct {
	left, spent, returned int
	relayTo               string
}

func (countingquota *countingQuota) Take(now time.Time, _ lagoonlanding.Workspace) (lagoonlanding.Credit, time.Time, bool) {
	if countingquota.left == 0 {
		return nil, now.Add(time.Second), false
	}
	countingquota.left--
	return countingquota, time.Time{}, true
}

func (countingquota *countingQuota) TakeRelayed(now time.Time, workspace lagoonlanding.Workspace) (lagoonlanding.Credit, time.Time, bool) {
	return countingquota.Take(now, workspace)
}

func (countingquota *countingQuota) Relay(lagoonlanding.Workspace) (string, bool) {
	return countingquota.relayTo, countingquota.relayTo != ""
}

func (countingquota *countingQuota) Spend(time.Time)  { countingquota.spent++ }
func (countingquota *countingQuota) Return(time.Time) { countingquota.returned++ }

// identify gives the fixture workspaces and a quota of the given number of credits.
func (fixture *fixture) identify(credits int, keys ...string) *countingQuota {
	quota := &countingQuota{left: credits}
	fixture.config.Quota = quota
	config := lagoonlanding.WorkspaceConfig{Name: "w", Priority: 5, Rate: 1, Burst: 1, Regions: []string{"b"}}
	for _, key := range keys {
		config.Keys = append(config.Keys, lagoonlanding.NewKeyDigest(key))
	}
	routing := fixture.snapshot.Routing
	route, _ := routing.Route("h", "/p/")
	fixture.snapshot.Routing = lagoonlanding.NewRouting(lagoonlanding.RoutingConfig{
		Version: 2, Routes: []lagoonlanding.PathRoute{route}, Services: routing.Services(), Identifies: true,
		Workspaces: []lagoonlanding.Workspace{lagoonlanding.NewWorkspace(config)},
	})
	return quota
}

func withKey(key string) func(task *lagoonlanding.TaskConfig) {
	return func(task *lagoonlanding.TaskConfig) { task.Key = lagoonlanding.NewKeyDigest(key) }
}

func TestWorkspaceDecidesPriorityAndRegions(t *testing.T) {
	var sent lagoonlanding.Task
	fixture := newFixture(unchanged, func(_ string, task lagoonlanding.Task) lagoonlanding.Result {
		sent = task
		return answered(200)
	})
	quota := fixture.identify(1, "k")
	if result := fixture.send(withKey("k")); result.Outcome() != lagoonlanding.OutcomeAnswered || quota.spent != 1 || quota.returned != 0 {
		t.Errorf("got %v, %+v", result.Reason(), quota)
	}
	if sent.Workspace() != "w" || sent.Priority() != 5 || fixture.sender.sentTo[0] != "far" {
		t.Errorf("workspace %q with priority %d was sent to %v", sent.Workspace(), sent.Priority(), fixture.sender.sentTo)
	}
	if result := fixture.send(withKey("k")); result.Reason() != lagoonlanding.ReasonTenantLimit || result.RetryAt().IsZero() {
		t.Errorf("got %v beyond the quota", result.Reason())
	}
	if result := fixture.send(withKey("other")); result.Reason() != lagoonlanding.ReasonUnknownKey {
		t.Errorf("got %v for an unknown key", result.Reason())
	}
}

func TestRequestThatDidNotRunReturnsItsCredit(t *testing.T) {
	fixture := newFixture(unchanged, func(string, lagoonlanding.Task) lagoonlanding.Result {
		return lagoonlanding.NotRun(lagoonlanding.ReasonQueueFull, time.Now().Add(time.Second))
	})
	quota := fixture.identify(1, "k")
	if fixture.send(withKey("k")); quota.spent != 0 || quota.returned != 1 {
		t.Errorf("got %+v", quota)
	}
}

func TestFurtherTryThatReachesAServerIsCounted(t *testing.T) {
	for credits, tries := range map[int]int{1: 1, 2: 2} {
		fixture := newFixture(unchanged, func(string, lagoonlanding.Task) lagoonlanding.Result {
			return lagoonlanding.MayHaveRun(lagoonlanding.ReasonConnectionLost)
		})
		fixture.snapshot.Backends = append(fixture.snapshot.Backends, backend("far2", "b1", "b", "s"))
		quota := fixture.identify(credits, "k")
		if fixture.send(withKey("k")); len(fixture.sender.sentTo) != tries || quota.spent != tries || quota.returned != 0 {
			t.Errorf("%d credits: sent to %v, %+v", credits, fixture.sender.sentTo, quota)
		}
	}
}

func TestRemovedKeyEndsTheTries(t *testing.T) {
	var fixture *fixture
	var quota *countingQuota
	fixture = newFixture(unchanged, func(string, lagoonlanding.Task) lagoonlanding.Result {
		fixture.identify(0, "new")
		fixture.config.Quota = quota
		return lagoonlanding.NotRun(lagoonlanding.ReasonUnreachable, time.Now())
	})
	fixture.snapshot.Backends = append(fixture.snapshot.Backends, backend("far2", "b1", "b", "s"))
	quota = fixture.identify(1, "k")
	if result := fixture.send(withKey("k")); result.Reason() != lagoonlanding.ReasonUnknownKey || len(fixture.sender.sentTo) != 1 || quota.returned != 1 {
		t.Errorf("got %v after the request was sent to %v, %+v", result.Reason(), fixture.sender.sentTo, quota)
	}
}

func TestRequestWithoutACreditIsRelayedOnce(t *testing.T) {
	var sent lagoonlanding.Task
	fixture := newFixture(unchanged, func(_ string, task lagoonlanding.Task) lagoonlanding.Result {
		sent = task
		return lagoonlanding.NotRun(lagoonlanding.ReasonTenantLimit, time.Now().Add(time.Second))
	})
	fixture.identify(0, "k").relayTo = "beside"
	if result := fixture.send(withKey("k")); result.Reason() != lagoonlanding.ReasonTenantLimit || len(fixture.sender.sentTo) != 1 || !sent.IsRelayed() {
		t.Errorf("got %v after the request was sent to %v", result.Reason(), fixture.sender.sentTo)
	}
	result := fixture.send(func(task *lagoonlanding.TaskConfig) { task.Workspace, task.Relayed, task.Caller = "w", true, "theirs" })
	if result.Reason() != lagoonlanding.ReasonTenantLimit || len(fixture.sender.sentTo) != 1 {
		t.Errorf("got %v after a relayed request was sent to %v", result.Reason(), fixture.sender.sentTo)
	}
}

// TestRelayedRequestIsSentToAServerAsAnyOther guards against a relayed request that the daemon beside the backend server takes for one relayed to itself: it
// would look for a credit again, and refuse the request.
func TestRelayedRequestIsSentToAServerAsAnyOther(t *testing.T) {
	var sent lagoonlanding.Task
	fixture := newFixture(unchanged, func(_ string, task lagoonlanding.Task) lagoonlanding.Result {
		sent = task
		return answered(200)
	})
	fixture.identify(1, "k")
	result := fixture.send(func(task *lagoonlanding.TaskConfig) { task.Workspace, task.Relayed, task.Caller = "w", true, "theirs" })
	if result.Outcome() != lagoonlanding.OutcomeAnswered || sent.IsRelayed() || sent.Caller() != "theirs" || sent.Workspace() != "w" {
		t.Errorf("got %v, %s; sent with relayed %v for the caller %q of workspace %q", result.Outcome(), result.Reason(), sent.IsRelayed(), sent.Caller(), sent.Workspace())
	}
}
