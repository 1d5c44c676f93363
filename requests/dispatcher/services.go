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

// comparedChoices is how many upstreams of one distance are compared for a request; a service of today has all compared.
const comparedChoices = 4

// service is what this instance has seen of one service that is not divided by key.
type service struct {
	picker   lagoonlanding.Picker
	hedger   *hedger.Hedger
	inFlight atomic.Int64
}

// services holds one service for each name of the published set.
type services struct {
	mutex  sync.Mutex
	byName map[string]*service
}

// of returns what has been seen of the service; names that the set has dropped are forgotten.
func (services *services) of(config Config, self lagoonlanding.Instance, set *publisher.Set, name string) *service {
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

// leastPicker returns the picker that a dispatcher uses if its configuration names none.
func leastPicker(link *picker.Link) func(lagoonlanding.Instance, publisher.Service) lagoonlanding.Picker {
	return func(self lagoonlanding.Instance, service publisher.Service) lagoonlanding.Picker {
		return picker.NewLeast(picker.LeastConfig{
			Self: self, Slots: service.Slots(), Choices: comparedChoices, Link: link,
			Random: newRandom(),
		})
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
