package encoder

import (
	"time"

	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// wireSet is the JSON format of a published set.
type wireSet struct {
	Version           uint64          `json:"version"`
	Publication       wirePublication `json:"publication"`
	HomeRegions       []wireRegion    `json:"home-regions,omitempty"`
	AvailabilityZones []wireZone      `json:"availability-zones,omitempty"`
	Services          []wireService   `json:"services,omitempty"`
	Workspaces        []wireWorkspace `json:"workspaces,omitempty"`
	Tenants           []wireTenant    `json:"tenants,omitempty"`
	Classes           []wireClass     `json:"classes,omitempty"`
	Routes            []wireRoute     `json:"routes,omitempty"`
}

type wirePublication struct {
	ID       string    `json:"id,omitempty"`
	Operator string    `json:"operator,omitempty"`
	Note     string    `json:"note,omitempty"`
	Issued   time.Time `json:"issued,omitzero"`
}

type wireRegion struct {
	Name  string `json:"name"`
	Store bool   `json:"store,omitempty"`
}

type wireZone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Out    bool   `json:"out,omitempty"`
}

type wirePartition struct {
	Name    string   `json:"name"`
	Regions []string `json:"regions"`
	Shards  int      `json:"shards,omitempty"`
}

type wireService struct {
	Name            string          `json:"name"`
	Divided         bool            `json:"divided,omitempty"`
	Partitions      []wirePartition `json:"partitions,omitempty"`
	ChecksFence     bool            `json:"checks-fence,omitempty"`
	LongestDeadline time.Duration   `json:"longest-deadline"`
	Slots           int             `json:"slots"`
	Connections     int             `json:"connections"`
	Queue           int             `json:"queue"`
}

type wireWorkspace struct {
	Name        string   `json:"name"`
	HomeRegions []string `json:"home-regions,omitempty"`
}

type wireTenant struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
	Weight    int    `json:"weight"`
	Limit     int    `json:"limit,omitempty"`
}

type wireClass struct {
	Name string `json:"name"`
	Cost int    `json:"cost"`
}

type wireRoute struct {
	Name       string   `json:"name"`
	Path       string   `json:"path"`
	Methods    []string `json:"methods,omitempty"`
	Service    string   `json:"service"`
	Class      string   `json:"class"`
	Idempotent bool     `json:"idempotent,omitempty"`
}

func toWireSet(set *publisher.Set) wireSet {
	publication := set.Publication()
	return wireSet{
		Version: set.Version(),
		Publication: wirePublication{
			ID: publication.ID(), Operator: publication.Operator(), Note: publication.Note(), Issued: publication.Issued(),
		},
		HomeRegions:       convert(set.HomeRegions(), toWireRegion),
		AvailabilityZones: convert(set.AvailabilityZones(), toWireZone),
		Services:          convert(set.Services(), toWireService),
		Workspaces:        convert(set.Workspaces(), toWireWorkspace),
		Tenants:           convert(set.Tenants(), toWireTenant),
		Classes:           convert(set.Classes(), toWireClass),
		Routes:            convert(set.Routes(), toWireRoute),
	}
}

func (wireset wireSet) set() *publisher.Set {
	return publisher.NewSet(publisher.SetConfig{
		Version: wireset.Version,
		Publication: publisher.NewPublication(publisher.PublicationConfig{
			ID: wireset.Publication.ID, Operator: wireset.Publication.Operator,
			Note: wireset.Publication.Note, Issued: wireset.Publication.Issued,
		}),
		HomeRegions:       convert(wireset.HomeRegions, wireRegion.region),
		AvailabilityZones: convert(wireset.AvailabilityZones, wireZone.zone),
		Services:          convert(wireset.Services, wireService.service),
		Workspaces:        convert(wireset.Workspaces, wireWorkspace.workspace),
		Tenants:           convert(wireset.Tenants, wireTenant.tenant),
		Classes:           convert(wireset.Classes, wireClass.class),
		Routes:            convert(wireset.Routes, wireRoute.route),
	})
}

// convert maps each element; an empty list becomes nil, so that a decoded set equals the encoded one.
func convert[From, To any](list []From, mapper func(From) To) []To {
	if len(list) == 0 {
		return nil
	}
	converted := make([]To, 0, len(list))
	for _, element := range list {
		converted = append(converted, mapper(element))
	}
	return converted
}
