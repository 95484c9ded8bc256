package entry

import (
	"cmp"
	"slices"

	"github.com/quetzallug/quetzallug/document"
)

// Pools returns the names of the pools of the model services, sorted.
func Pools(services []*document.Service) []string {
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

// PoolName names the pool of a service in a data centre.
func PoolName(service, dataCentre string) string { return service + "." + dataCentre }
