package dispatcher

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/hedger"
	"lagoonlanding.example/lagoonlanding/requests/picker"
)

// comparedChoices is how many candidates at the same distance are compared per request; services with up to this many instances compare all of them.
const comparedChoices = 4

// service holds the load balancing state of one service that is not sharded.
type service struct {
	picker   lagoonlanding.Picker
	hedger   *hedger.Hedger
	inFlight atomic.Int64
}

// services holds the state of each service in the published set by name.
type services struct {
	mutex  sync.Mutex
	byName map[string]*service
}

// get returns the state of the service and creates it if needed, which also deletes the state of services no longer in the set.
func (services *services) get(config Config, self lagoonlanding.Instance, set *publisher.Set, name string) *service {
	services.mutex.Lock()
	defer services.mutex.Unlock()
	if known, ok := services.byName[name]; ok {
		return known
	}
	if services.byName == nil {
		services.byName = make(map[string]*service)
	}
	for known := range services.byName {
		if _, ok := set.Service(known); !ok {
			delete(services.byName, known)
		}
	}
	published, _ := set.Service(name)
	added := &service{hedger: hedger.NewHedger(hedger.Config{}), picker: config.Picker(self, published)}
	services.byName[name] = added
	return added
}

// newLeastTime returns a constructor of the default load balancer.
func newLeastTime(link *picker.LinkBudget) func(lagoonlanding.Instance, publisher.Service) lagoonlanding.Picker {
	return func(self lagoonlanding.Instance, service publisher.Service) lagoonlanding.Picker {
		return picker.NewLeastTime(picker.LeastTimeConfig{
			Self: self, Slots: service.Slots(), Choices: comparedChoices, Link: link,
			Random: newRandom(),
		})
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
