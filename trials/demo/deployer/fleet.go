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
	// shutdownTimeout bounds the end of the whole fleet, when nobody is left to hand shards over to.
	shutdownTimeout = 4 * time.Second
	// storeName names the store in the network's cuts.
	storeName = "store"
)

// Config holds the parts of a Fleet.
type Config struct {
	// Plan is the deployment.
	Plan Plan
	// Port is the first of the ports.
	Port int
	// Work is the folder for settings, logs and runs.
	Work string
	// Relayed says that daemons reach each other and the store through relays that can be cut.
	//
	// A relay accepts connections to a lost daemon, which the system of a lost machine would refuse.
	Relayed bool
	// Starter starts the processes.
	Starter *starter.Starter
}

// Fleet is a deployment whose processes run.
type Fleet struct {
	config  Config
	places  []Place
	network *relayer.Network
	mutex   sync.Mutex
	daemons map[string]*starter.Process
	servers map[string]*starter.Process
	store   *starter.Process
}

// New returns the fleet of the plan before its processes are started.
func New(config Config) *Fleet {
	fleet := &Fleet{
		config:  config,
		places:  config.Plan.Places(config.Port + portsPerInstance),
		daemons: make(map[string]*starter.Process),
		servers: make(map[string]*starter.Process),
	}
	fleet.network = relayer.New(fleet.processes)
	return fleet
}

// Places returns where the daemons run.
func (fleet *Fleet) Places() []Place { return fleet.places }

// Network returns the connections between the daemons and to the store.
func (fleet *Fleet) Network() *relayer.Network { return fleet.network }

// StoreURL returns the address of the store without a relay.
func (fleet *Fleet) StoreURL() string { return "http://" + address(fleet.config.Port) }

// RunsFolder returns the folder in which each backend server writes its runs.
func (fleet *Fleet) RunsFolder() string { return filepath.Join(fleet.config.Work, "runs") }

// Daemon returns the newest process of the daemon.
func (fleet *Fleet) Daemon(name string) *starter.Process {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.daemons[name]
}

// Server returns the newest process of the backend server.
func (fleet *Fleet) Server(name string) *starter.Process {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.servers[name]
}

// Place returns the place with the name.
func (fleet *Fleet) Place(name string) (Place, bool) {
	for _, place := range fleet.places {
		if place.Name() == name {
			return place, true
		}
	}
	return Place{}, false
}

// Start brings up the store, the relays, the daemons and the backend servers.
func (fleet *Fleet) Start(ctx context.Context) error {
	if err := os.MkdirAll(fleet.RunsFolder(), 0o700); err != nil {
		return fmt.Errorf("make the folder of runs: %w", err)
	}
	store, err := fleet.config.Starter.Start("store", "storestandin", "-address", address(fleet.config.Port))
	if err != nil {
		return err
	}
	fleet.store = store
	for _, place := range fleet.places {
		if err := fleet.relay(ctx, place); err != nil {
			return err
		}
		if err := fleet.StartDaemon(place); err != nil {
			return err
		}
		if err := fleet.StartServer(place); err != nil {
			return err
		}
	}
	return nil
}

func (fleet *Fleet) relay(ctx context.Context, place Place) error {
	if !fleet.config.Relayed {
		return nil
	}
	peer := relayer.RouteConfig{Listen: place.PeerAddress(), Target: place.PeerListenAddress(), To: place.Name()}
	if err := fleet.network.Relay(ctx, peer); err != nil {
		return err
	}
	store := relayer.RouteConfig{Listen: place.StoreAddress(), Target: address(fleet.config.Port), From: place.Name(), To: storeName}
	return fleet.network.Relay(ctx, store)
}

// StartDaemon starts the daemon of the place.
func (fleet *Fleet) StartDaemon(place Place) error {
	path := filepath.Join(fleet.config.Work, place.Name()+".toml")
	if err := os.WriteFile(path, []byte(fleet.settings(place)), 0o600); err != nil {
		return fmt.Errorf("write the settings of %s: %w", place.Name(), err)
	}
	process, err := fleet.config.Starter.Start(place.Name(), "lagoond", "-settings", path)
	if err != nil {
		return err
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.daemons[place.Name()] = process
	return nil
}

// StartServer starts the backend server of the place.
func (fleet *Fleet) StartServer(place Place) error {
	name := place.Name() + "-upstream"
	process, err := fleet.config.Starter.Start(name, "upstreamstandin",
		"-address", place.UpstreamAddress(), "-daemon", place.LocalAddress(), "-name", place.Name(),
		"-service", place.Service().Name(), "-region", place.Zone().Region(),
		"-runs-file", filepath.Join(fleet.RunsFolder(), place.Name()+".jsonl"), "-seed", fmt.Sprint(place.port))
	if err != nil {
		return err
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.servers[place.Name()] = process
	return nil
}

func (fleet *Fleet) settings(place Place) string {
	listen, store := place.PeerAddress(), fleet.StoreURL()
	if fleet.config.Relayed {
		listen, store = place.PeerListenAddress(), "http://"+place.StoreAddress()
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
`, place.Name(), place.Zone().Name(), place.Zone().Region(), place.PeerAddress(), listen,
		place.CallerAddress(), place.LocalAddress(), place.AdminAddress(), store, shutdownTimeout.String())
}

// AwaitStore waits until the store answers.
func (fleet *Fleet) AwaitStore(ctx context.Context) error {
	return await(ctx, "the store", func() bool { return isOK(fleet.StoreURL() + "/counters") })
}

// AwaitReady waits until all daemons take requests.
func (fleet *Fleet) AwaitReady(ctx context.Context) error {
	for _, place := range fleet.places {
		url := "http://" + place.CallerAddress() + "/.lagoonlanding/ready"
		if err := await(ctx, place.Name(), func() bool { return isOK(url) }); err != nil {
			return err
		}
	}
	return nil
}

func await(ctx context.Context, name string, ready func() bool) error {
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

// processes returns the ids of the daemons by name.
func (fleet *Fleet) processes() map[string]int {
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
