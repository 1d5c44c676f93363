package coordinator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/grantor"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

const (
	simStep     = 50 * time.Millisecond
	simBeat     = 870 * time.Millisecond
	simLease    = 3 * time.Second
	simService  = "divided"
	simDaemons  = 5
	simDuration = 90 * time.Second
	// simDetourLag makes news come late, some by seconds, to a daemon that the store does not answer itself.
	simDetourLag = 995 * time.Millisecond
)

// simStore is a store whose changes reach each daemon late.
type simStore struct {
	revision uint64
	entries  map[string]lagoonlanding.Entry
	leases   map[string]lagoonlanding.LeaseID
	ends     map[lagoonlanding.LeaseID]time.Time
	log      []lagoonlanding.Change
	next     lagoonlanding.LeaseID
	down     bool
}

func (store *simStore) put(key string, value []byte, lease lagoonlanding.LeaseID) uint64 {
	store.revision++
	entry := lagoonlanding.NewEntry(key, value, store.revision)
	store.entries[key], store.leases[key] = entry, lease
	store.log = append(store.log, lagoonlanding.NewChange(entry, false))
	return store.revision
}

func (store *simStore) remove(key string) {
	if _, ok := store.entries[key]; !ok {
		return
	}
	store.revision++
	delete(store.entries, key)
	delete(store.leases, key)
	store.log = append(store.log, lagoonlanding.NewChange(lagoonlanding.NewEntry(key, nil, store.revision), true))
}

func (store *simStore) lapse(now time.Time) {
	for lease, end := range store.ends {
		if now.Before(end) {
			continue
		}
		delete(store.ends, lease)
		for key, held := range store.leases {
			if held == lease {
				store.remove(key)
			}
		}
	}
}

// simHold is a stripe that a backend server holds.
type simHold struct {
	token uint64
	until time.Time
}

// simServer is a backend server that holds what it is told, by a clock that may run slow.
type simServer struct {
	name  string
	born  int64
	seq   int64
	up    bool
	slow  float64
	holds map[int]simHold
	// handed are the stripes released since the last acknowledged announcement.
	handed []int
	next   time.Time
}

func (server *simServer) lapse(now time.Time) {
	for stripe, hold := range server.holds {
		if !now.Before(hold.until) {
			delete(server.holds, stripe)
		}
	}
}

// simDaemon is a daemon with its server and its way to the store.
type simDaemon struct {
	coordinator *Coordinator
	server      *simServer
	name        string
	cutUntil    time.Time
	// turnedUntil is until when the store answers the daemon only through others, and revokeAt when its entry is taken away, zero for never.
	turnedUntil time.Time
	revokeAt    time.Time
	deadUntil   time.Time
	asleepUntil time.Time
	applied     int
	keepAt      time.Time
	lag         time.Duration
}

// sim plays daemons, servers and a store on one clock and checks that no key has two holders.
type sim struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	store   *simStore
	daemons []*simDaemon
	tokens  map[int]simToken
	moves   int
}

type simToken struct {
	token uint64
	owner string
}

type simGate struct{}

func (simGate) Open(lagoonlanding.BackendID, int, time.Time, float64) {}
func (simGate) Close(lagoonlanding.Reason)                            {}
func (simGate) CloseAt(time.Time, lagoonlanding.Reason)               {}

func newSim(t *testing.T, seed uint64) *sim {
	made := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), tokens: map[int]simToken{},
		store: &simStore{entries: map[string]lagoonlanding.Entry{}, leases: map[string]lagoonlanding.LeaseID{}, ends: map[lagoonlanding.LeaseID]time.Time{}},
	}
	for number := range simDaemons {
		daemon := &simDaemon{name: fmt.Sprintf("daemon-%d", number), lag: time.Duration(made.random.IntN(300)) * time.Millisecond}
		daemon.server = &simServer{name: fmt.Sprintf("server-%d", number), born: 1, up: true, slow: 0.02 * made.random.Float64(), holds: map[int]simHold{}}
		made.daemons = append(made.daemons, daemon)
		made.restart(daemon)
	}
	return made
}

func (sim *sim) restart(daemon *simDaemon) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	daemon.coordinator = New(sim.now, Config{
		Self: lagoonlanding.NewBackend(lagoonlanding.BackendConfig{
			ID: lagoonlanding.NewBackendID(daemon.name, "", 0), PeerAddress: daemon.name, Service: simService,
		}),
		Fleet: registrar.NewFleet(registrar.Config{GrantTerm: 7 * time.Second, Margin: 700 * time.Millisecond}),
		Grantor: grantor.New(grantor.Config{
			Daemon: daemon.name, GrantTerm: 7 * time.Second, LongestHold: 6 * time.Second, SlowClock: 0.02, SilentAfter: 5 * time.Second,
		}),
		Gate: simGate{}, Log: logrus.NewEntry(log),
	})
	daemon.coordinator.Direct(sim.now, lagoonlanding.NewRoutingDirective(lagoonlanding.NewRouting(lagoonlanding.RoutingConfig{
		Version: 1, Services: []lagoonlanding.ServicePolicy{lagoonlanding.NewServicePolicy(lagoonlanding.ServicePolicyConfig{Name: simService, Divided: true})},
	})))
	daemon.applied = -1
}

// reaches reports whether the daemon's calls get to the store, by themselves or through another daemon.
func (sim *sim) reaches(daemon *simDaemon) bool {
	if sim.store.down || !sim.now.After(daemon.cutUntil) {
		return false
	}
	return sim.isDirect(daemon) || slices.ContainsFunc(sim.daemons, func(other *simDaemon) bool {
		return other != daemon && sim.isDirect(other) && sim.now.After(other.cutUntil) && sim.now.After(other.asleepUntil) && other.deadUntil.IsZero()
	})
}

// isDirect reports whether the store answers the daemon itself unless it is cut off.
func (sim *sim) isDirect(daemon *simDaemon) bool { return sim.now.After(daemon.turnedUntil) }

// step plays one daemon for one step.
func (sim *sim) step(daemon *simDaemon) {
	if !daemon.deadUntil.IsZero() {
		if sim.now.Before(daemon.deadUntil) {
			return
		}
		daemon.deadUntil = time.Time{}
		sim.restart(daemon)
	}
	if !daemon.revokeAt.IsZero() && sim.now.After(daemon.revokeAt) {
		daemon.revokeAt = time.Time{}
		sim.store.remove(daemon.coordinator.OwnKey())
	}
	if sim.now.Before(daemon.asleepUntil) {
		return
	}
	sim.view(daemon)
	sim.keep(daemon)
	sim.write(daemon)
	sim.beat(daemon)
}

func (sim *sim) listing() lagoonlanding.Listing {
	var entries []lagoonlanding.Entry
	for _, entry := range sim.store.entries {
		entries = append(entries, entry)
	}
	return lagoonlanding.NewListing(entries, sim.store.revision)
}

// view hands changes to the daemon, some of them late.
func (sim *sim) view(daemon *simDaemon) {
	if !sim.reaches(daemon) {
		daemon.coordinator.Connect(sim.now, false)
		return
	}
	if daemon.applied < 0 {
		daemon.coordinator.Replace(sim.now, sim.now, sim.listing())
		daemon.applied = len(sim.store.log)
		return
	}
	lag := daemon.lag
	if !sim.isDirect(daemon) {
		lag = simDetourLag
	}
	if sim.random.Float64() < float64(lag)/float64(time.Second) {
		return
	}
	revision := sim.store.revision
	daemon.coordinator.Apply(sim.now, lagoonlanding.NewChangeList(sim.store.log[daemon.applied:], revision))
	daemon.coordinator.Connect(sim.now, true)
	daemon.applied = len(sim.store.log)
}

func (sim *sim) keep(daemon *simDaemon) {
	if sim.now.Before(daemon.keepAt) {
		return
	}
	daemon.keepAt = sim.now.Add(time.Second)
	session := daemon.coordinator.Session()
	if !sim.reaches(daemon) {
		daemon.coordinator.Kept(sim.now, true, lagoonlanding.ErrUnknown)
		return
	}
	if session.Lease() == 0 {
		sim.store.next++
		sim.store.ends[sim.store.next] = sim.now.Add(simLease)
		daemon.coordinator.Lease(sim.store.next)
		return
	}
	if _, ok := sim.store.ends[session.Lease()]; !ok {
		daemon.coordinator.Kept(sim.now, true, lagoonlanding.ErrLeaseEnded)
		return
	}
	sim.store.ends[session.Lease()] = sim.now.Add(simLease)
	daemon.coordinator.Kept(sim.now, sim.isDirect(daemon), nil)
	if daemon.coordinator.MustVerify(sim.now) {
		daemon.coordinator.Verify(sim.now, sim.store.entries[daemon.coordinator.OwnKey()].Revision())
	}
}

func (sim *sim) write(daemon *simDaemon) {
	write, _, ok := daemon.coordinator.NextWrite(sim.now)
	if !ok {
		return
	}
	if !sim.reaches(daemon) {
		daemon.coordinator.Wrote(sim.now, write, 0, lagoonlanding.ErrUnavailable)
		return
	}
	put := write.Put()
	if put.Lease() != 0 {
		if _, ok := sim.store.ends[put.Lease()]; !ok {
			daemon.coordinator.Wrote(sim.now, write, 0, lagoonlanding.ErrLeaseEnded)
			return
		}
	}
	if write.IsConditional() {
		isExpected := sim.store.entries[put.Key()].Revision() == write.Expected()
		for _, key := range write.Absent() {
			_, isThere := sim.store.entries[key]
			isExpected = isExpected && !isThere
		}
		if !isExpected {
			daemon.coordinator.Wrote(sim.now, write, 0, lagoonlanding.NewConflictError([]lagoonlanding.Entry{sim.store.entries[put.Key()]}))
			return
		}
		sim.moves++
	}
	revision := sim.store.put(put.Key(), put.Value(), put.Lease())
	if sim.random.Float64() < 0.1 {
		daemon.coordinator.Wrote(sim.now, write, 0, lagoonlanding.ErrUnknown)
		return
	}
	daemon.coordinator.Wrote(sim.now, write, revision, nil)
}

// beat lets the server announce itself, and takes the order as it comes.
func (sim *sim) beat(daemon *simDaemon) {
	server := daemon.server
	if !server.up || sim.now.Before(server.next) {
		return
	}
	server.next = sim.now.Add(simBeat)
	server.seq++
	config := lagoonlanding.AnnouncementConfig{
		Name: server.name, StartedMilli: server.born, Sequence: server.seq, Address: "a", Service: simService, Slots: 6,
		State: lagoonlanding.BackendReady, Received: sim.now,
	}
	server.lapse(sim.now)
	for _, stripe := range sortedStripes(server.holds) {
		config.Held = append(config.Held, lagoonlanding.NewHeldRange(stripe*256, stripe*256+255, server.holds[stripe].token, ""))
	}
	for _, stripe := range server.handed {
		config.Released = append(config.Released, lagoonlanding.NewHeldRange(stripe*256, stripe*256+255, 0, "proof"))
	}
	order, ok := daemon.coordinator.Announce(sim.now, lagoonlanding.NewAnnouncement(config))
	if !ok || sim.random.Float64() < 0.05 {
		return
	}
	server.handed = nil
	if !order.ExpiresAt().IsZero() {
		sim.obey(daemon, order)
	}
}

func sortedStripes(holds map[int]simHold) []int {
	var stripes []int
	for stripe := range holds {
		stripes = append(stripes, stripe)
	}
	slices.Sort(stripes)
	return stripes
}

func (sim *sim) obey(daemon *simDaemon, order lagoonlanding.RangeAssignment) {
	server := daemon.server
	told := map[int]uint64{}
	for _, held := range order.Ranges() {
		for stripe := held.First() / 256; stripe <= held.Last()/256; stripe++ {
			told[stripe] = held.Token()
		}
	}
	for stripe := range server.holds {
		if _, ok := told[stripe]; !ok {
			delete(server.holds, stripe)
			server.handed = append(server.handed, stripe)
			server.next = sim.now.Add(100 * time.Millisecond)
		}
	}
	until := sim.now.Add(time.Duration(float64(order.ExpiresAt().Sub(sim.now)) * (1 + server.slow)))
	for stripe, token := range told {
		sim.checkToken(daemon, stripe, token)
		server.holds[stripe] = simHold{token: token, until: until}
	}
}

func (sim *sim) checkToken(daemon *simDaemon, stripe int, token uint64) {
	owner := fmt.Sprintf("%s/%d", daemon.name, daemon.server.born)
	known := sim.tokens[stripe]
	if known.owner != owner && token <= known.token {
		sim.t.Fatalf("at %v %s takes stripe %d with token %d after %s had %d", sim.now.Sub(time.Unix(1000, 0)), owner, stripe, token, known.owner, known.token)
	}
	if token >= known.token {
		sim.tokens[stripe] = simToken{token: token, owner: owner}
	}
}

// check fails if two servers that are up hold one stripe.
func (sim *sim) check() {
	holder := map[int]string{}
	for _, daemon := range sim.daemons {
		daemon.server.lapse(sim.now)
		if !daemon.server.up {
			continue
		}
		for _, stripe := range sortedStripes(daemon.server.holds) {
			if other, ok := holder[stripe]; ok {
				sim.t.Fatalf("at %v stripe %d is held by %s and %s", sim.now.Sub(time.Unix(1000, 0)), stripe, other, daemon.name)
			}
			holder[stripe] = daemon.name
		}
	}
}

// trouble begins a fault now and then; faults overlap.
func (sim *sim) trouble() {
	if sim.random.Float64() <= 0.02 {
		sim.disturb()
	}
}

// disturb begins one fault.
func (sim *sim) disturb() {
	daemon := sim.daemons[sim.random.IntN(len(sim.daemons))]
	for_ := time.Duration(500+sim.random.IntN(12000)) * time.Millisecond
	switch sim.random.IntN(8) {
	case 0:
		daemon.cutUntil = sim.now.Add(for_)
	case 1:
		daemon.cutUntil = sim.now.Add(for_)
		sim.store.remove(daemon.coordinator.OwnKey())
	case 2:
		daemon.deadUntil = sim.now.Add(for_ / 3)
	case 3:
		daemon.asleepUntil = sim.now.Add(for_)
	case 4:
		sim.crash(daemon)
	case 5:
		sim.store.down = !sim.store.down
	case 6:
		for _, other := range sim.daemons {
			other.deadUntil = sim.now.Add(for_ / 6)
		}
	case 7:
		daemon.turnedUntil = sim.now.Add(for_)
		daemon.revokeAt = sim.now.Add(time.Duration(sim.random.Int64N(int64(for_))))
	}
}

// crash ends the server, which is another life from then on.
func (sim *sim) crash(daemon *simDaemon) {
	id := daemon.coordinator.config.Grantor.ID()
	daemon.server.holds, daemon.server.handed = map[int]simHold{}, nil
	daemon.server.born++
	daemon.server.seq = 0
	daemon.server.next = sim.now.Add(simBeat)
	if daemon.deadUntil.IsZero() {
		daemon.coordinator.Lost(id)
	}
}

func (sim *sim) play() {
	end := sim.now.Add(simDuration)
	for sim.now.Before(end) {
		if sim.now.Sub(time.Unix(1000, 0)) > 6*time.Second {
			sim.trouble()
		}
		sim.advance()
	}
}

// advance plays one step.
func (sim *sim) advance() {
	sim.now = sim.now.Add(simStep)
	if !sim.store.down {
		sim.store.lapse(sim.now)
	}
	for _, daemon := range sim.daemons {
		sim.step(daemon)
	}
	sim.check()
}

// held returns how many stripes have a holder.
func (sim *sim) held() int {
	held := 0
	for _, daemon := range sim.daemons {
		held += len(daemon.server.holds)
	}
	return held
}

// isDisturbed reports whether a fault still lasts.
func (sim *sim) isDisturbed() bool {
	for _, daemon := range sim.daemons {
		if sim.now.Before(daemon.cutUntil) || sim.now.Before(daemon.turnedUntil) || sim.now.Before(daemon.deadUntil) || sim.now.Before(daemon.asleepUntil) {
			return true
		}
	}
	return false
}

// recoverTerm bounds the time after a fault until all keys are served, as the platform's rules do.
const recoverTerm = 15 * time.Second

func TestSeriesOfFaultsLeavesNothingBehind(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSim(t, seed+1000)
			for range 200 {
				sim.advance()
			}
			for round := range 10 {
				for range 1 + sim.random.IntN(3) {
					sim.disturb()
				}
				for lasts := sim.now.Add(8 * time.Second); sim.now.Before(lasts) || sim.isDisturbed(); {
					sim.advance()
				}
				sim.store.down = false
				healed := sim.now
				for sim.held() < 256 {
					if sim.advance(); sim.now.Sub(healed) > recoverTerm {
						t.Fatalf("round %d: %d of 256 stripes are held %v after the last fault", round, sim.held(), recoverTerm)
					}
				}
			}
		})
	}
}

func TestNoKeyHasTwoHolders(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSim(t, seed)
			sim.play()
			if sim.moves == 0 {
				t.Error("no allotment was ever written")
			}
		})
	}
}

func TestAllKeysAreHeldOnACalmDay(t *testing.T) {
	sim := newSim(t, 1)
	for range 200 {
		sim.advance()
	}
	if held := sim.held(); held != 256 {
		t.Errorf("%d of 256 stripes are held", held)
	}
}
