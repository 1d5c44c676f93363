package budgeter

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

func process(number int) lagoonlanding.BackendID {
	return lagoonlanding.NewBackendID("d", "s", int64(number))
}

// TestServerBytesAreLearned guards against a server that crashes again and again, and against a limit that stays low for a server with more memory.
//
// Ten slots and a queue of 36 are always full with bodies of 300 KB, 13.8 MB in all; each request lasts 200 ms.
func TestServerBytesAreLearned(t *testing.T) {
	const size, places, rounds = 300 << 10, 46, 1500
	for memory, want := range map[int64]struct {
		crashes     int
		atLeastHeld int64
	}{6 << 20: {crashes: 2, atLeastHeld: 3 << 20}, 64 << 20: {crashes: 0, atLeastHeld: 13 << 20}} {
		bytes, crashes, now := NewServerBytes(), 0, time.Unix(1000, 0)
		for range rounds {
			entered := 0
			for range places {
				if _, ok := bytes.Enter(now, size); ok {
					entered++
				}
			}
			now = now.Add(200 * time.Millisecond)
			answered := int64(entered)*size <= memory
			if !answered {
				crashes++
				bytes.Crashed(now, process(crashes))
				bytes.Crashed(now, process(crashes))
			}
			for range entered {
				bytes.Leave(now, size, answered)
			}
		}
		if held, limit, _ := bytes.State(); crashes > want.crashes || limit < want.atLeastHeld || held != 0 {
			t.Errorf("memory %d: %d crashes, limit %d, %d bytes left", memory, crashes, limit, held)
		}
	}
}

// TestOrdinaryLoadFits guards against refusals of ordinary requests before anything is known, and by crashes for other reasons.
func TestOrdinaryLoadFits(t *testing.T) {
	bytes, now := NewServerBytes(), time.Unix(1000, 0)
	for range 46 {
		if _, ok := bytes.Enter(now, 64<<10); !ok {
			t.Fatal("an ordinary request was refused")
		}
	}
	for range 46 {
		bytes.Leave(now, 64<<10, true)
	}
	bytes.Enter(now, 500)
	if _, previous, current := bytes.Crashed(now, process(1)); previous != current {
		t.Errorf("a crash with 500 bytes lowered the limit to %d", current)
	}
}

// TestLargeRequests guards against a large request that can never run, and against one that crashes each process of a server.
func TestLargeRequests(t *testing.T) {
	bytes, now := NewServerBytes(), time.Unix(1000, 0)
	if _, ok := bytes.Enter(now, 40<<20); !ok {
		t.Error("a large request was refused although the server holds nothing")
	}
	if _, ok := bytes.Enter(now, 64<<10); ok {
		t.Error("a request was accepted beside one that exceeds the limit")
	}
	if _, ok := bytes.Enter(now, 500); !ok {
		t.Error("a request without a body was refused")
	}
	bytes.Crashed(now, process(1))
	bytes.Leave(now, 40<<20, false)
	bytes.Leave(now, 500, false)
	if delay, ok := bytes.Enter(now, 40<<20); ok || delay != impossibleRetryDelay {
		t.Error("the server gets again what it has crashed with")
	}
	if _, ok := bytes.Enter(now.Add(ceilingTerm+time.Second), 40<<20); !ok {
		t.Error("a crash counts for ever")
	}
	bytes.Leave(now.Add(ceilingTerm+2*time.Second), 40<<20, true)
	if _, limit, _ := bytes.State(); limit < 25<<20 {
		t.Errorf("the server has run a request of 40 MiB, and the limit is %d", limit)
	}
}

// TestBodiesWithoutLength guards against endless bodies beside others that exceed the server's memory, and against ending ordinary ones for them.
func TestBodiesWithoutLength(t *testing.T) {
	bytes, now, ended := NewServerBytes(), time.Unix(1000, 0), 0
	held := make([]int64, 20)
	for range held {
		bytes.Enter(now, 0)
	}
	for round := range 100 {
		for number := range held {
			switch {
			case number == 0 && round >= 4:
				// The first is an ordinary body of 64 KB.
			case bytes.Add(held[number], 16<<10):
				held[number] += 16 << 10
			default:
				bytes.Leave(now, held[number], false)
				bytes.Enter(now, 0)
				held[number] = 0
				ended++
			}
		}
	}
	if total, _, _ := bytes.State(); held[0] != 64<<10 || total > 2*firstServerBytes || ended == 0 {
		t.Errorf("%d bytes are held, %d of them of an ordinary body; %d bodies were ended", total, held[0], ended)
	}
}
