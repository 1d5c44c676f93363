package runner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lagoonlanding.example/demo/relayer"
	"lagoonlanding.example/demo/starter"
	"lagoonlanding.example/lagoonlanding/platform/simulator"
	"lagoonlanding.example/lagoonlanding/runtime/reserver"
)

const (
	// runTime is the run time of a request at a backend server.
	runTime = 30 * time.Millisecond
	// heartbeatInterval is the time between two announcements, similar to the platform.
	heartbeatInterval = 400 * time.Millisecond
	// slotCount is the number of requests that a backend server runs concurrently.
	slotCount = 6
	// zoneCount is the number of availability zones, half of them in each region.
	zoneCount = 4
)

// The services of the fleet.
const (
	plainService   = "plain"
	shardedService = "divided"
)

// configurationTemplate is the configuration that operators publish, with placeholders for its version and the changing route.
const configurationTemplate = `{"version":%d,"routes":{
 "read":{"host":"h","prefix":"/read/","routeType":"idempotent","timeoutS":2,"targetLatencyS":1,"priority":2,"service":"plain","attempts":2},
 "write":{"host":"h","prefix":"/write/","routeType":"non_idempotent","timeoutS":2,"targetLatencyS":1,"priority":1,"service":"plain","attempts":2},
 "get":{"host":"h","prefix":"/get/","routeType":"idempotent","timeoutS":2,"targetLatencyS":1,"priority":2,"service":"divided","attempts":2},
 "put":{"host":"h","prefix":"/put/","routeType":"non_idempotent","timeoutS":2,"targetLatencyS":1,"priority":1,"service":"divided","attempts":2},
 "new":{"host":"h","prefix":"/new-%d/","routeType":"idempotent","timeoutS":2,"targetLatencyS":1,"priority":2,"service":"plain","attempts":2}},
 "services":{"plain":{"coldPerS":50},"divided":{"coldPerS":50,"sharded":true}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576}}`

// settingsTemplate is the settings file of a daemon.
const settingsTemplate = `nodeName = %q
ip = %q
zone = "z%d"
portRange = [%d, %d]
metrics-port = %d
advertised-peer-address = %q
bounds = ["graceS=6", "maxHoldS=10", "budgetSlack=56"]
appAddress = %q
service = %q
[zones]
z1 = "r1"
z2 = "r1"
z3 = "r2"
z4 = "r2"
[listenAddresses]
outbound = %q
ready = %q
control = %q
[platform]
address = %q
`

// member is one daemon with its backend server.
type member struct {
	name, service, appAddress, settingsPath string
	zone                                    int
	server                                  *simulator.Server

	mutex   sync.Mutex
	process *starter.Process
	// busy means that a fault is acting on the process, so that no other fault starts or stops it.
	busy bool
}

// fleet is the simulated platform with its daemons and backend servers.
type fleet struct {
	config  Config
	store   *simulator.Store
	checker *simulator.Checker
	network *relayer.Network
	starter *starter.Starter
	members []*member
	// publishing serializes the publication of configurations; version is that of the last one.
	publishing sync.Mutex
	version    int
}

func newFleet(ctx context.Context, config Config) (*fleet, error) {
	if err := os.MkdirAll(config.Logs, 0o755); err != nil {
		return nil, err
	}
	fleet := &fleet{
		config: config, store: simulator.NewStore(), checker: simulator.NewChecker(),
		starter: starter.New(starter.Config{Binaries: config.Binaries, Logs: config.Logs}),
	}
	fleet.network = relayer.New(fleet.processIDs)
	storeAddress := reserver.Address()
	server := &http.Server{Addr: storeAddress, Handler: fleet.store}
	go func() { _ = server.ListenAndServe() }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := fleet.publish(); err != nil {
		return nil, err
	}
	for number := range config.Daemons {
		if err := fleet.add(ctx, number, storeAddress); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// publish writes the next configuration.
func (fleet *fleet) publish() error {
	fleet.publishing.Lock()
	defer fleet.publishing.Unlock()
	fleet.version++
	return fleet.putConfiguration()
}

// publishAgain writes the newest configuration again, as the operator does after a restore of the store.
func (fleet *fleet) publishAgain() error {
	fleet.publishing.Lock()
	defer fleet.publishing.Unlock()
	return fleet.putConfiguration()
}

// putConfiguration writes the newest configuration; the caller holds the mutex.
func (fleet *fleet) putConfiguration() error {
	return fleet.store.Put("op/config", fmt.Sprintf(configurationTemplate, fleet.version, fleet.version))
}

// add starts one daemon with its backend server; all of their traffic goes through relays of the network.
func (fleet *fleet) add(ctx context.Context, number int, storeAddress string) error {
	service, server := plainService, fmt.Sprint("server-", number)
	if number%2 == 1 {
		service = shardedService
	}
	member := &member{name: fmt.Sprint("daemon-", number), service: service, appAddress: reserver.Address(), zone: number/2%zoneCount + 1}
	control, peerPort, serverAddress := reserver.Address(), reserver.Port(), reserver.Address()
	peerAddress := fmt.Sprintf("%s:%d", reserver.Host(), peerPort)
	relay := func(from, to, target string) (string, error) {
		listen := reserver.Address()
		return listen, fleet.network.Relay(ctx, relayer.RouteConfig{Listen: listen, Target: target, From: from, To: to})
	}
	toStore, err1 := relay(member.name, "store", storeAddress)
	toPeer, err2 := relay("", member.name, peerAddress)
	toServer, err3 := relay(member.name, server, serverAddress)
	toControl, err4 := relay(server, member.name, control)
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return err
	}
	member.server = simulator.NewServer(simulator.ServerConfig{
		Name: server, Service: service, Divided: service == shardedService, Address: serverAddress, AnnouncementAddress: toControl, RunTime: runTime, Slots: slotCount,
		SlowClock: 0.02 * float64(number%3) / 2, HeartbeatInterval: heartbeatInterval, Checker: fleet.checker,
	})
	member.settingsPath = filepath.Join(fleet.config.Logs, member.name+".toml")
	text := fmt.Sprintf(settingsTemplate, member.name, reserver.Host(), member.zone, peerPort, peerPort, reserver.Port(), toPeer, toServer, service,
		member.appAddress, reserver.Address(), control, toStore)
	if err := os.WriteFile(member.settingsPath, []byte(text), 0o600); err != nil {
		return err
	}
	fleet.members = append(fleet.members, member)
	return errors.Join(member.server.Start(ctx), fleet.start(member))
}

// start starts the member's daemon.
func (fleet *fleet) start(member *member) error {
	process, err := fleet.starter.Start(member.name, "lagoonmesh", "-settings", member.settingsPath)
	member.mutex.Lock()
	defer member.mutex.Unlock()
	member.process = process
	return err
}

// daemonProcess returns the process of the member's daemon.
func (member *member) daemonProcess() *starter.Process {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	return member.process
}

// acquire reserves the member for a fault; it returns false if another fault has reserved it.
func (member *member) acquire() bool {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	if member.busy {
		return false
	}
	member.busy = true
	return true
}

func (member *member) release() {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	member.busy = false
}

// processIDs returns the process IDs of the running daemons by name.
func (fleet *fleet) processIDs() map[string]int {
	ids := map[string]int{}
	for _, member := range fleet.members {
		if process := member.daemonProcess(); process != nil && !process.HasExited() {
			ids[member.name] = process.PID()
		}
	}
	return ids
}
