package platform

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"hazelslip/internal/peer/instancelist"
)

// List simulates the platform's instance list. Each change becomes visible after the lag.
type List struct {
	lag time.Duration

	mu          sync.Mutex
	unavailable bool
	current     map[string]instancelist.Instance
	changes     []listChange
}

type listChange struct {
	due      time.Time
	id       string
	instance instancelist.Instance
	removed  bool
}

// NewList returns an empty list in which each change becomes visible after the lag.
func NewList(lag time.Duration) *List {
	return &List{lag: lag, current: map[string]instancelist.Instance{}}
}

// Put adds or replaces an instance.
func (list *List) Put(instance instancelist.Instance) {
	list.change(listChange{id: instance.ID, instance: instance})
}

// Remove removes an instance.
func (list *List) Remove(id string) {
	list.change(listChange{id: id, removed: true})
}

func (list *List) change(change listChange) {
	list.mu.Lock()
	defer list.mu.Unlock()
	change.due = time.Now().Add(list.lag)
	list.changes = append(list.changes, change)
}

// SetUnavailable sets whether Handler fails requests with status 503.
func (list *List) SetUnavailable(unavailable bool) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.unavailable = unavailable
}

// Instances returns the visible instances that match the query, ordered by ID.
func (list *List) Instances(query instancelist.Query) []instancelist.Instance {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.applyDueChanges()
	found := []instancelist.Instance{}
	for _, instance := range list.current {
		if query.Matches(instance) {
			found = append(found, instance)
		}
	}
	slices.SortFunc(found, func(a, b instancelist.Instance) int { return strings.Compare(a.ID, b.ID) })
	return found
}

func (list *List) applyDueChanges() {
	now := time.Now()
	for len(list.changes) > 0 && !list.changes[0].due.After(now) {
		change := list.changes[0]
		list.changes = list.changes[1:]
		if change.removed {
			delete(list.current, change.id)
			continue
		}
		list.current[change.id] = change.instance
	}
}

// Handler serves the list over HTTP at GET /instances.
func (list *List) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/instances", func(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
		list.mu.Lock()
		unavailable := list.unavailable
		list.mu.Unlock()
		if unavailable {
			http.Error(writer, "the instance list is dark", http.StatusServiceUnavailable)
			return
		}
		values := request.URL.Query()
		writeJSON(writer, list.Instances(instancelist.Query{
			Region: values.Get("Region"), DataCentre: values.Get("DataCentre"), Role: values.Get("Role"),
		}))
	})
	return router
}
