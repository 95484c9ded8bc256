package document

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func (v *validator) kinds(s *Service) {
	v.count("kinds", len(s.Kinds), 1, MaxKinds)
	seen := map[string]bool{}
	catchAll := false
	for i := range s.Kinds {
		k, at := &s.Kinds[i], fmt.Sprintf("kinds[%d]", i)
		v.pattern(at+".name", k.Name, namePattern, allowedName)
		v.unique(at+".name", k.Name, seen)
		v.match(s, k.Match, at+".match")
		number(v, at+".rank", k.Rank, 1, MaxRank)
		v.deadlines(s, k.Deadlines, at+".deadlines")
		// An interrupted request runs again elsewhere, which an unrepeatable one must not.
		if k.Interruptible && !k.Repeatable {
			v.fault(at+".interruptible", "true", "false if repeatable is false")
		}
		for _, earlier := range s.Kinds[:i] {
			if earlier.Match.covers(k.Match) {
				v.warn(at+".match", "only requests that kind "+quote(earlier.Name)+" takes first", "a match that some request reaches")
				break
			}
		}
		catchAll = catchAll || k.Match == (Match{})
	}
	if !catchAll && len(s.Kinds) > 0 {
		v.warn("kinds", "no kind without match", "a last kind without match; other requests are refused")
	}
}

func (v *validator) match(s *Service, m Match, at string) {
	if m.Kind != "" || v.present(at+".kind") {
		v.pattern(at+".kind", m.Kind, namePattern, allowedName)
	}
	if s.Type == TypeModel {
		v.absent(at+".method", m.Method != "", s.Type)
		v.absent(at+".path_prefix", m.PathPrefix != "", s.Type)
		if m.Model != "" && !slices.ContainsFunc(s.Models, func(x Model) bool { return x.Name == m.Model }) {
			v.fault(at+".model", quote(m.Model), "the name of one of models")
		}
		return
	}
	v.absent(at+".model", m.Model != "", s.Type)
	if (m.Method != "" || v.present(at+".method")) && !slices.Contains(methods, m.Method) {
		v.fault(at+".method", quote(m.Method), list("one of the methods", methods))
	}
	if (m.PathPrefix != "" || v.present(at+".path_prefix")) && !strings.HasPrefix(m.PathPrefix, "/") {
		v.fault(at+".path_prefix", quote(m.PathPrefix), "a path that begins with /")
	}
}

func (v *validator) deadlines(s *Service, d Deadlines, at string) {
	total := d.Total.Std()
	switch {
	case total == 0 && !v.present(at+".total"):
		v.fault(at+".total", "no value", "above 0s and at most "+MaxTotal.String())
	case total <= 0 || total > MaxTotal:
		v.fault(at+".total", total.String(), "above 0s and at most "+MaxTotal.String())
	}
	if s.Type == TypePlain {
		v.absent(at+".first_token", d.FirstToken != 0, s.Type)
		v.absent(at+".between_tokens", d.BetweenTokens != 0, s.Type)
		return
	}
	v.target(at+".first_token", d.FirstToken.Std(), total)
	v.target(at+".between_tokens", d.BetweenTokens.Std(), total)
}

// target checks a latency target that may be left out.
func (v *validator) target(field string, d, total time.Duration) {
	if d == 0 && !v.present(field) {
		return
	}
	switch {
	case total <= 0: // has its own fault
	case d <= 0 || d > total:
		v.fault(field, d.String(), "above 0s and at most the total of "+total.String())
	}
}

// covers says whether each request that matches other also matches m.
func (m Match) covers(other Match) bool {
	return (m.Kind == "" || m.Kind == other.Kind) &&
		(m.Model == "" || m.Model == other.Model) &&
		(m.Method == "" || m.Method == other.Method) &&
		strings.HasPrefix(other.PathPrefix, m.PathPrefix)
}
