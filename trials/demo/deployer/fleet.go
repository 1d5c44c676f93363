package deployer

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lagoonlanding.example/demo/relayer"
	"lagoonlanding.example/demo/starter"
)

const (
	readyTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
	// shutdownTimeout is short because no daemon is left to accept shards when the whole fleet stops.
	shutdownTimeout = 4 * time.Second
	// storeName is the name of the store as an end of a connection in relayer.Network.
	storeName = "store"
)

// Config holds the dependencies of a Fleet.
type Config struct {
	// Plan is the deployment.
	Plan Plan
	// Port is the first of the consecutive ports that the fleet uses.
	Port int
	// WorkDir is the directory for settings, logs and run logs.
	WorkDir string
	// Relayed makes daemons reach each other and the store through relays, which can simulate network faults.
	//
	// A relay accepts connections to a daemon that has terminated, where the operating system would refuse them.
	Relayed bool
	// Starter starts the processes.
	Starter *starter.Starter
}

// Fleet is a running deployment.
type Fleet struct {
	config    Config
	instances []Instance
	network   *relayer.Network
	mutex     sync.Mutex
	daemons   map[string]*starter.Process
	servers   map[string]*starter.Process
	store     *starter.Process
}

// New returns the fleet of the plan; its processes are not started yet.
func New(config Config) *Fleet {
	fleet := &Fleet{
		config:    config,
		instances: config.Plan.Instances(config.Port + portsPerInstance),
		daemons:   make(map[string]*starter.Process),
		servers:   make(map[string]*starter.Process),
	}
	fleet.network = relayer.New(fleet.processIDs)
	return fleet
}

// Instances returns all instances.
func (fleet *Fleet) Instances() []Instance { return fleet.instances }

// Network returns the network of relays between the daemons and to the store.
func (fleet *Fleet) Network() *relayer.Network { return fleet.network }

// StoreURL returns the URL of the store, bypassing the relays.
func (fleet *Fleet) StoreURL() string { return "http://" + address(fleet.config.Port) }

// RunLogDir returns the directory in which each backend server writes its run log.
func (fleet *Fleet) RunLogDir() string { return filepath.Join(fleet.config.WorkDir, "runs") }

// Daemon returns the most recently started process of the daemon.
func (fleet *Fleet) Daemon(name string) *starter.Process {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.daemons[name]
}

// Server returns the most recently started process of the backend server.
func (fleet *Fleet) Server(name string) *starter.Process {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.servers[name]
}

// Instance returns the instance with the name.
func (fleet *Fleet) Instance(name string) (Instance, bool) {
	for _, instance := range fleet.instances {
		if instance.Name() == name {
			return instance, true
		}
	}
	return Instance{}, false
}

// Start starts the store, the relays, the daemons and the backend servers.
func (fleet *Fleet) Start(ctx context.Context) error {
	if err := os.MkdirAll(fleet.RunLogDir(), 0o700); err != nil {
		return fmt.Errorf("create the run log directory: %w", err)
	}
	store, err := fleet.config.Starter.Start("store", "storestandin", "-address", address(fleet.config.Port))
	if err != nil {
		return err
	}
	fleet.store = store
	for _, instance := range fleet.instances {
		if err := fleet.startRelays(ctx, instance); err != nil {
			return err
		}
		if err := fleet.StartDaemon(instance); err != nil {
			return err
		}
		if err := fleet.StartServer(instance); err != nil {
			return err
		}
	}
	return nil
}

func (fleet *Fleet) startRelays(ctx context.Context, instance Instance) error {
	if !fleet.config.Relayed {
		return nil
	}
	peer := relayer.RouteConfig{Listen: instance.PeerAddress(), Target: instance.PeerListenAddress(), To: instance.Name()}
	if err := fleet.network.Relay(ctx, peer); err != nil {
		return err
	}
	store := relayer.RouteConfig{Listen: instance.StoreAddress(), Target: address(fleet.config.Port), From: instance.Name(), To: storeName}
	return fleet.network.Relay(ctx, store)
}

// StartDaemon starts the daemon of the instance.
func (fleet *Fleet) StartDaemon(instance Instance) error {
	path := filepath.Join(fleet.config.WorkDir, instance.Name()+".toml")
	if err := os.WriteFile(path, []byte(fleet.settings(instance)), 0o600); err != nil {
		return fmt.Errorf("write the settings of %s: %w", instance.Name(), err)
	}
	process, err := fleet.config.Starter.Start(instance.Name(), "lagoond", "-settings", path)
	if err != nil {
		return err
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.daemons[instance.Name()] = process
	return nil
}

// StartServer starts the backend server of the instance.
func (fleet *Fleet) StartServer(instance Instance) error {
	name := instance.Name() + "-upstream"
	process, err := fleet.config.Starter.Start(name, "upstreamstandin",
		"-address", instance.UpstreamAddress(), "-daemon", instance.LocalAddress(), "-name", instance.Name(),
		"-service", instance.Service().Name(), "-region", instance.Zone().Region(),
		"-runs-file", filepath.Join(fleet.RunLogDir(), instance.Name()+".jsonl"), "-seed", fmt.Sprint(instance.port))
	if err != nil {
		return err
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.servers[instance.Name()] = process
	return nil
}

func (fleet *Fleet) settings(instance Instance) string {
	listen, store := instance.PeerAddress(), fleet.StoreURL()
	if fleet.config.Relayed {
		listen, store = instance.PeerListenAddress(), "http://"+instance.StoreAddress()
	}
	return fmt.Sprintf(`name = %q
availability-zone = %q
region = %q
peer-address = %q
peer-listen-address = %q
caller-address = %q
local-address = %q
admin-address = %q
store-url = %q
shutdown-timeout = %q
`, instance.Name(), instance.Zone().Name(), instance.Zone().Region(), instance.PeerAddress(), listen,
		instance.CallerAddress(), instance.LocalAddress(), instance.AdminAddress(), store, shutdownTimeout.String())
}

// AwaitStore waits until the store responds.
func (fleet *Fleet) AwaitStore(ctx context.Context) error {
	return waitFor(ctx, "the store", func() bool { return isOK(fleet.StoreURL() + "/counters") })
}

// AwaitReady waits until all daemons accept requests.
func (fleet *Fleet) AwaitReady(ctx context.Context) error {
	for _, instance := range fleet.instances {
		url := "http://" + instance.CallerAddress() + "/.lagoonlanding/ready"
		if err := waitFor(ctx, instance.Name(), func() bool { return isOK(url) }); err != nil {
			return err
		}
	}
	return nil
}

func waitFor(ctx context.Context, name string, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", name, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func isOK(url string) bool {
	response, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// processIDs returns the process IDs of the running daemons by instance name.
func (fleet *Fleet) processIDs() map[string]int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	ids := make(map[string]int, len(fleet.daemons))
	for name, process := range fleet.daemons {
		if !process.HasExited() {
			ids[name] = process.PID()
		}
	}
	return ids
}
