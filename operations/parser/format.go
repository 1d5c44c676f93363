package parser

import (
	"bytes"

	"github.com/BurntSushi/toml"
	"github.com/samber/oops"

	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

type fileSet struct {
	HomeRegions       map[string]fileRegion    `toml:"home-region"`
	AvailabilityZones map[string]fileZone      `toml:"availability-zone"`
	Services          map[string]fileService   `toml:"service"`
	Workspaces        map[string]fileWorkspace `toml:"workspace"`
	Tenants           map[string]fileTenant    `toml:"tenant"`
	Classes           map[string]fileClass     `toml:"class"`
	Routes            map[string]fileRoute     `toml:"route"`
}

type fileRegion struct {
	Store bool `toml:"store,omitempty"`
}

type fileZone struct {
	Region string `toml:"region"`
	Out    bool   `toml:"out,omitempty"`
}

type fileService struct {
	Divided         bool                     `toml:"divided,omitempty"`
	ChecksFence     bool                     `toml:"checks-fence,omitempty"`
	LongestDeadline string                   `toml:"longest-deadline"`
	Slots           int                      `toml:"slots"`
	Connections     int                      `toml:"connections"`
	Queue           int                      `toml:"queue"`
	Partitions      map[string]filePartition `toml:"partition,omitempty"`
}

type filePartition struct {
	Regions []string `toml:"regions"`
	Shards  int      `toml:"shards,omitzero"`
}

type fileWorkspace struct {
	HomeRegions []string `toml:"home-regions,omitempty"`
}

type fileTenant struct {
	Workspace string `toml:"workspace"`
	Weight    int    `toml:"weight"`
	Limit     int    `toml:"limit,omitzero"`
}

type fileClass struct {
	Cost int `toml:"cost"`
}

type fileRoute struct {
	Path       string   `toml:"path"`
	Methods    []string `toml:"methods,omitempty"`
	Service    string   `toml:"service"`
	Class      string   `toml:"class"`
	Idempotent bool     `toml:"idempotent,omitempty"`
}

// Format returns the objects of the set as TOML that Parse accepts.
func Format(set *publisher.Set) (string, error) {
	var buffer bytes.Buffer
	encoder := toml.NewEncoder(&buffer)
	encoder.Indent = ""
	if err := encoder.Encode(toFile(set)); err != nil {
		return "", oops.In("parser").Wrapf(err, "formatting set %d as TOML", set.Version())
	}
	return buffer.String(), nil
}

func toFile(set *publisher.Set) fileSet {
	return fileSet{
		HomeRegions: indexByName(set.HomeRegions(), func(region publisher.HomeRegion) fileRegion {
			return fileRegion{Store: region.HasStore()}
		}),
		AvailabilityZones: indexByName(set.AvailabilityZones(), func(zone publisher.AvailabilityZone) fileZone {
			return fileZone{Region: zone.Region(), Out: zone.IsOut()}
		}),
		Services: indexByName(set.Services(), toFileService),
		Workspaces: indexByName(set.Workspaces(), func(workspace publisher.Workspace) fileWorkspace {
			return fileWorkspace{HomeRegions: workspace.HomeRegions()}
		}),
		Tenants: indexByName(set.Tenants(), func(tenant publisher.Tenant) fileTenant {
			return fileTenant{Workspace: tenant.Workspace(), Weight: tenant.Weight(), Limit: tenant.Limit()}
		}),
		Classes: indexByName(set.Classes(), func(class publisher.Class) fileClass { return fileClass{Cost: class.Cost()} }),
		Routes: indexByName(set.Routes(), func(route publisher.Route) fileRoute {
			return fileRoute{
				Path: route.Path(), Methods: route.Methods(), Service: route.Service(),
				Class: route.Class(), Idempotent: route.IsIdempotent(),
			}
		}),
	}
}

func toFileService(service publisher.Service) fileService {
	return fileService{
		Divided: service.IsDivided(), ChecksFence: service.ChecksFence(),
		LongestDeadline: service.LongestDeadline().String(),
		Slots:           service.Slots(), Connections: service.Connections(), Queue: service.Queue(),
		Partitions: indexByName(service.Partitions(), func(partition publisher.Partition) filePartition {
			return filePartition{Regions: partition.Regions(), Shards: partition.Shards()}
		}),
	}
}

func indexByName[From interface{ Name() string }, To any](objects []From, convert func(From) To) map[string]To {
	if len(objects) == 0 {
		return nil
	}
	index := make(map[string]To, len(objects))
	for _, object := range objects {
		index[object.Name()] = convert(object)
	}
	return index
}
