package mutator

// change replaces a text that occurs exactly once in a file.
type change struct {
	file   string
	before string
	after  string
}

// mutant is a planted fault that the soak must detect.
type mutant struct {
	name    string
	changes []change
}

// mutants lists at least one fault for each rule of the program.
var mutants = []mutant{
	{name: "deadline-not-checked", changes: []change{
		{file: "requests/router/decision.go", before: "if !now.Before(lease.Deadline()) {", after: "if false {"},
		{file: "requests/dispatcher/serve.go", before: " || !dispatcher.config.Clock.Now().Before(lease.Deadline())", after: ""},
	}},
	{name: "token-not-raised", changes: []change{
		{file: "ownership/holder/shard.go", before: "shard.token = token", after: "shard.token = 1"},
	}},
	{name: "promise-forgotten-at-restart", changes: []change{
		{file: "ownership/controller/answer.go", before: "if now.Before(lagoonlanding.PriorPromisesExpiry(controller.config.Now)) {", after: "if false {"},
	}},
	{name: "earlier-run-answered-for", changes: []change{
		{file: "ownership/controller/answer.go", before: " && request.Witness() == controller.id() {", after: " {"},
	}},
	{name: "clearance-not-kept", changes: []change{
		{file: "ownership/granter/granter.go", before: "promise.cleared = version", after: "_ = version"},
	}},
	{name: "promise-cleared-early", changes: []change{
		{file: "ownership/granter/granter.go", before: "!now.After(promise.deadline)", after: "now.Before(promise.deadline.Add(-lagoonlanding.RenewInterval))"},
	}},
	{name: "layout-not-settled", changes: []change{
		{file: "ownership/controller/coordinate.go", before: " || !group.tally.IsSettled()", after: ""},
	}},
	{name: "clearance-without-majority", changes: []change{
		{file: "ownership/grouper/tally.go", before: "count >= prior.Majority()", after: "count+1 >= prior.Majority()"},
	}},
	{name: "lease-without-majority", changes: []change{
		{file: "ownership/holder/holder.go", before: "deadlines[layout.Majority()-1]", after: "deadlines[0]"},
	}},
	{name: "drift-not-counted", changes: []change{
		{file: "lease.go", before: "PromiseTerm - PromiseTerm*DriftPermille/1000", after: "PromiseTerm + 10*PromiseTerm*DriftPermille/1000"},
	}},
	{name: "table-not-handed-over", changes: []change{
		{file: "ownership/holder/holder.go", before: "return lagoonlanding.HandoverAccepted, true", after: "return lagoonlanding.HandoverAccepted, false"},
	}},
	{name: "since-not-raised", changes: []change{
		{file: "ownership/holder/shard.go", before: "shard.since = since", after: "shard.since = 1"},
	}},
	{name: "ticket-ahead-not-checked", changes: []change{
		{file: "requests/dispatcher/serve.go", before: "if request.Ticket().Revision() > snapshot.Revision() {", after: "if false {"},
	}},
	{name: "running-requests-not-waited-out", changes: []change{
		{file: "ownership/holder/holder.go", before: "return now.Add(rules.maxRunTime + rules.maxRunTime*lagoonlanding.DriftPermille/1000)", after: "return now"},
	}},
	{name: "drain-not-awaited", changes: []change{
		{file: "requests/dispatcher/counter.go", before: "if counter.counts[shard] == 0 {", after: "if true {"},
	}},
	{name: "home-region-not-checked", changes: []change{
		{file: "requests/router/decision.go", before: "if !workspace.Permits(snapshot.Self().Region()) {", after: "if false {"},
	}},
	{name: "partition-outside-home-regions", changes: []change{
		{file: "requests/router/partition.go", before: "if !permitsAll(partition.Regions(), workspace) {", after: "if false {"},
		{file: "requests/router/decision.go", before: "if !workspace.Permits(member.Instance().Region()) {", after: "if false {"},
	}},
	{name: "older-set-applied", changes: []change{
		{file: "ownership/controller/directory.go", before: "if ok && known.Revision() >= entry.Revision() {", after: "if ok && known.Revision() == entry.Revision() {"},
		{file: "ownership/controller/directory.go", before: "if directory.set != nil && set.Version() <= directory.set.Version() {", after: "if false {"},
	}},
	{name: "lost-answer-told-as-not-run", changes: []change{
		{file: "requests/dispatcher/dispatcher.go", before: "if mayHaveRun && ", after: "if mayHaveRun && false && "},
	}},
	{name: "first-outcome-forgotten", changes: []change{
		{file: "requests/deduplicator/ledger.go", before: "if reply.Outcome() == lagoonlanding.OutcomeNotRun {", after: "if reply.Outcome() != lagoonlanding.OutcomeAnswered {"},
	}},
}
