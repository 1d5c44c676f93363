package reserver

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// firstPort is below Linux's default range of ephemeral ports, which starts at 32768.
	firstPort = 10000
	// portCount is the number of ports that one process can reserve before they repeat.
	portCount = 20000
)

var reservedCount atomic.Uint32

// Host returns a loopback address in 127.64.0.0/10 that is derived from the process ID and therefore unique to this process.
func Host() string {
	// Linux process IDs have at most 22 bits (PID_MAX_LIMIT).
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64|id>>16&0x3f, id>>8&0xff, id&0xff)
}

// Address returns an address of Host with a port that was not returned before.
//
// Listening on port 0 and closing the listener does not reserve the port: the kernel may assign it to another socket in the meantime.
func Address() string { return fmt.Sprintf("%s:%d", Host(), Port()) }

// Port returns a port that was not returned before.
func Port() int { return firstPort + int(reservedCount.Add(1)-1)%portCount }
