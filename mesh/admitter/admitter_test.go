package admitter

import (
	"fmt"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

var start = time.Unix(1000, 0)

func task(change func(config *lagoonlanding.TaskConfig)) lagoonlanding.Task {
	config := lagoonlanding.TaskConfig{ID: "1", Caller: "c", Client: "10.0.0.1", ShardKey: lagoonlanding.NoShardKey}
	change(&config)
	return lagoonlanding.NewTask(config)
}

func server(name string) lagoonlanding.Backend {
	return lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: lagoonlanding.NewBackendID(name, "i-"+name, 1), Service: "s", Region: "a"})
}

// Guards against a less urgent task before a more urgent one, and against clients that return early before those that return as told.
func TestRankOrdersPrioritiesThenEarlyReturns(t *testing.T) {
	last := Rank(-1)
	for _, priority := range []int{0, 1, 2} {
		for _, precedence := range []lagoonlanding.Precedence{lagoonlanding.PrecedenceNone, lagoonlanding.PrecedenceImpatient} {
			highest := last
			for attempt := range 300 {
				rank := RankOf(task(func(config *lagoonlanding.TaskConfig) {
					config.ID, config.Priority, config.Precedence = fmt.Sprint(attempt), priority, precedence
				}))
				if rank <= last {
					t.Fatalf("priority %d, precedence %d: rank %d is not after %d", priority, precedence, rank, last)
				}
				highest = max(highest, rank)
			}
			last = highest
		}
	}
	for attempt := range 300 {
		rank := RankOf(task(func(config *lagoonlanding.TaskConfig) {
			config.ID, config.Received, config.Objective = fmt.Sprint(attempt), start, start.Add(150*time.Millisecond)
		}))
		if rank > RanksPerPriority/2 {
			t.Fatalf("rank %d of a task with a short objective, like a call", rank)
		}
	}
	if rank := RankOf(task(func(config *lagoonlanding.TaskConfig) { config.Priority = 1 << 30 })); rank < 0 || rank >= ranks {
		t.Errorf("rank %d of an extreme priority", rank)
	}
}

// arrive lets tasks of two priorities arrive evenly; the given share of them is refused, the least important ones.
func arrive(leveler *Leveler, from, until time.Time, refused float64) {
	for at, count := from, 0; at.Before(until); at, count = at.Add(4*time.Millisecond), count+1 {
		rank := Rank(count * 37 % (2 * RanksPerPriority))
		leveler.Arrived(at, rank)
		if float64(rank) >= (1-refused)*2*RanksPerPriority {
			leveler.Refused(at)
		}
	}
}

// Guards against a level that follows a step of the load, or its end, later than within a second.
func TestLevelFollowsAStepWithinASecond(t *testing.T) {
	leveler := NewLeveler()
	arrive(leveler, start, start.Add(time.Second), 0)
	if level := leveler.Level(start.Add(time.Second)); level != 0 {
		t.Fatalf("level %d without refusals", level)
	}
	arrive(leveler, start.Add(time.Second), start.Add(2*time.Second), 0.5)
	if level := leveler.Level(start.Add(2 * time.Second)); level < RanksPerPriority/2 || level > 7*RanksPerPriority/4 {
		t.Errorf("level %d a second after half of the tasks were refused", level)
	}
	for at := start.Add(2 * time.Second); at.Before(start.Add(3 * time.Second)); at = at.Add(20 * time.Millisecond) {
		leveler.Arrived(at, 5)
		leveler.Idle(at)
	}
	if level := leveler.Level(start.Add(3 * time.Second)); level != 0 {
		t.Errorf("level %d a second after slots were free", level)
	}
}

// Guards against a level of a lost daemon that goes on to refuse, and against a daemon without a level that gets no tasks.
func TestLevelsAgeAndUnknownOnesAdmit(t *testing.T) {
	table := NewTable(func() float64 { return 0.9 })
	candidates := []lagoonlanding.Backend{server("x")}
	if len(table.Admitting(start, ranks-1, candidates)) != 1 {
		t.Error("a task was refused without a level")
	}
	table.Report(start, server("x"), lagoonlanding.NewLoad(lagoonlanding.LoadConfig{Slots: 8, Level: 100}), false)
	for after, want := range map[time.Duration]Rank{
		0: 99, 300 * time.Millisecond: 99, 650 * time.Millisecond: 561, time.Second: ranks - 1, time.Hour: ranks - 1,
	} {
		at := start.Add(after)
		if len(table.Admitting(at, want, candidates)) != 1 || want < ranks-1 && len(table.Admitting(at, want+2, candidates)) != 0 {
			t.Errorf("after %v the level does not end at rank %d", after, want)
		}
	}
	table.Report(start, server("x"), lagoonlanding.Load{}, false)
	if len(table.Admitting(start, 100, candidates)) != 0 {
		t.Error("a result without a load removed the level")
	}
	table.Forget(func(string) bool { return false })
	if len(table.Admitting(start, 100, candidates)) != 1 {
		t.Error("the level of a forgotten daemon refuses")
	}
}

// Guards against a constant number of asks: one server is enough when nine of ten refuse, and many are worth asking when few do.
func TestNumberOfAsksFollowsTheRefusals(t *testing.T) {
	asks := func(refusedOfTen int) int {
		table := NewTable(func() float64 { return 0.9 })
		for count := range 100 {
			table.Report(start, server("x"), lagoonlanding.Load{}, count%10 < refusedOfTen)
		}
		refusals := 1
		for ; refusals < 40; refusals++ {
			table.Report(start, server("y"), lagoonlanding.Load{}, true)
			if !table.AsksMore(start, "s", "a", refusals) {
				break
			}
		}
		return refusals
	}
	if few, many, all := asks(1), asks(7), asks(10); few < 12 || many >= few || all > 2 {
		t.Errorf("%d asks with one of ten refused, %d with seven, %d with all", few, many, all)
	}
}

// Guards against returns that the client does not honour, that come before there is room, or all at once.
func TestReturnsAreSpreadWithinTheHonouredTime(t *testing.T) {
	for _, random := range []float64{0, 0.5, 0.99} {
		table := NewTable(func() float64 { return random })
		roomAt, deadline := start.Add(100*time.Millisecond), start.Add(900*time.Millisecond)
		at := table.ReturnAt(start, roomAt, deadline).Sub(start)
		if want := 100*time.Millisecond + time.Duration(random*50*float64(time.Millisecond)); at < want-time.Millisecond || at > want+time.Millisecond {
			t.Errorf("return after %v instead of %v", at, want)
		}
		if at := table.ReturnAt(start, start.Add(time.Second), deadline).Sub(start); at > 300*time.Millisecond {
			t.Errorf("return after %v of 900 ms left", at)
		}
	}
}

// Guards against precedence for clients that return early, for others with the same request, or for more returns than refusals.
func TestPrecedenceOfReturns(t *testing.T) {
	returns := NewReturns()
	first := task(func(*lagoonlanding.TaskConfig) {})
	other := task(func(config *lagoonlanding.TaskConfig) { config.Client = "10.0.0.2" })
	returns.Refused(start, first, start.Add(200*time.Millisecond))
	for _, step := range []struct {
		task  lagoonlanding.Task
		after time.Duration
		want  lagoonlanding.Precedence
	}{
		{other, 200 * time.Millisecond, lagoonlanding.PrecedenceNone}, {first, 10 * time.Millisecond, lagoonlanding.PrecedenceNone},
		{first, 20 * time.Millisecond, lagoonlanding.PrecedenceImpatient}, {first, 190 * time.Millisecond, lagoonlanding.PrecedenceReturned},
		{first, 200 * time.Millisecond, lagoonlanding.PrecedenceNone},
	} {
		if got := returns.Arrived(start.Add(step.after), step.task).Precedence(); got != step.want {
			t.Errorf("after %v: precedence %d instead of %d", step.after, got, step.want)
		}
	}
	for count := range 2 * maxReturns {
		returns.Refused(start, task(func(config *lagoonlanding.TaskConfig) { config.Target = fmt.Sprint(count) }), start)
	}
	if len(returns.refused) > maxReturns {
		t.Errorf("%d refusals are remembered", len(returns.refused))
	}
}
