package encoder

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

var (
	senderNow   = time.Unix(1000, 0)
	receiverNow = time.Unix(90000, 0)
)

func sampleReply(now time.Time) lagoonlanding.Reply {
	return lagoonlanding.NewReply(lagoonlanding.ReplyConfig{
		RequestID: "r1", Outcome: lagoonlanding.OutcomeNotRun, Reason: lagoonlanding.ReasonMoving, Status: 503,
		Headers: []lagoonlanding.Header{lagoonlanding.NewHeader("Content-Type", "text/plain")}, Body: []byte("x"),
		RetryAfter: now.Add(time.Second), Owner: instance("a", 3), Repeated: true,
	})
}

func sampleRequest(now time.Time) lagoonlanding.Request {
	return lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		ID: "r1", Tenant: "t", Class: "c", Key: lagoonlanding.NewKey("s", "w", "k"), Method: "POST", Path: "/tags/k?x=1",
		Headers: []lagoonlanding.Header{lagoonlanding.NewHeader("Accept", "*/*")}, Body: []byte("body"),
		Deadline: now.Add(3 * time.Second), Idempotent: true, IdempotencyKey: "i",
		Ticket: lagoonlanding.NewTicket(12, time.UnixMilli(5000)), Hops: 1, SetVersion: 4,
	})
}

func sampleHandover(now time.Time) lagoonlanding.HandoverRequest {
	return lagoonlanding.NewHandoverRequest(lagoonlanding.HandoverConfig{
		Group: lagoonlanding.NewGroupID("s", "p"), Version: 3, Shard: 2,
		From: lagoonlanding.NewInstanceID("a", 1), To: lagoonlanding.NewInstanceID("b", 2), Since: 8,
		Attempts: []lagoonlanding.Attempt{
			lagoonlanding.NewAttempt("i", now.Add(time.Minute), true, sampleReply(now)).WithDigest(77),
			lagoonlanding.NewAttempt("j", now.Add(time.Hour), false, lagoonlanding.Reply{}),
		},
	})
}

// carry sends a form through the encoding of the wire and returns the receiver's value.
func carry[T any, M lagoonlanding.Message[T]](t *testing.T, form M) T {
	t.Helper()
	var wire bytes.Buffer
	if err := gob.NewEncoder(&wire).Encode(form); err != nil {
		t.Fatal(err)
	}
	var received M
	if err := gob.NewDecoder(&wire).Decode(&received); err != nil {
		t.Fatal(err)
	}
	value, err := received.Value(receiverNow)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func check[T any](t *testing.T, got, want T) {
	t.Helper()
	if diff := cmp.Diff(want, got, exported); diff != "" {
		t.Error(diff)
	}
}

func TestDeadlinesMoveWithTheClock(t *testing.T) {
	check(t, carry(t, FromRequest(sampleRequest(senderNow), senderNow)), sampleRequest(receiverNow))
	check(t, carry(t, FromReply(sampleReply(senderNow), senderNow)), sampleReply(receiverNow))
	check(t, carry(t, FromHandoverRequest(sampleHandover(senderNow), senderNow)), sampleHandover(receiverNow))
}

func TestPassedDeadlineStaysPassed(t *testing.T) {
	request := carry(t, FromRequest(sampleRequest(senderNow), senderNow.Add(time.Hour)))
	if request.Deadline().Sub(receiverNow) > time.Nanosecond {
		t.Errorf("a passed deadline became %v", request.Deadline().Sub(receiverNow))
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	group := lagoonlanding.NewGroupID("s", "p")
	a := lagoonlanding.NewInstanceID("a", 1)
	renew := lagoonlanding.NewRenewRequest(lagoonlanding.RenewRequestConfig{
		Group: group, Witness: a, Member: a, Adopted: 5, Released: 4, Set: 3,
		Loads: []lagoonlanding.ShardLoad{lagoonlanding.NewShardLoad(1, 2.5)},
	})
	check(t, carry(t, FromRenewRequest(renew)), renew)
	granted := lagoonlanding.NewRenewReply(lagoonlanding.RenewGranted, 5, 9).WithExpired([]lagoonlanding.InstanceID{instance("a", 1).ID()})
	check(t, carry(t, FromRenewReply(granted)), granted)
	clear := lagoonlanding.NewClearanceRequest(group, 6, a)
	check(t, carry(t, FromClearanceRequest(clear)), clear)
	given := lagoonlanding.NewClearanceReply(lagoonlanding.ClearanceGranted, 6, []lagoonlanding.InstanceID{a})
	check(t, carry(t, FromClearanceReply(given)), given)
	status := func(now time.Time) lagoonlanding.GroupStatus {
		return lagoonlanding.NewGroupStatus(lagoonlanding.GroupStatusConfig{
			Group: group, Version: 3, Witness: true, Set: 6, Coordinating: true, Settled: true, Disconnected: true, Serving: 1, Acquiring: 2, Draining: 3,
			Deadline: now.Add(time.Second),
			Members: []lagoonlanding.MemberStatus{
				lagoonlanding.NewMemberStatus(instance("a", 1).ID(), lagoonlanding.MemberOutOfService, now.Add(-time.Second), 7),
				lagoonlanding.NewMemberStatus(instance("b", 2).ID(), lagoonlanding.MemberActive, time.Time{}, 0),
			},
		})
	}
	check(t, carry(t, FromGroupStatus(status(senderNow), senderNow)), status(receiverNow))
	join := lagoonlanding.NewJoinRequest(group, instance("a", 1), true)
	check(t, carry(t, FromJoinRequest(join)), join)
	check(t, carry(t, FromJoinReply(lagoonlanding.NewJoinReply(true))), lagoonlanding.NewJoinReply(true))
	ask := lagoonlanding.NewDirectoryRequest(77)
	check(t, carry(t, FromDirectoryRequest(ask)), ask)
	entries := []lagoonlanding.Entry{lagoonlanding.NewEntry("k", []byte("v"), 78)}
	listing := lagoonlanding.NewDirectoryReply(lagoonlanding.NewListing(entries, 80))
	check(t, carry(t, FromDirectoryReply(listing)), listing)
	notice := lagoonlanding.NewRecordNotice(sampleRecord())
	form, err := FromRecordNotice(notice)
	if err != nil {
		t.Fatal(err)
	}
	check(t, carry(t, form), notice)
	taken := lagoonlanding.NewHandoverReply(lagoonlanding.HandoverAccepted)
	check(t, carry(t, FromHandoverReply(taken)), taken)
}

func TestUnknownStatusIsRefused(t *testing.T) {
	if _, err := (RenewReply{Status: 9}).Value(receiverNow); err == nil {
		t.Error("renewal status 9 was taken")
	}
	if _, err := (ClearanceReply{}).Value(receiverNow); err == nil {
		t.Error("clearance status 0 was taken")
	}
	if _, err := (HandoverReply{Status: 4}).Value(receiverNow); err == nil {
		t.Error("handover status 4 was taken")
	}
	if _, err := (Reply{Outcome: 0}).Value(receiverNow); err == nil {
		t.Error("outcome 0 was taken")
	}
	if _, err := (Request{ID: "r"}).Value(receiverNow); err == nil {
		t.Error("a request without a service was taken")
	}
}

func FuzzForwardDecode(f *testing.F) {
	fuzzForm(f, FromRequest(sampleRequest(senderNow), senderNow), FromRequest)
}

// fuzzForm checks that each value that any bytes decode to is formed and read back unchanged.
func fuzzForm[T any, M lagoonlanding.Message[T]](f *testing.F, seed M, from func(T, time.Time) M) {
	var data bytes.Buffer
	if err := gob.NewEncoder(&data).Encode(seed); err != nil {
		f.Fatal(err)
	}
	f.Add(data.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		var form M
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&form) != nil {
			return
		}
		value, err := form.Value(receiverNow)
		if err != nil {
			return
		}
		again, err := from(value, receiverNow).Value(receiverNow)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(value, again, exported); diff != "" {
			t.Error(diff)
		}
	})
}
