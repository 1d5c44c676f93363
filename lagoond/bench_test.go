package main

import (
	"fmt"
	"net/http"
	"testing"

	"lagoonlanding.example/lagoonlanding/adapters/storer"
)

// BenchmarkPaths measures requests sent to the owner's daemon and to another one, including the cost of the client and the backend server.
func BenchmarkPaths(b *testing.B) {
	nodes := startFleet(b, storer.NewMemory(), 2)
	var key string
	for i := range 100 {
		key = fmt.Sprintf("/tags/%d", i)
		got, err := send("GET", nodes[0].url(key), "")
		if err == nil && got.fields.Get("Lagoonlanding-Owner") == nodes[0].settings.Name() {
			break
		}
	}
	for index, name := range []string{"owner", "other"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if got, err := send("GET", nodes[index].url(key), ""); err != nil || got.status != http.StatusOK {
					b.Fatalf("got %d, %v", got.status, err)
				}
			}
		})
	}
}
