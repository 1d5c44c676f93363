package hedger

import (
	"math/rand/v2"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func TestOnlyReadsAreHedged(t *testing.T) {
	cases := []struct {
		config lagoonlanding.RequestConfig
		want   bool
	}{
		{lagoonlanding.RequestConfig{Method: "GET", Idempotent: true}, true},
		{lagoonlanding.RequestConfig{Method: "GET"}, false},
		{lagoonlanding.RequestConfig{Method: "PUT", Idempotent: true}, false},
		{lagoonlanding.RequestConfig{Method: "POST"}, false},
		{lagoonlanding.RequestConfig{Method: "GET", Idempotent: true, Deadline: start.Add(initialDelay)}, false},
	}
	for _, test := range cases {
		if _, ok := NewHedger(Config{}).Start(start, lagoonlanding.NewRequest(test.config)); ok != test.want {
			t.Errorf("%s, idempotent %v: got %v", test.config.Method, test.config.Idempotent, ok)
		}
	}
}

func TestHedgesStayWithinBudgetAndUtilization(t *testing.T) {
	hedger := NewHedger(Config{})
	read := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{Method: "GET", Idempotent: true})
	const requests = 10_000
	hedges := 0
	for range requests {
		hedger.Start(start, read)
		if hedger.Hedge(24, 24) {
			t.Fatalf("hedged although all slots are in use")
		}
		if hedger.Hedge(0, 24) {
			hedges++
		}
	}
	if bound := int(DefaultShare*requests) + DefaultBurst; hedges > bound || hedges < bound/2 {
		t.Errorf("%d hedges for %d requests", hedges, requests)
	}
}

// TestDelayConvergesToQuantile draws exponential response times, whose 0.95 quantile is about three times the mean.
func TestDelayConvergesToQuantile(t *testing.T) {
	hedger, random := NewHedger(Config{}), rand.New(rand.NewPCG(1, 8))
	for range 20_000 {
		hedger.Answered(time.Duration(random.ExpFloat64() * float64(4*time.Millisecond)))
	}
	if hedger.delaySeconds < 0.009 || hedger.delaySeconds > 0.015 {
		t.Errorf("delay %.4f s", hedger.delaySeconds)
	}
}
