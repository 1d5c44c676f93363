package forwarder

import (
	"io"
	"strings"
	"testing"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
)

// TestBodyWithoutMemoryIsSentOnce guards against bodies kept for retries that exceed the budget, and against changed bytes where they aren't kept.
func TestBodyWithoutMemoryIsSentOnce(t *testing.T) {
	const limit = 4 << 20
	text := strings.Repeat("body", 8<<10)
	for name, test := range map[string]struct {
		others int64
		isKept bool
	}{"far from the limit": {others: 0, isKept: true}, "exhausted": {others: limit * 7 / 10}} {
		budget := budgeter.New(budgeter.Config{Limit: limit})
		budget.Count(budgeter.Answers, test.others)
		connection, _ := budget.Open(func(budgeter.Cause) {})
		request := connection.OpenRequest()
		body := NewCounted(strings.NewReader(text), request)
		if sent, err := io.ReadAll(body); err != nil || string(sent) != text {
			t.Errorf("%s: %d of %d bytes were sent, %v", name, len(sent), len(text), err)
		}
		if _, ok := body.(lagoonlanding.Rewinder).Rewound(); ok != test.isKept {
			t.Errorf("%s: kept %t", name, ok)
		}
		if held := budget.Usage().Held[budgeter.Requests]; (held > 0) != test.isKept {
			t.Errorf("%s: %d bytes are counted", name, held)
		}
	}
}
