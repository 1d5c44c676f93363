package reserver

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// firstPort lies below the ports that the kernel gives to outgoing connections by default (32768 and up).
	firstPort = 10000
	// ports is how many addresses one process may reserve before ports come again.
	ports = 20000
)

var reserved atomic.Uint32

// Host returns the loopback address of this process, in 127.64.0.0/10, which its process id makes its own.
func Host() string {
	// Process ids have at most 22 bits (PID_MAX_LIMIT of Linux).
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64|id>>16&0x3f, id>>8&0xff, id&0xff)
}

// Address returns an address of Host whose port was not returned before.
//
// Closing a listener on port 0 and using its port later is no reservation: the kernel may give the port to others meanwhile.
func Address() string { return fmt.Sprintf("%s:%d", Host(), Port()) }

// Port returns a port that was not returned before.
func Port() int { return firstPort + int(reserved.Add(1)-1)%ports }
