package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/adapters/storer"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

const (
	serviceName = "status-app"
	tenantName  = "mall"
	shards      = 32
	// daemons is the number of daemons; with two a request can be sent to one that does not own its key.
	daemons = 2
	// startTimeout bounds the start of the fleet.
	startTimeout = 20 * time.Second
	// stopTimeout bounds the graceful shutdown of a process.
	stopTimeout = 5 * time.Second
	// pollInterval is the time between two checks of an awaited condition.
	pollInterval = 50 * time.Millisecond
	// portsPerNode is the number of ports reserved for each node.
	portsPerNode = 10
)

// node is a daemon with its backend server; caller, peer, local, admin and backend are their addresses.
type node struct {
	name    string
	caller  string
	peer    string
	local   string
	admin   string
	backend string
	process *exec.Cmd
}

// fleet holds all processes of the measurement.
type fleet struct {
	nodes     []node
	processes []*exec.Cmd
	folder    string
}

func newNode(index, firstPort int) node {
	at := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+portsPerNode*(index+1)+offset) }
	return node{
		name: fmt.Sprintf("%s-%d", serviceName, index+1), caller: at(0), peer: at(1), local: at(2), admin: at(3), backend: at(4),
	}
}

// startFleet starts the store, the daemons and their backend servers and waits until every daemon owns keys.
func startFleet(ctx context.Context, options options) (*fleet, error) {
	folder, err := os.MkdirTemp("", "lagoonlanding-bench")
	if err != nil {
		return nil, fmt.Errorf("create the settings folder: %w", err)
	}
	fleet := &fleet{folder: folder}
	if err := fleet.start(ctx, options); err != nil {
		fleet.stop()
		return nil, err
	}
	return fleet, nil
}

func (fleet *fleet) start(ctx context.Context, options options) error {
	store := fmt.Sprintf("127.0.0.1:%d", options.port)
	if _, err := fleet.launch(filepath.Join(options.binaries, "storestandin"), "-address", store); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of this executable: %w", err)
	}
	for index := range daemons {
		node := newNode(index, options.port)
		settings, err := fleet.writeSettings(node, "http://"+store)
		if err != nil {
			return err
		}
		if node.process, err = fleet.launch(filepath.Join(options.binaries, "lagoond"), "-settings", settings); err != nil {
			return err
		}
		if _, err := fleet.launch(self, "-backend", node.backend, "-daemon", node.local); err != nil {
			return err
		}
		fleet.nodes = append(fleet.nodes, node)
	}
	if err := publish(ctx, "http://"+store); err != nil {
		return err
	}
	return await(ctx, "every daemon owns keys", func() bool { return len(fleet.keysByOwner()) == daemons })
}

// launch starts a process that stop terminates.
func (fleet *fleet) launch(program string, args ...string) (*exec.Cmd, error) {
	process := exec.Command(program, args...)
	process.Stderr = os.Stderr
	if err := process.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	fleet.processes = append(fleet.processes, process)
	return process, nil
}

func (fleet *fleet) writeSettings(node node, storeURL string) (string, error) {
	path := filepath.Join(fleet.folder, node.name+".toml")
	text := fmt.Sprintf(`name = %q
availability-zone = "piraeus"
region = "attica"
peer-address = %q
caller-address = %q
local-address = %q
admin-address = %q
store-url = %q
log-level = "error"
shutdown-timeout = "3s"
`, node.name, node.peer, node.caller, node.local, node.admin, storeURL)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", fmt.Errorf("write the settings of %s: %w", node.name, err)
	}
	return path, nil
}

// stop terminates all processes in the reverse order of their start.
func (fleet *fleet) stop() {
	for i := len(fleet.processes) - 1; i >= 0; i-- {
		process := fleet.processes[i]
		_ = process.Process.Signal(syscall.SIGTERM)
		timer := time.AfterFunc(stopTimeout, func() { _ = process.Process.Kill() })
		_ = process.Wait()
		timer.Stop()
	}
	_ = os.RemoveAll(fleet.folder)
}

// publish writes a set with one sharded service, all of whose requests are idempotent, to the store.
func publish(ctx context.Context, storeURL string) error {
	partition := publisher.NewPartition(publisher.PartitionConfig{Name: "attica", Regions: []string{"attica"}, Shards: shards})
	set := publisher.NewSet(publisher.SetConfig{
		Version:           1,
		HomeRegions:       []publisher.HomeRegion{publisher.NewHomeRegion(publisher.HomeRegionConfig{Name: "attica"})},
		AvailabilityZones: []publisher.AvailabilityZone{publisher.NewAvailabilityZone(publisher.AvailabilityZoneConfig{Name: "piraeus", Region: "attica"})},
		Services: []publisher.Service{publisher.NewService(publisher.ServiceConfig{
			Name: serviceName, Divided: true, Partitions: []publisher.Partition{partition}, ChecksFence: true,
			LongestDeadline: 5 * time.Second, Slots: slots, Connections: slots, Queue: 1000,
		})},
		Workspaces: []publisher.Workspace{publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "mesh"})},
		Tenants:    []publisher.Tenant{publisher.NewTenant(publisher.TenantConfig{Name: tenantName, Workspace: "mesh", Weight: 1})},
		Classes:    []publisher.Class{publisher.NewClass(publisher.ClassConfig{Name: "lookup", Cost: 1})},
		Routes: []publisher.Route{publisher.NewRoute(publisher.RouteConfig{
			Name: "tags", Path: "/tags/{key}", Service: serviceName, Class: "lookup",
		})},
	})
	data, err := encoder.Sets{}.Encode(set)
	if err != nil {
		return fmt.Errorf("encode the set: %w", err)
	}
	store := storer.New(storer.Config{URL: storeURL})
	var swapErr error
	waitErr := await(ctx, "the store accepts the set", func() bool {
		_, swapErr = store.CompareAndSwap(ctx, lagoonlanding.SetKey, 0, data)
		return swapErr == nil || errors.Is(swapErr, lagoonlanding.ErrConflict)
	})
	return errors.Join(waitErr, swapErr)
}

const probedKeys = 200

// keysByOwner requests probedKeys keys and groups them by the owner that the daemons report; it returns nil if a request fails.
func (fleet *fleet) keysByOwner() map[string][]string {
	owners := make(map[string][]string)
	for i := range probedKeys {
		key := fmt.Sprintf("tag-%d", i)
		response, err := get(http.DefaultClient, "http://"+fleet.nodes[i%daemons].caller+"/tags/"+key)
		if err != nil || response.StatusCode != http.StatusOK {
			return nil
		}
		owner := response.Header.Get("Lagoonlanding-Owner")
		owners[owner] = append(owners[owner], key)
	}
	return owners
}

// await polls the condition until it holds or startTimeout has passed.
func await(ctx context.Context, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("wait until %s: %w", what, ctx.Err())
		}
	}
	return nil
}
