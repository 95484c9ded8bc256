package route_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/route"
)

func newRoute(name, prefix string, shares ...route.Share) *route.Route {
	return &route.Route{Name: name, Host: "a.example", Prefix: prefix, Timeout: time.Second, MaxAttempts: 1, Shares: shares}
}

func newTable(t *testing.T, version uint64, routes ...*route.Route) *route.Table {
	t.Helper()
	table, err := route.NewTable(version, routes, []*route.Service{{Name: "s"}, {Name: "u"}}, route.Limits{})
	require.NoError(t, err)
	return table
}

// Guards against a request that is matched by a shorter prefix although a longer one matches.
func TestMatchTakesTheLongestPrefix(t *testing.T) {
	table := newTable(t, 1, newRoute("short", "/a/", route.Share{Service: "s"}), newRoute("long", "/a/b/", route.Share{Service: "u"}))
	require.Equal(t, "long", table.Match("a.example", "/a/b/c").Name)
	require.Equal(t, "short", table.Match("a.example:80", "/a/bc").Name)
	require.Nil(t, table.Match("a.example", "/a"))
	require.Nil(t, table.Match("b.example", "/a/b/c"))
}

// Guards against an active table that is replaced by an older version.
func TestHolderNeverGoesBack(t *testing.T) {
	var h route.ActiveTable
	require.Nil(t, h.Table())
	require.True(t, h.Offer(newTable(t, 5, newRoute("r", "/", route.Share{Service: "s"}))))
	require.False(t, h.Offer(newTable(t, 5, newRoute("r", "/", route.Share{Service: "s"}))))
	require.False(t, h.Offer(newTable(t, 3, newRoute("r", "/", route.Share{Service: "s"}))))
	require.True(t, h.Offer(newTable(t, 9, newRoute("r", "/", route.Share{Service: "s"}))))
	require.Equal(t, uint64(9), h.Table().Version)
}

// Guards against a route with several services that sends requests to one of weight 0.
func TestServiceFollowsWeights(t *testing.T) {
	r := newRoute("r", "/", route.Share{Service: "s", Weight: 100}, route.Share{Service: "u", Weight: 0})
	for _, key := range []string{"a", "b", "c", "d"} {
		require.Equal(t, "s", r.SelectService(key))
	}
}

// Guards against a table with malformed prefixes, routes without services, or unknown services.
func TestNewTableRefusesContradictions(t *testing.T) {
	for name, r := range map[string]*route.Route{
		"prefix":  newRoute("r", "a/", route.Share{Service: "s"}),
		"service": newRoute("r", "/a/", route.Share{Service: "x"}),
		"shares":  newRoute("r", "/a/"),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := route.NewTable(1, []*route.Route{r}, []*route.Service{{Name: "s"}}, route.Limits{})
			require.ErrorIs(t, err, route.ErrInvalid)
		})
	}
}
