package demonstrator

import (
	"fmt"
	"testing"
)

func TestOwners(t *testing.T) {
	before := make(Owners)
	for number := range sampledKeys {
		before[fmt.Sprintf("k-%d", number)] = []string{"a", "b", "b", "c"}[number%4]
	}
	if got := before.Busiest(); got != "b" {
		t.Errorf("busiest owner %q", got)
	}
	if got := before.Imbalance(); got != 1.5 {
		t.Errorf("imbalance %v", got)
	}
	keys := before.KeysOf("c", 2)
	if len(keys) != 2 || keys[0] != "k-3" || keys[1] != "k-7" {
		t.Errorf("keys of c: %v", keys)
	}
	after := make(Owners)
	for key, owner := range before {
		if after[key] = owner; owner == "c" {
			after[key] = "a"
		}
	}
	if got := before.Moved(after); got != sampledKeys/4 {
		t.Errorf("%d keys moved", got)
	}
}
