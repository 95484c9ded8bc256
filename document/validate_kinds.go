package document

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func (v *validator) validateKinds(s *Service) {
	v.checkCount("kinds", len(s.Kinds), 1, MaxKinds)
	seen := map[string]bool{}
	catchAll := false
	for i := range s.Kinds {
		k, path := &s.Kinds[i], fmt.Sprintf("kinds[%d]", i)
		v.checkPattern(path+".name", k.Name, namePattern, allowedName)
		v.checkUnique(path+".name", k.Name, seen)
		v.validateMatch(s, k.Match, path+".match")
		checkRange(v, path+".rank", k.Rank, 1, MaxRank)
		v.validateDeadlines(s, k.Deadlines, path+".deadlines")
		// An interrupted request is executed again on another worker, so it must be repeatable.
		if k.Interruptible && !k.Repeatable {
			v.addError(path+".interruptible", "true", "false if repeatable is false")
		}
		// A kind that an earlier one covers never applies.
		for _, earlier := range s.Kinds[:i] {
			if earlier.Match.covers(k.Match) {
				v.addWarning(path+".match", "only requests that kind "+quoteValue(earlier.Name)+" takes first", "a match that some request reaches")
				break
			}
		}
		catchAll = catchAll || k.Match == (Match{})
	}
	if !catchAll && len(s.Kinds) > 0 {
		v.addWarning("kinds", "no kind without match", "a last kind without match; other requests are refused")
	}
}

func (v *validator) validateMatch(s *Service, m Match, path string) {
	if m.Kind != "" || v.isPresent(path+".kind") {
		v.checkPattern(path+".kind", m.Kind, namePattern, allowedName)
	}
	if s.Type == TypeModel {
		v.checkNotSet(path+".method", m.Method != "", s.Type)
		v.checkNotSet(path+".path_prefix", m.PathPrefix != "", s.Type)
		if m.Model != "" && !slices.ContainsFunc(s.Models, func(x Model) bool { return x.Name == m.Model }) {
			v.addError(path+".model", quoteValue(m.Model), "the name of one of models")
		}
		return
	}
	v.checkNotSet(path+".model", m.Model != "", s.Type)
	if (m.Method != "" || v.isPresent(path+".method")) && !slices.Contains(methods, m.Method) {
		v.addError(path+".method", quoteValue(m.Method), withChoices("one of the methods", methods))
	}
	if (m.PathPrefix != "" || v.isPresent(path+".path_prefix")) && !strings.HasPrefix(m.PathPrefix, "/") {
		v.addError(path+".path_prefix", quoteValue(m.PathPrefix), "a path that begins with /")
	}
}

func (v *validator) validateDeadlines(s *Service, d Deadlines, path string) {
	total := d.Total.Std()
	switch {
	case total == 0 && !v.isPresent(path+".total"):
		v.addError(path+".total", "no value", "above 0s and at most "+MaxTotalDeadline.String())
	case total <= 0 || total > MaxTotalDeadline:
		v.addError(path+".total", total.String(), "above 0s and at most "+MaxTotalDeadline.String())
	}
	if s.Type == TypePlain {
		v.checkNotSet(path+".first_token", d.FirstToken != 0, s.Type)
		v.checkNotSet(path+".between_tokens", d.BetweenTokens != 0, s.Type)
		return
	}
	v.checkLatencyTarget(path+".first_token", d.FirstToken.Std(), total)
	v.checkLatencyTarget(path+".between_tokens", d.BetweenTokens.Std(), total)
}

// checkLatencyTarget checks an optional latency target against the total deadline.
func (v *validator) checkLatencyTarget(field string, d, total time.Duration) {
	if d == 0 && !v.isPresent(field) {
		return
	}
	switch {
	case total <= 0: // reported for the total field
	case d <= 0 || d > total:
		v.addError(field, d.String(), "above 0s and at most the total of "+total.String())
	}
}

// covers reports whether every request that matches other also matches m.
func (m Match) covers(other Match) bool {
	return (m.Kind == "" || m.Kind == other.Kind) &&
		(m.Model == "" || m.Model == other.Model) &&
		(m.Method == "" || m.Method == other.Method) &&
		strings.HasPrefix(other.PathPrefix, m.PathPrefix)
}
