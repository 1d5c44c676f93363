package player

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
	// workTerm is how long a request takes at a backend server.
	workTerm = 30 * time.Millisecond
	// beatInterval is the time between two announcements, about as on the platform.
	beatInterval = 400 * time.Millisecond
	// slots is how many requests a backend server runs at once.
	slots = 6
	// zones is the number of availability zones, half of them in each region.
	zones = 4
)

// The services of the fleet.
const (
	servicePlain   = "plain"
	serviceDivided = "divided"
)

// configuration is what the operators publish; its version and the path of the changing route are filled in.
const configuration = `{"version":%d,"routes":{
 "read":{"host":"h","prefix":"/read/","routeType":"idempotent","timeoutS":2,"targetLatencyS":1,"priority":2,"service":"plain","attempts":2},
 "write":{"host":"h","prefix":"/write/","routeType":"non_idempotent","timeoutS":2,"targetLatencyS":1,"priority":1,"service":"plain","attempts":2},
 "get":{"host":"h","prefix":"/get/","routeType":"idempotent","timeoutS":2,"targetLatencyS":1,"priority":2,"service":"divided","attempts":2},
 "put":{"host":"h","prefix":"/put/","routeType":"non_idempotent","timeoutS":2,"targetLatencyS":1,"priority":1,"service":"divided","attempts":2},
 "new":{"host":"h","prefix":"/new-%d/","routeType":"idempotent","timeoutS":2,"targetLatencyS":1,"priority":2,"service":"plain","attempts":2}},
 "services":{"plain":{"coldPerS":50},"divided":{"coldPerS":50,"sharded":true}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576}}`

// settings is the settings file of a daemon.
const settings = `nodeName = %q
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
	name, service, front, file string
	zone                       int
	server                     *simulator.Server

	mutex   sync.Mutex
	process *starter.Process
	// busy says that a fault holds the process, so that another one leaves it alone.
	busy bool
}

// fleet is the whole deployment.
type fleet struct {
	config  Config
	store   *simulator.Store
	judge   *simulator.Judge
	network *relayer.Network
	starter *starter.Starter
	members []*member
	version int
}

func newFleet(ctx context.Context, config Config) (*fleet, error) {
	if err := os.MkdirAll(config.Logs, 0o755); err != nil {
		return nil, err
	}
	made := &fleet{
		config: config, store: simulator.NewStore(), judge: simulator.NewJudge(),
		starter: starter.New(starter.Config{Binaries: config.Binaries, Logs: config.Logs}),
	}
	made.network = relayer.New(made.processes)
	storeAddress := reserver.Address()
	front := &http.Server{Addr: storeAddress, Handler: made.store}
	go func() { _ = front.ListenAndServe() }()
	context.AfterFunc(ctx, func() { _ = front.Close() })
	if err := made.publish(); err != nil {
		return nil, err
	}
	for number := range config.Daemons {
		if err := made.add(ctx, number, storeAddress); err != nil {
			return nil, err
		}
	}
	return made, nil
}

// publish writes the next configuration.
func (fleet *fleet) publish() error {
	fleet.version++
	return fleet.store.Put("op/config", fmt.Sprintf(configuration, fleet.version, fleet.version))
}

// add starts one daemon with its backend server; everything between them and the others goes through the network.
func (fleet *fleet) add(ctx context.Context, number int, storeAddress string) error {
	service, server := servicePlain, fmt.Sprint("server-", number)
	if number%2 == 1 {
		service = serviceDivided
	}
	member := &member{name: fmt.Sprint("daemon-", number), service: service, front: reserver.Address(), zone: number/2%zones + 1}
	control, peerPort, serverAddress := reserver.Address(), reserver.Port(), reserver.Address()
	peerAddress := fmt.Sprintf("%s:%d", reserver.Host(), peerPort)
	way := func(from, to, target string) (string, error) {
		listen := reserver.Address()
		return listen, fleet.network.Relay(ctx, relayer.RouteConfig{Listen: listen, Target: target, From: from, To: to})
	}
	toStore, err1 := way(member.name, "store", storeAddress)
	toPeer, err2 := way("", member.name, peerAddress)
	toServer, err3 := way(member.name, server, serverAddress)
	toControl, err4 := way(server, member.name, control)
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return err
	}
	member.server = simulator.NewServer(simulator.ServerConfig{
		Name: server, Service: service, Divided: service == serviceDivided, Address: serverAddress, Control: toControl, Work: workTerm, Slots: slots,
		SlowClock: 0.02 * float64(number%3) / 2, BeatInterval: beatInterval, Judge: fleet.judge,
	})
	member.file = filepath.Join(fleet.config.Logs, member.name+".toml")
	text := fmt.Sprintf(settings, member.name, reserver.Host(), member.zone, peerPort, peerPort, reserver.Port(), toPeer, toServer, service,
		member.front, reserver.Address(), control, toStore)
	if err := os.WriteFile(member.file, []byte(text), 0o600); err != nil {
		return err
	}
	fleet.members = append(fleet.members, member)
	return errors.Join(member.server.Start(ctx), fleet.start(member))
}

// start starts the member's daemon.
func (fleet *fleet) start(member *member) error {
	process, err := fleet.starter.Start(member.name, "lagoonmesh", "-settings", member.file)
	member.mutex.Lock()
	defer member.mutex.Unlock()
	member.process = process
	return err
}

// running returns the process of the member's daemon.
func (member *member) running() *starter.Process {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	return member.process
}

// take reserves the member for a fault; it is false if another one has it.
func (member *member) take() bool {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	if member.busy {
		return false
	}
	member.busy = true
	return true
}

func (member *member) giveBack() {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	member.busy = false
}

// processes returns the process ids of the daemons by name.
func (fleet *fleet) processes() map[string]int {
	ids := map[string]int{}
	for _, member := range fleet.members {
		if process := member.running(); process != nil && !process.HasExited() {
			ids[member.name] = process.PID()
		}
	}
	return ids
}
