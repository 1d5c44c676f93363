package biller

import (
	"context"
	"io"
	"strings"
	"testing"

	"lagoonlanding.example/lagoonlanding"
)

// fakeSender reads the body and answers, or refuses.
type fakeSender struct{ refuses bool }

func (fakesender fakeSender) Send(_ context.Context, _ lagoonlanding.Backend, task lagoonlanding.Task) lagoonlanding.Result {
	io.Copy(io.Discard, task.Body())
	if fakesender.refuses {
		return lagoonlanding.NewResult(lagoonlanding.ResultConfig{Outcome: lagoonlanding.OutcomeNotRun, Reason: lagoonlanding.ReasonQueueFull})
	}
	return lagoonlanding.NewResult(lagoonlanding.ResultConfig{
		Outcome: lagoonlanding.OutcomeAnswered, Answer: lagoonlanding.NewAnswer(lagoonlanding.AnswerConfig{Status: 200, Body: io.NopCloser(strings.NewReader("answer"))}),
	})
}

// TestBytesBetweenRegionsAreCountedByCause guards against traffic on the billed links that no counter shows, or that is counted twice.
func TestBytesBetweenRegionsAreCountedByCause(t *testing.T) {
	for _, test := range []struct {
		region  string
		refuses bool
		want    map[string]int64
	}{
		{"home", false, map[string]int64{}},
		{"far", false, map[string]int64{CauseBody: 13, CauseHead: 87}},
		{"far", true, map[string]int64{CauseRetry: 7, CauseHead: 93}},
	} {
		counted := map[string]int64{}
		biller := New(Config{Region: "home", Sender: fakeSender{refuses: test.refuses}, Crossed: func(cause string, bytes int64) { counted[cause] += bytes }})
		task := lagoonlanding.NewTask(lagoonlanding.TaskConfig{Body: strings.NewReader("request"), BodyLength: 7})
		result := biller.Send(context.Background(), lagoonlanding.NewBackend(lagoonlanding.BackendConfig{Region: test.region}), task)
		if !test.refuses {
			text, _ := io.ReadAll(result.Answer().Body())
			result.Answer().Body().Close()
			result.Answer().Body().Close()
			if string(text) != "answer" {
				t.Errorf("the answer is %q", text)
			}
		}
		if test.region != "home" {
			biller.Ended(100)
		}
		biller.Flush()
		biller.Flush()
		if len(counted) != len(test.want) {
			t.Errorf("region %s: got %v, want %v", test.region, counted, test.want)
		}
		for cause, want := range test.want {
			if counted[cause] != want {
				t.Errorf("region %s, %s: got %d, want %d", test.region, cause, counted[cause], want)
			}
		}
	}
}
