package scheduler

// minCheckedMS is the least time that kept parts are expected to save for the time to the first token
// to tell whether they were held.
const minCheckedMS = 30.0

// keptTokens returns the leading tokens of an ask's prompt that an upstream is expected to hold still.
func (s *State) keptTokens(u *upstream, a *ask) int {
	if len(a.Parts) == 0 {
		return 0
	}
	return min(u.keeper.Expected(s.now, a.Parts, s.memory[u.Pool], u.tokens), a.PromptTokens)
}

// checkKept checks what was expected to be held by the time to the first token, where the upstream
// does not tell it, and returns the tokens that were held by this.
func (s *State) checkKept(a *ask) (held int) {
	u := a.upstream
	if a.cachedTokens == 0 || a.onCold || u.unmeasured() {
		return a.cachedTokens
	}
	wholeMS := u.speed.Prefill.At(float64(max(a.PromptTokens, 1)))
	savedMS := wholeMS - u.speed.Prefill.At(float64(max(a.PromptTokens-a.cachedTokens, 1)))
	if savedMS < minCheckedMS {
		return a.cachedTokens
	}
	tookMS := float64(s.now - max(a.grantedAt, u.prefillStartedAt))
	confirmed := min(max((wholeMS-tookMS)/savedMS, 0), 1)
	u.keeper.Check(confirmed)
	return int(confirmed * float64(a.cachedTokens))
}
