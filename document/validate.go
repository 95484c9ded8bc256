package document

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits of field values.
const (
	MaxDataCentres = 64
	MaxModels      = 256
	MaxAdapters    = 256 // per model
	MaxKinds       = 64
	// MaxWorkers is the maximum per pool. It exceeds the few dozen engines that one planner can handle,
	// to leave room for plain services.
	MaxWorkers           = 512
	MaxRank              = 100
	MaxWeightsMiB        = 4 << 20 // 4 TiB
	MaxObjectiveWeight   = 1000
	MaxQueue             = 65536
	MaxBodyKiB           = 65536
	MaxRequestsPerSecond = 1e6
	MaxBurst             = 1_000_000
	MaxConcurrent        = 100_000
	// MaxTotalDeadline limits the total deadline of a kind, and thereby the duration of a drain.
	MaxTotalDeadline = time.Hour
)

const (
	allowedName    = "1 to 63 of a-z, 0-9 and '-', with a letter or digit first and last"
	allowedModel   = "1 to 63 of a-z, 0-9, '-', '_' and '.', with a letter or digit first"
	allowedVersion = "1 to 63 of letters, digits, '-', '_' and '.', with a letter or digit first"
)

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	modelPattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	methods        = []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	}
)

// ValidName reports whether s is a valid name of a service, data centre or kind.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Validate checks a document that was built in memory, without applying the default values. A non-nil
// error has type Errors. Documents returned by Parse are already valid.
func (s *Service) Validate() error {
	v := &validator{}
	v.validateService(s)
	if len(v.errs) > 0 {
		return v.errs.sortAndTruncate()
	}
	return nil
}

// validator collects the errors in a decoded document. If positions is nil, an optional field with a
// zero value is treated as unset.
type validator struct {
	errs      Errors
	warnings  Errors
	positions map[string]position
}

// locate returns the position of a field, or of its closest ancestor that is present in the file.
// Without one it is 1:1, or 0:0 if no field has a position, as in a document built in memory.
func (v *validator) locate(field string) position {
	for field != "" {
		if p, ok := v.positions[field]; ok {
			return p
		}
		i := strings.LastIndexAny(field, ".[")
		field = field[:max(i, 0)]
	}
	return position{min(1, len(v.positions)), min(1, len(v.positions))}
}

func (v *validator) addError(field, found, allowed string) {
	// Only the first error of a field is kept. A decoding error, which is more precise, comes first.
	for _, e := range v.errs {
		if e.Field == field {
			return
		}
	}
	p := v.locate(field)
	v.errs = append(v.errs, &Error{Line: p.line, Column: p.column, Field: field, Found: found, Allowed: allowed})
}

func (v *validator) addWarning(field, found, allowed string) {
	p := v.locate(field)
	v.warnings = append(v.warnings, &Error{Line: p.line, Column: p.column, Field: field, Found: found, Allowed: allowed})
}

func (v *validator) isPresent(field string) bool {
	_, ok := v.positions[field]
	return ok
}

func (v *validator) checkPattern(field, value string, re *regexp.Regexp, allowed string) {
	if !re.MatchString(value) {
		v.addError(field, quoteValue(value), allowed)
	}
}

// checkRange checks that a required number lies between low and high.
func checkRange[T int | float64](v *validator, field string, value, low, high T) {
	if value < low || value > high {
		found := fmt.Sprint(value)
		if value == 0 && !v.isPresent(field) && v.positions != nil {
			found = "no value"
		}
		v.addError(field, found, fmt.Sprintf("%v to %v", low, high))
	}
}

// checkOptionalRange checks the range of an optional number if it is set.
func checkOptionalRange[T int | float64](v *validator, field string, value, low, high T) {
	if value != 0 || v.isPresent(field) {
		checkRange(v, field, value, low, high)
	}
}

// checkNotSet rejects a field that does not apply to the type of the service.
func (v *validator) checkNotSet(field string, isSet bool, typ Type) {
	if isSet || v.isPresent(field) {
		v.addError(field, "a value", fmt.Sprintf("no value in a service of type %q", typ))
	}
}

func (v *validator) checkCount(field string, n, low, high int) {
	if n < low || n > high {
		v.addError(field, strconv.Itoa(n)+" items", fmt.Sprintf("%d to %d items", low, high))
	}
}

// checkUnique reports a duplicate of an earlier list value and adds the value to seen.
func (v *validator) checkUnique(field, value string, seen map[string]bool) {
	if seen[value] && value != "" {
		v.addError(field, quoteValue(value)+" a second time", "each value once")
	}
	seen[value] = true
}

func (v *validator) validateService(s *Service) {
	v.checkPattern("service", s.Service, namePattern, allowedName)
	if s.Type != TypeModel && s.Type != TypePlain {
		v.addError("type", quoteValue(string(s.Type)), "model or plain")
	}
	v.checkCount("data_centres", len(s.DataCentres), 1, MaxDataCentres)
	seen := map[string]bool{}
	for i, dc := range s.DataCentres {
		field := fmt.Sprintf("data_centres[%d]", i)
		v.checkPattern(field, dc, namePattern, allowedName)
		v.checkUnique(field, dc, seen)
	}
	v.validateModels(s)
	v.validatePools(s)
	v.validateKinds(s)
	checkOptionalRange(v, "weights.goodput", s.Weights.Goodput, 0.001, MaxObjectiveWeight)
	checkOptionalRange(v, "weights.role_changes", s.Weights.RoleChanges, 0.001, MaxObjectiveWeight)
	v.validateLimits(&s.Limits)
}

func (v *validator) validateModels(s *Service) {
	if s.Type == TypePlain {
		v.checkNotSet("models", len(s.Models) > 0, s.Type)
		return
	}
	v.checkCount("models", len(s.Models), 1, MaxModels)
	seen := map[string]bool{}
	for i := range s.Models {
		m, path := &s.Models[i], fmt.Sprintf("models[%d]", i)
		v.checkPattern(path+".name", m.Name, modelPattern, allowedModel)
		v.checkUnique(path+".name", m.Name, seen)
		v.checkPattern(path+".version", m.Version, versionPattern, allowedVersion)
		checkRange(v, path+".weights_mib", m.WeightsMiB, 1, MaxWeightsMiB)
		v.checkCount(path+".adapters", len(m.Adapters), 0, MaxAdapters)
		adapters := map[string]bool{}
		for j, a := range m.Adapters {
			field := fmt.Sprintf("%s.adapters[%d]", path, j)
			v.checkPattern(field+".name", a.Name, modelPattern, allowedModel)
			v.checkUnique(field+".name", a.Name, adapters)
			v.checkPattern(field+".version", a.Version, versionPattern, allowedVersion)
		}
	}
}

func (v *validator) validatePools(s *Service) {
	v.checkCount("pools", len(s.Pools), 1, MaxDataCentres)
	seen := map[string]bool{}
	for i := range s.Pools {
		p, path := &s.Pools[i], fmt.Sprintf("pools[%d]", i)
		if !slices.Contains(s.DataCentres, p.DataCentre) {
			v.addError(path+".data_centre", quoteValue(p.DataCentre), withChoices("one of data_centres", s.DataCentres))
		}
		v.checkUnique(path+".data_centre", p.DataCentre, seen)
		checkRange(v, path+".workers", p.Workers, 1, MaxWorkers)
		if s.Type == TypePlain {
			v.checkNotSet(path+".models", len(p.Models) > 0, s.Type)
			v.checkNotSet(path+".roles", p.Roles != (Roles{}), s.Type)
			v.checkNotSet(path+".fixed_roles", p.FixedRoles, s.Type)
			continue
		}
		v.validatePoolModels(s, p, path)
		v.validateRoles(p, path)
	}
	if s.Type == TypeModel {
		v.validateRoleCoverage(s)
	}
	for i, dc := range s.DataCentres {
		if !seen[dc] {
			v.addWarning(fmt.Sprintf("data_centres[%d]", i), quoteValue(dc)+" without a pool", "a pool in each data centre")
		}
	}
}

func (v *validator) validatePoolModels(s *Service, p *Pool, path string) {
	names := make([]string, len(s.Models))
	for i, m := range s.Models {
		names[i] = m.Name
	}
	seen := map[string]bool{}
	for j, m := range p.Models {
		field := fmt.Sprintf("%s.models[%d]", path, j)
		if !slices.Contains(names, m) {
			v.addError(field, quoteValue(m), withChoices("the name of one of models", names))
		}
		v.checkUnique(field, m, seen)
	}
}

func (v *validator) validateRoles(p *Pool, path string) {
	r := p.Roles
	checkRange(v, path+".roles.prefill", r.Prefill, 0, MaxWorkers)
	checkRange(v, path+".roles.decode", r.Decode, 0, MaxWorkers)
	checkRange(v, path+".roles.mixed", r.Mixed, 0, MaxWorkers)
	if sum := r.Prefill + r.Decode + r.Mixed; min(r.Prefill, r.Decode, r.Mixed) >= 0 && (sum != 0 || v.isPresent(path+".roles")) && sum != p.Workers {
		v.addError(path+".roles", fmt.Sprintf("a sum of %d", sum), fmt.Sprintf("a sum of %d, the number of workers", p.Workers))
	}
}

// validateRoleCoverage rejects a service in which no engine can run the prefill phase or no engine
// can run the decode phase.
func (v *validator) validateRoleCoverage(s *Service) {
	var sum Roles
	for _, p := range s.Pools {
		if p.Roles == (Roles{}) {
			return // applyDefaults makes all engines of this pool mixed
		}
		sum.Prefill += p.Roles.Prefill
		sum.Decode += p.Roles.Decode
		sum.Mixed += p.Roles.Mixed
	}
	if sum.Mixed == 0 && len(s.Pools) > 0 && (sum.Prefill == 0 || sum.Decode == 0) {
		v.addError("pools", fmt.Sprintf("%d prefill and %d decode engines in all pools", sum.Prefill, sum.Decode),
			"at least one engine of each role, or mixed engines")
	}
}

func (v *validator) validateLimits(l *Limits) {
	checkOptionalRange(v, "limits.queue", l.Queue, 1, MaxQueue)
	checkOptionalRange(v, "limits.body_kib", l.BodyKiB, 1, MaxBodyKiB)
	c := l.PerCaller
	checkOptionalRange(v, "limits.per_caller.requests_per_second", c.RequestsPerSecond, 0.001, MaxRequestsPerSecond)
	checkOptionalRange(v, "limits.per_caller.burst", c.Burst, 1, MaxBurst)
	checkOptionalRange(v, "limits.per_caller.concurrent", c.Concurrent, 1, MaxConcurrent)
	if c.Burst != 0 && c.RequestsPerSecond == 0 {
		v.addError("limits.per_caller.burst", strconv.Itoa(c.Burst), "no value without requests_per_second")
	}
}

func quoteValue(s string) string {
	if s == "" {
		return "no value"
	}
	return strconv.Quote(truncate(s))
}

// withChoices appends the first few permitted values to a description.
func withChoices(what string, values []string) string {
	const maxChoices = 8
	names := strings.Join(values[:min(len(values), maxChoices)], ", ")
	if len(values) > maxChoices {
		names += ", ..."
	}
	return what + " (" + names + ")"
}
