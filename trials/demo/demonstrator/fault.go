package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"lagoonlanding.example/demo/deployer"
)

const (
	// faultTime is how long a fault lasts; it is above the term of every promise.
	faultTime = 4 * time.Second
	// unavailableLimit is how long a key may stay without service after a loss.
	unavailableLimit = 2 * time.Second
)

// Fault is one way in which a part of the fleet fails and comes back.
type Fault struct {
	name   string
	inject func(ctx context.Context, fleet *deployer.Fleet, victim deployer.Instance) error
	mend   func(ctx context.Context, fleet *deployer.Fleet, victim deployer.Instance) error
}

// Name returns what fails.
func (fault Fault) Name() string { return fault.name }

// Faults returns all faults in the order in which they are played.
func Faults() []Fault {
	return append(append(losses(), pauses()...), cuts()...)
}

func losses() []Fault {
	return []Fault{
		{name: "daemon killed", inject: killDaemon, mend: startDaemon},
		{name: "daemon and backend server killed", inject: killBoth, mend: startBoth},
		{name: "backend server killed", inject: killServer, mend: startServer},
		{name: "daemon restarted gracefully", inject: restartDaemon, mend: nothing},
		{name: "all of an availability zone killed", inject: inZone(killBoth), mend: inZone(startBoth)},
		{name: "daemon killed, 3 answers of the store lost", inject: inOrder(setStore(`{"lost-answers":3}`), killDaemon), mend: startDaemon},
	}
}

func pauses() []Fault {
	return []Fault{
		{name: "daemon frozen and thawed", inject: freezeDaemon, mend: thawDaemon},
		{name: "backend server frozen and thawed", inject: freezeServer, mend: thawServer},
		{name: "store down", inject: setStore(`{"down":true}`), mend: setStore(`{}`)},
		{name: "store silent", inject: setStore(`{"silent":true}`), mend: setStore(`{}`)},
		{name: "store slow by 500 ms", inject: setStore(`{"delay-milliseconds":500}`), mend: setStore(`{}`)},
		{name: "daemon killed, store slow by 200 ms", inject: inOrder(setStore(`{"delay-milliseconds":200}`), killDaemon), mend: inOrder(setStore(`{}`), startDaemon)},
	}
}

func cuts() []Fault {
	return []Fault{
		{name: "owner cut off both ways", inject: cut(bothWays), mend: heal},
		{name: "owner hears nothing", inject: cut(toVictim), mend: heal},
		{name: "nobody hears the owner", inject: cut(fromVictim), mend: heal},
		{name: "regions cut, store in the other one", inject: cutRegions, mend: heal},
	}
}

type step = func(ctx context.Context, fleet *deployer.Fleet, victim deployer.Instance) error

func nothing(context.Context, *deployer.Fleet, deployer.Instance) error { return nil }

func killDaemon(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	fleet.Daemon(victim.Name()).Kill()
	return nil
}

func killServer(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	fleet.Server(victim.Name()).Kill()
	return nil
}

func killBoth(ctx context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	return inOrder(killDaemon, killServer)(ctx, fleet, victim)
}

func startDaemon(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	return fleet.StartDaemon(victim)
}

func startServer(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	return fleet.StartServer(victim)
}

func startBoth(ctx context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	return inOrder(startDaemon, startServer)(ctx, fleet, victim)
}

func restartDaemon(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	if !fleet.Daemon(victim.Name()).Stop() {
		return fmt.Errorf("%s did not stop by itself", victim.Name())
	}
	return fleet.StartDaemon(victim)
}

func freezeDaemon(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	fleet.Daemon(victim.Name()).Freeze()
	return nil
}

func thawDaemon(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	fleet.Daemon(victim.Name()).Thaw()
	return nil
}

func freezeServer(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	fleet.Server(victim.Name()).Freeze()
	return nil
}

func thawServer(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	fleet.Server(victim.Name()).Thaw()
	return nil
}

func heal(_ context.Context, fleet *deployer.Fleet, _ deployer.Instance) error {
	fleet.Network().Heal()
	return nil
}

func inOrder(steps ...step) step {
	return func(ctx context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
		for _, step := range steps {
			if err := step(ctx, fleet, victim); err != nil {
				return err
			}
		}
		return nil
	}
}

// inZone does the step for all places in the victim's availability zone.
func inZone(step step) step {
	return func(ctx context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
		for _, instance := range fleet.Instances() {
			if instance.Zone() != victim.Zone() {
				continue
			}
			if err := step(ctx, fleet, instance); err != nil {
				return err
			}
		}
		return nil
	}
}

func bothWays(from, to, victim string) bool  { return from == victim || to == victim }
func toVictim(_, to, victim string) bool     { return to == victim }
func fromVictim(from, _, victim string) bool { return from == victim }

func cut(isCut func(from, to, victim string) bool) step {
	return func(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
		fleet.Network().Cut(func(from, to string) bool { return isCut(from, to, victim.Name()) })
		return nil
	}
}

// cutRegions leaves the store on the side that the victim is not on.
func cutRegions(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	inside := func(name string) bool {
		instance, ok := fleet.Instance(name)
		return ok && instance.Zone().Region() == victim.Zone().Region()
	}
	fleet.Network().Cut(func(from, to string) bool { return inside(from) != inside(to) })
	return nil
}

func setStore(switches string) step {
	return func(ctx context.Context, fleet *deployer.Fleet, _ deployer.Instance) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, fleet.StoreURL()+"/switches", bytes.NewBufferString(switches))
		if err != nil {
			return fmt.Errorf("make the request: %w", err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return fmt.Errorf("switch the store to %s: %w", switches, err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("switch the store to %s: status %d", switches, response.StatusCode)
		}
		return nil
	}
}
