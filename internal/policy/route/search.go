package route

import (
	"time"
)

// Pick chooses a group for the request, and returns false if no group may take it. It considers a few groups
// drawn at random and the group that last got the prompt's prefix, so its cost doesn't grow with the number of
// groups. Only if none of these may take the request does it consider all groups.
func (router *Router) Pick(request Request, now time.Duration) (Choice, bool) {
	groups, ok := router.table.Load().byModel[request.Model]
	if !ok {
		return Choice{}, false
	}
	search := search{request: request, now: now, predict: router.predict}
	search.considerWindow(&groups.local, router.random)
	search.considerWindow(&groups.remote, router.random)
	if index, ok := groups.local.byNumber[router.prefixes[request.PrefixHash%prefixSlots].Load()]; ok {
		search.consider(&groups.local.candidates[index])
	}
	if search.count == 0 {
		search.considerAll(&groups.local)
		search.considerAll(&groups.remote)
	}
	total := len(groups.local.candidates) + len(groups.remote.candidates)
	if search.count == 0 {
		return Choice{Groups: total}, false
	}
	chosen, predicted, nearBest := search.drawNearBest(router.random)
	choice := Choice{
		Target: chosen.target, Predicted: predicted, NearBest: nearBest, Groups: total,
		state: chosen.state, tokens: int64(request.AnswerTokens),
	}
	router.prefixes[request.PrefixHash%prefixSlots].Store(chosen.target.Number)
	choice.recordStart(request.PrefixHash, now)
	return choice, true
}

// CanTakeOver reports whether a draft that was last served by a group at the given time could go on: at another group,
// or at the same one if a report of it was read since.
func (router *Router) CanTakeOver(request Request, group uint64, since, now time.Duration) bool {
	groups, ok := router.table.Load().byModel[request.Model]
	if !ok {
		return false
	}
	for _, list := range []*candidateList{&groups.local, &groups.remote} {
		for index := range list.candidates {
			candidate := &list.candidates[index]
			if (candidate.target.Number != group || candidate.target.ReadAt > since) && candidate.accepts(request, now) {
				return true
			}
		}
	}
	return false
}

// search holds the groups that one choice has considered. It stays on the stack.
type search struct {
	request     Request
	now         time.Duration
	predict     Predictor
	candidates  [maxCandidates]*candidate
	predictions [maxCandidates]time.Duration
	count       int
	best        time.Duration
}

// considerWindow considers consecutive groups from a random start.
func (search *search) considerWindow(list *candidateList, random func(n int) int) {
	total := len(list.candidates)
	if total == 0 {
		return
	}
	first := 0
	if total > windowSize {
		first = random(total)
	}
	for offset := range min(total, windowSize) {
		search.consider(&list.candidates[(first+offset)%total])
	}
}

// considerAll considers every group until enough may take the request.
func (search *search) considerAll(list *candidateList) {
	for index := range list.candidates {
		search.consider(&list.candidates[index])
	}
}

func (search *search) consider(candidate *candidate) {
	if search.count == maxCandidates || !candidate.accepts(search.request, search.now) {
		return
	}
	predicted := search.predict(&candidate.target, candidate.state.localLoad(search.request.PrefixHash, search.now), search.request, search.now)
	if search.count == 0 || predicted < search.best {
		search.best = predicted
	}
	search.candidates[search.count], search.predictions[search.count] = candidate, predicted
	search.count++
}

// drawNearBest chooses at random among the groups near the best.
func (search *search) drawNearBest(random func(n int) int) (chosen *candidate, predicted time.Duration, nearBest int) {
	limit := search.best + max(nearBestMargin, time.Duration(float64(search.best)*nearBestShare))
	var within [maxCandidates]int
	for index := range search.count {
		if search.predictions[index] <= limit {
			within[nearBest] = index
			nearBest++
		}
	}
	drawn := within[random(nearBest)]
	return search.candidates[drawn], search.predictions[drawn], nearBest
}
