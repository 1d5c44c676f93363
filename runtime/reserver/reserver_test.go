package reserver

import (
	"net"
	"testing"
)

func TestAddressesAreDistinctAndUsable(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		address := Address()
		if seen[address] {
			t.Fatalf("%s was returned twice", address)
		}
		seen[address] = true
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
