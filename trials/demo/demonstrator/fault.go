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
	// faultDuration exceeds the term of every promise, so that all promises expire during a fault.
	faultDuration = 4 * time.Second
	// maxUnavailable is the longest time for which a key may be unavailable.
	maxUnavailable = 2 * time.Second
)

// Fault is a failure of a part of the fleet, with its injection and repair.
type Fault struct {
	name   string
	inject func(ctx context.Context, fleet *deployer.Fleet, victim deployer.Instance) error
	repair func(ctx context.Context, fleet *deployer.Fleet, victim deployer.Instance) error
}

// Name returns the name of the fault.
func (fault Fault) Name() string { return fault.name }

// Faults returns all faults in the order in which they are injected.
func Faults() []Fault {
	return append(append(processFaults(), stallFaults()...), networkFaults()...)
}

func processFaults() []Fault {
	return []Fault{
		{name: "daemon killed", inject: killDaemon, repair: startDaemon},
		{name: "daemon and backend server killed", inject: killBoth, repair: startBoth},
		{name: "backend server killed", inject: killServer, repair: startServer},
		{name: "daemon restarted gracefully", inject: restartDaemon, repair: noRepair},
		{name: "all of an availability zone killed", inject: inZone(killBoth), repair: inZone(startBoth)},
		{name: "daemon killed, 3 answers of the store lost", inject: sequence(setStoreFaults(`{"lost-answers":3}`), killDaemon), repair: startDaemon},
	}
}

func stallFaults() []Fault {
	return []Fault{
		{name: "daemon frozen and thawed", inject: freezeDaemon, repair: thawDaemon},
		{name: "backend server frozen and thawed", inject: freezeServer, repair: thawServer},
		{name: "store down", inject: setStoreFaults(`{"down":true}`), repair: setStoreFaults(`{}`)},
		{name: "store silent", inject: setStoreFaults(`{"silent":true}`), repair: setStoreFaults(`{}`)},
		{name: "store slow by 500 ms", inject: setStoreFaults(`{"delay-milliseconds":500}`), repair: setStoreFaults(`{}`)},
		{name: "daemon killed, store slow by 200 ms", inject: sequence(setStoreFaults(`{"delay-milliseconds":200}`), killDaemon), repair: sequence(setStoreFaults(`{}`), startDaemon)},
	}
}

func networkFaults() []Fault {
	return []Fault{
		{name: "owner cut off both ways", inject: cut(bothWays), repair: heal},
		{name: "owner hears nothing", inject: cut(toVictim), repair: heal},
		{name: "nobody hears the owner", inject: cut(fromVictim), repair: heal},
		{name: "regions cut, store in the other one", inject: cutRegions, repair: heal},
	}
}

// step is the injection or the repair of a fault, or a part of one.
type step = func(ctx context.Context, fleet *deployer.Fleet, victim deployer.Instance) error

func noRepair(context.Context, *deployer.Fleet, deployer.Instance) error { return nil }

func killDaemon(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	fleet.Daemon(victim.Name()).Kill()
	return nil
}

func killServer(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	fleet.Server(victim.Name()).Kill()
	return nil
}

func killBoth(ctx context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	return sequence(killDaemon, killServer)(ctx, fleet, victim)
}

func startDaemon(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	return fleet.StartDaemon(victim)
}

func startServer(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	return fleet.StartServer(victim)
}

func startBoth(ctx context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	return sequence(startDaemon, startServer)(ctx, fleet, victim)
}

func restartDaemon(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	if !fleet.Daemon(victim.Name()).Stop() {
		return fmt.Errorf("%s did not shut down gracefully", victim.Name())
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

// sequence runs the steps in order and stops at the first error.
func sequence(steps ...step) step {
	return func(ctx context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
		for _, step := range steps {
			if err := step(ctx, fleet, victim); err != nil {
				return err
			}
		}
		return nil
	}
}

// inZone runs the step for all instances in the victim's availability zone.
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

// cut stops the bytes in the matching directions until the network is healed.
func cut(matches func(from, to, victim string) bool) step {
	return func(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
		fleet.Network().Cut(func(from, to string) bool { return matches(from, to, victim.Name()) })
		return nil
	}
}

// cutRegions cuts the victim's region off from the other region and the store.
func cutRegions(_ context.Context, fleet *deployer.Fleet, victim deployer.Instance) error {
	inside := func(name string) bool {
		instance, ok := fleet.Instance(name)
		return ok && instance.Zone().Region() == victim.Zone().Region()
	}
	fleet.Network().Cut(func(from, to string) bool { return inside(from) != inside(to) })
	return nil
}

// setStoreFaults replaces the injected faults of the store by those of the JSON text.
func setStoreFaults(faults string) step {
	return func(ctx context.Context, fleet *deployer.Fleet, _ deployer.Instance) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, fleet.StoreURL()+"/switches", bytes.NewBufferString(faults))
		if err != nil {
			return fmt.Errorf("create the request: %w", err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return fmt.Errorf("set the store's faults to %s: %w", faults, err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("set the store's faults to %s: status %d", faults, response.StatusCode)
		}
		return nil
	}
}
