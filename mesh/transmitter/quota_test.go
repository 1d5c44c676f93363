package transmitter

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

func TestQuotaReportsAndAnswersKeepTheirFields(t *testing.T) {
	report := lagoonlanding.NewQuotaReport(lagoonlanding.QuotaReportConfig{
		Daemon: "d", Instance: 1 << 63, Relays: true, Sequence: 9, Complete: true, Votes: []lagoonlanding.QuotaVote{lagoonlanding.NewQuotaVote("a", 77, 3)},
		Lines: []lagoonlanding.QuotaLine{lagoonlanding.NewQuotaLine("w", 4, 1.25).WithGivenUp(2), lagoonlanding.NewQuotaLine("v", 0, 0)},
	})
	if decoded, err := roundTrip(newQuotaReport(report)).Value(time.Time{}); err != nil || !reflect.DeepEqual(decoded, report) {
		t.Errorf("got %v, %v", decoded, err)
	}
	answer := lagoonlanding.NewQuotaAnswer(lagoonlanding.QuotaAnswerConfig{
		Reset: true, Term: 1500 * time.Millisecond, Arbiter: "a", Stamp: 77, Grants: []lagoonlanding.QuotaGrant{lagoonlanding.NewQuotaGrant("w", -3, 8)},
	})
	if decoded, err := roundTrip(newQuotaAnswer(answer)).Value(time.Time{}); err != nil || !reflect.DeepEqual(decoded, answer) {
		t.Errorf("got %v, %v", decoded, err)
	}
}

// roundTrip encodes and decodes a message.
func roundTrip[T any](message T) T {
	text, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	var decoded T
	if err := json.Unmarshal(text, &decoded); err != nil {
		panic(err)
	}
	return decoded
}

// FuzzQuotaMessages checks that no report or answer of another daemon is accepted with numbers that are out of bounds.
func FuzzQuotaMessages(f *testing.F) {
	f.Add([]byte(`{"d":"d","n":3,"l":[{"w":"w","o":4,"n":1.5}],"v":[{"a":"a","s":5,"n":1}]}`), []byte(`{"t":1500,"a":"a","s":5,"g":[{"w":"w","n":-3,"s":8}]}`))
	f.Add([]byte(`{"d":"d","l":[{"w":"w","o":-1}]}`), []byte(`{"t":-1}`))
	f.Fuzz(func(t *testing.T, reportText, answerText []byte) {
		var report quotaReport
		if json.Unmarshal(reportText, &report) == nil {
			if value, err := report.Value(time.Time{}); err == nil {
				for _, line := range value.Lines() {
					if line.Outstanding() < 0 || line.GivenUp() < 0 || !(line.Wanted() >= 0) || line.Workspace() == "" {
						t.Errorf("accepted %v", line)
					}
				}
			}
		}
		var answer quotaAnswer
		if json.Unmarshal(answerText, &answer) == nil {
			if value, err := answer.Value(time.Time{}); err == nil && value.ValidUntil(time.Time{}).Before(time.Time{}) {
				t.Errorf("accepted a term that ends in the past")
			}
		}
	})
}
