package route

import (
	"time"
)

// Pick chooses a group for the request, and false when there is none that may
// take it. It looks at a few groups drawn at random and at the one that last
// had the prompt's prefix, so its cost does not grow with the groups; where
// none of these may take the request it looks at all.
func (router *Router) Pick(request Request, now time.Duration) (Choice, bool) {
	groups, ok := router.table.Load().byModel[request.Model]
	if !ok {
		return Choice{}, false
	}
	search := search{request: request, now: now, predict: router.predict}
	search.window(&groups.local, router.random)
	search.window(&groups.remote, router.random)
	if remembered, ok := groups.local.byNumber[router.prefixes[request.Prefix%prefixSlots].Load()]; ok {
		search.consider(&groups.local.candidates[remembered])
	}
	if search.count == 0 {
		search.all(&groups.local)
		search.all(&groups.remote)
	}
	known := len(groups.local.candidates) + len(groups.remote.candidates)
	if search.count == 0 {
		return Choice{Known: known}, false
	}
	chosen, predicted, near := search.draw(router.random)
	choice := Choice{
		Target: chosen.target, Predicted: predicted, Near: near, Known: known,
		state: chosen.state, tokens: int64(request.AnswerTokens),
	}
	router.prefixes[request.Prefix%prefixSlots].Store(chosen.target.Number)
	choice.begin(request.Prefix, now)
	return choice, true
}

// search is the groups that one choice has looked at. It lives on the stack.
type search struct {
	request     Request
	now         time.Duration
	predict     Predictor
	found       [searchMost]*candidate
	predictions [searchMost]time.Duration
	count       int
	best        time.Duration
}

// window looks at a run of groups that begins at random.
func (search *search) window(list *list, random func(n int) int) {
	total := len(list.candidates)
	if total == 0 {
		return
	}
	first := 0
	if total > windowGroups {
		first = random(total)
	}
	for offset := range min(total, windowGroups) {
		search.consider(&list.candidates[(first+offset)%total])
	}
}

// all looks at every group until enough may take the request.
func (search *search) all(list *list) {
	for index := range list.candidates {
		search.consider(&list.candidates[index])
	}
}

func (search *search) consider(candidate *candidate) {
	if search.count == searchMost || !candidate.open(search.request, search.now) {
		return
	}
	predicted := search.predict(&candidate.target, candidate.state.own(search.request.Prefix, search.now), search.request, search.now)
	if search.count == 0 || predicted < search.best {
		search.best = predicted
	}
	search.found[search.count], search.predictions[search.count] = candidate, predicted
	search.count++
}

// draw chooses at random among those near the best.
func (search *search) draw(random func(n int) int) (chosen *candidate, predicted time.Duration, near int) {
	limit := search.best + max(nearBestLeast, time.Duration(float64(search.best)*nearBestShare))
	var within [searchMost]int
	for index := range search.count {
		if search.predictions[index] <= limit {
			within[near] = index
			near++
		}
	}
	drawn := within[random(near)]
	return search.found[drawn], search.predictions[drawn], near
}
