package entry

import (
	"cmp"
	"slices"

	"github.com/quetzallug/quetzallug/document"
)

// PoolNames returns the sorted names of the pools of all model services.
func PoolNames(services []*document.Service) []string {
	var names []string
	for _, s := range services {
		if s.Type != document.TypeModel {
			continue
		}
		for _, p := range s.Pools {
			names = append(names, PoolName(s.Service, p.DataCentre))
		}
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}

// PoolName returns the name of the pool of a service in a data centre.
func PoolName(service, dataCentre string) string { return service + "." + dataCentre }
