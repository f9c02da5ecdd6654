package formation

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"hazelslip/internal/fleet/roster"
)

const (
	// maxReferences is the number of reference servers that are asked, half of them in the data centre of the
	// member in doubt and half in others. Six tell a host that is lost alone from a link that is lossy or cut.
	maxReferences = 6
	// referenceTimeout bounds a connection to a reference server. It ends with the round that asks for it.
	referenceTimeout = callTimeout - 2*connectDelay
)

// referenceQuestion is one question to reference servers of a data centre and others. All rounds that had
// begun before it share its result.
type referenceQuestion struct {
	startedAt time.Duration
	ended     chan struct{}
	result    references
}

// requestReferences opens connections to reference servers, for a round that began at the given time. The
// result of a question that began after the round did is shared: an older one doesn't tell what this node
// reached during the round.
func (controller *Controller) requestReferences(dataCentre string, roundStartedAt time.Duration) references {
	controller.mu.Lock()
	shared := controller.referenceQuestions[dataCentre]
	if shared != nil && shared.startedAt >= roundStartedAt {
		controller.mu.Unlock()
		<-shared.ended
		return shared.result
	}
	started := &referenceQuestion{startedAt: controller.Now(), ended: make(chan struct{})}
	controller.referenceQuestions[dataCentre] = started
	chosen := controller.chooseReferencesLocked(dataCentre)
	controller.mu.Unlock()
	defer close(started.ended)
	started.result = controller.connectToReferences(chosen)
	return started.result
}

// connectToReferences opens a new connection to each server.
func (controller *Controller) connectToReferences(chosen []*roster.Server) references {
	reached := make([]bool, len(chosen))
	waiters := conc.WaitGroup{}
	for index, server := range chosen {
		waiters.Go(func() {
			ctx, cancel := controller.ContextWithTimeout(referenceTimeout)
			defer cancel()
			reached[index] = controller.Connect(ctx, server) == nil
		})
	}
	waiters.Wait()
	result := references{asked: len(chosen)}
	for _, ok := range reached {
		if ok {
			result.reached++
		}
	}
	return result
}

// chooseReferencesLocked chooses reference servers at random: members of groups that are not examined, and
// free servers. The caller holds the mutex.
func (controller *Controller) chooseReferencesLocked(dataCentre string) []*roster.Server {
	examined := map[string]bool{}
	for _, group := range controller.examining {
		for _, id := range group.Members {
			examined[id] = true
		}
	}
	servers := controller.Servers()
	near, far := []*roster.Server{}, []*roster.Server{}
	for _, service := range controller.Services() {
		for _, server := range servers.ByService[service.Name] {
			switch {
			case examined[server.ID] || server.Draining || controller.InBackoff(server) || controller.lost[server.ID].appliesTo(server, controller.Now()):
			case server.DataCentre == dataCentre:
				near = append(near, server)
			default:
				far = append(far, server)
			}
		}
	}
	return sampleReferences(near, far, controller.Random)
}

// sampleReferences returns up to maxReferences servers, half of each list as far as they have as many.
func sampleReferences(near, far []*roster.Server, random *rand.Rand) []*roster.Server {
	for _, servers := range [][]*roster.Server{near, far} {
		slices.SortFunc(servers, func(a, b *roster.Server) int { return strings.Compare(a.ID, b.ID) })
		random.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	}
	half := maxReferences / 2
	fromNear := min(len(near), max(half, maxReferences-len(far)))
	fromFar := min(len(far), maxReferences-fromNear)
	return append(slices.Clone(near[:fromNear]), far[:fromFar]...)
}
