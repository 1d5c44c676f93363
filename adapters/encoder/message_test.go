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

// roundTrip encodes and decodes the message with gob and returns the value that the receiver gets.
func roundTrip[T any, M lagoonlanding.Message[T]](t *testing.T, message M) T {
	t.Helper()
	var wire bytes.Buffer
	if err := gob.NewEncoder(&wire).Encode(message); err != nil {
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

func expectEqual[T any](t *testing.T, got, want T) {
	t.Helper()
	if diff := cmp.Diff(want, got, exported); diff != "" {
		t.Error(diff)
	}
}

func TestDeadlinesAreRelativeToTheReceiversClock(t *testing.T) {
	expectEqual(t, roundTrip(t, FromRequest(sampleRequest(senderNow), senderNow)), sampleRequest(receiverNow))
	expectEqual(t, roundTrip(t, FromReply(sampleReply(senderNow), senderNow)), sampleReply(receiverNow))
	expectEqual(t, roundTrip(t, FromHandoverRequest(sampleHandover(senderNow), senderNow)), sampleHandover(receiverNow))
}

func TestExpiredDeadlineStaysExpired(t *testing.T) {
	request := roundTrip(t, FromRequest(sampleRequest(senderNow), senderNow.Add(time.Hour)))
	if request.Deadline().Sub(receiverNow) > time.Nanosecond {
		t.Errorf("an expired deadline became %v", request.Deadline().Sub(receiverNow))
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	group := lagoonlanding.NewGroupID("s", "p")
	a := lagoonlanding.NewInstanceID("a", 1)
	renewRequest := lagoonlanding.NewRenewRequest(lagoonlanding.RenewRequestConfig{
		Group: group, Witness: a, Member: a, Adopted: 5, Released: 4, Set: 3,
		Loads: []lagoonlanding.ShardLoad{lagoonlanding.NewShardLoad(1, 2.5)},
	})
	expectEqual(t, roundTrip(t, FromRenewRequest(renewRequest)), renewRequest)
	granted := lagoonlanding.NewRenewReply(lagoonlanding.RenewGranted, 5, 9).WithExpired([]lagoonlanding.InstanceID{instance("a", 1).ID()})
	expectEqual(t, roundTrip(t, FromRenewReply(granted)), granted)
	clear := lagoonlanding.NewClearanceRequest(group, 6, a)
	expectEqual(t, roundTrip(t, FromClearanceRequest(clear)), clear)
	cleared := lagoonlanding.NewClearanceReply(lagoonlanding.ClearanceGranted, 6, []lagoonlanding.InstanceID{a})
	expectEqual(t, roundTrip(t, FromClearanceReply(cleared)), cleared)
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
	expectEqual(t, roundTrip(t, FromGroupStatus(status(senderNow), senderNow)), status(receiverNow))
	joinRequest := lagoonlanding.NewJoinRequest(group, instance("a", 1), true)
	expectEqual(t, roundTrip(t, FromJoinRequest(joinRequest)), joinRequest)
	expectEqual(t, roundTrip(t, FromJoinReply(lagoonlanding.NewJoinReply(true))), lagoonlanding.NewJoinReply(true))
	directoryRequest := lagoonlanding.NewDirectoryRequest(77)
	expectEqual(t, roundTrip(t, FromDirectoryRequest(directoryRequest)), directoryRequest)
	entries := []lagoonlanding.Entry{lagoonlanding.NewEntry("k", []byte("v"), 78)}
	directoryReply := lagoonlanding.NewDirectoryReply(lagoonlanding.NewListing(entries, 80))
	expectEqual(t, roundTrip(t, FromDirectoryReply(directoryReply)), directoryReply)
	notice := lagoonlanding.NewRecordNotice(sampleRecord())
	message, err := FromRecordNotice(notice)
	if err != nil {
		t.Fatal(err)
	}
	expectEqual(t, roundTrip(t, message), notice)
	accepted := lagoonlanding.NewHandoverReply(lagoonlanding.HandoverAccepted)
	expectEqual(t, roundTrip(t, FromHandoverReply(accepted)), accepted)
}

func TestInvalidMessagesAreRefused(t *testing.T) {
	if _, err := (RenewReply{Status: 9}).Value(receiverNow); err == nil {
		t.Error("renewal status 9 was accepted")
	}
	if _, err := (ClearanceReply{}).Value(receiverNow); err == nil {
		t.Error("clearance status 0 was accepted")
	}
	if _, err := (HandoverReply{Status: 4}).Value(receiverNow); err == nil {
		t.Error("handover status 4 was accepted")
	}
	if _, err := (Reply{Outcome: 0}).Value(receiverNow); err == nil {
		t.Error("outcome 0 was accepted")
	}
	if _, err := (Request{ID: "r"}).Value(receiverNow); err == nil {
		t.Error("a request without a service was accepted")
	}
}

func FuzzForwardDecode(f *testing.F) {
	fuzzMessage(f, FromRequest(sampleRequest(senderNow), senderNow), FromRequest)
}

// fuzzMessage checks that each value that decodes without error survives another encoding and decoding unchanged.
func fuzzMessage[T any, M lagoonlanding.Message[T]](f *testing.F, seed M, from func(T, time.Time) M) {
	var data bytes.Buffer
	if err := gob.NewEncoder(&data).Encode(seed); err != nil {
		f.Fatal(err)
	}
	f.Add(data.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		var message M
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&message) != nil {
			return
		}
		value, err := message.Value(receiverNow)
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
