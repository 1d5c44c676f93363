package budgeter

// Kind is what memory is held for.
type Kind int

// The kinds of memory.
const (
	// Requests are the bytes of request bodies that have arrived or are kept for a retry.
	Requests Kind = iota
	// Heads are the heads of requests.
	Heads
	// Queues are tasks that wait for a slot, and answers that wait for those before them on their connection.
	Queues
	// Answers are the bytes of answers that have been received and not yet been passed on.
	Answers
	// Connections are connections with their buffers, at a fixed cost.
	Connections
	// Goroutines are the goroutines of requests, at a fixed cost.
	Goroutines
	kinds
)

var kindNames = [kinds]string{"requests", "heads", "queues", "answers", "connections", "goroutines"}

// String returns the name of the kind in metrics.
func (kind Kind) String() string { return kindNames[kind] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Requests, Heads, Queues, Answers, Connections, Goroutines} }

// The fixed costs in bytes.
const (
	// ConnectionCost is that of a connection: two buffers of 4 KiB, the text of a usual head, and the stack of the reading goroutine.
	ConnectionCost = 18 << 10
	// OutgoingCost is that of a connection to a server or another daemon: its buffer of 4 KiB and its bookkeeping.
	OutgoingCost = 6 << 10
	// GoroutineCost is that of a request in progress: the stack of its goroutine, which grows to 8 KiB, and its objects.
	GoroutineCost = 12 << 10
	// QueuedCost is that of a task that waits for a slot: its metadata, its timers and its channel.
	QueuedCost = 2 << 10
)
