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

// Bounds of fields.
const (
	MaxDataCentres = 64
	MaxModels      = 256
	MaxAdapters    = 256
	MaxKinds       = 64
	// MaxWorkers is above the few dozen engines that one planner handles, to leave room for
	// plain services.
	MaxWorkers           = 512
	MaxRank              = 100
	MaxWeightsMiB        = 4 << 20 // 4 TiB
	MaxWeight            = 1000
	MaxQueue             = 65536
	MaxBodyKiB           = 65536
	MaxRequestsPerSecond = 1e6
	MaxBurst             = 1_000_000
	MaxConcurrent        = 100_000
	// MaxTotal bounds the total deadline of a kind, and so the time that a drain takes.
	MaxTotal = time.Hour
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

// ValidName says whether s can name a service, data centre or kind.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Validate checks a document that was built in memory. Parse has checked its result already.
func (s *Service) Validate() error {
	v := &validator{}
	v.service(s)
	if len(v.errs) > 0 {
		return v.errs.sorted()
	}
	return nil
}

// validator collects the faults of a decoded document. Without positions, a zero value of an
// optional field counts as left out.
type validator struct {
	errs      Errors
	warnings  Errors
	positions map[string]position
}

// locate returns the position of a field, or of its nearest parent that is present.
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

func (v *validator) fault(field, found, allowed string) {
	// A field that could not be decoded has a more exact fault already.
	for _, e := range v.errs {
		if e.Field == field {
			return
		}
	}
	p := v.locate(field)
	v.errs = append(v.errs, &Error{Line: p.line, Column: p.column, Field: field, Found: found, Allowed: allowed})
}

func (v *validator) warn(field, found, allowed string) {
	p := v.locate(field)
	v.warnings = append(v.warnings, &Error{Line: p.line, Column: p.column, Field: field, Found: found, Allowed: allowed})
}

func (v *validator) present(field string) bool {
	_, ok := v.positions[field]
	return ok
}

func (v *validator) pattern(field, value string, re *regexp.Regexp, allowed string) {
	if !re.MatchString(value) {
		v.fault(field, quote(value), allowed)
	}
}

// number checks a required number.
func number[T int | float64](v *validator, field string, value, low, high T) {
	if value < low || value > high {
		found := fmt.Sprint(value)
		if value == 0 && !v.present(field) && v.positions != nil {
			found = "no value"
		}
		v.fault(field, found, fmt.Sprintf("%v to %v", low, high))
	}
}

// optional checks a number that may be left out.
func optional[T int | float64](v *validator, field string, value, low, high T) {
	if value != 0 || v.present(field) {
		number(v, field, value, low, high)
	}
}

// absent refuses a field that has no meaning for the document's type.
func (v *validator) absent(field string, isSet bool, typ Type) {
	if isSet || v.present(field) {
		v.fault(field, "a value", fmt.Sprintf("no value in a service of type %q", typ))
	}
}

func (v *validator) count(field string, n, low, high int) {
	if n < low || n > high {
		v.fault(field, strconv.Itoa(n)+" items", fmt.Sprintf("%d to %d items", low, high))
	}
}

// unique checks one value of a list against the earlier ones.
func (v *validator) unique(field, value string, seen map[string]bool) {
	if seen[value] && value != "" {
		v.fault(field, quote(value)+" a second time", "each value once")
	}
	seen[value] = true
}

func (v *validator) service(s *Service) {
	v.pattern("service", s.Service, namePattern, allowedName)
	if s.Type != TypeModel && s.Type != TypePlain {
		v.fault("type", quote(string(s.Type)), "model or plain")
	}
	v.count("data_centres", len(s.DataCentres), 1, MaxDataCentres)
	seen := map[string]bool{}
	for i, dc := range s.DataCentres {
		field := fmt.Sprintf("data_centres[%d]", i)
		v.pattern(field, dc, namePattern, allowedName)
		v.unique(field, dc, seen)
	}
	v.models(s)
	v.pools(s)
	v.kinds(s)
	optional(v, "weights.goodput", s.Weights.Goodput, 0.001, MaxWeight)
	optional(v, "weights.role_changes", s.Weights.RoleChanges, 0.001, MaxWeight)
	v.limits(&s.Limits)
}

func (v *validator) models(s *Service) {
	if s.Type == TypePlain {
		v.absent("models", len(s.Models) > 0, s.Type)
		return
	}
	v.count("models", len(s.Models), 1, MaxModels)
	seen := map[string]bool{}
	for i := range s.Models {
		m, at := &s.Models[i], fmt.Sprintf("models[%d]", i)
		v.pattern(at+".name", m.Name, modelPattern, allowedModel)
		v.unique(at+".name", m.Name, seen)
		v.pattern(at+".version", m.Version, versionPattern, allowedVersion)
		number(v, at+".weights_mib", m.WeightsMiB, 1, MaxWeightsMiB)
		v.count(at+".adapters", len(m.Adapters), 0, MaxAdapters)
		adapters := map[string]bool{}
		for j, a := range m.Adapters {
			field := fmt.Sprintf("%s.adapters[%d]", at, j)
			v.pattern(field+".name", a.Name, modelPattern, allowedModel)
			v.unique(field+".name", a.Name, adapters)
			v.pattern(field+".version", a.Version, versionPattern, allowedVersion)
		}
	}
}

func (v *validator) pools(s *Service) {
	v.count("pools", len(s.Pools), 1, MaxDataCentres)
	seen := map[string]bool{}
	for i := range s.Pools {
		p, at := &s.Pools[i], fmt.Sprintf("pools[%d]", i)
		if !slices.Contains(s.DataCentres, p.DataCentre) {
			v.fault(at+".data_centre", quote(p.DataCentre), list("one of data_centres", s.DataCentres))
		}
		v.unique(at+".data_centre", p.DataCentre, seen)
		number(v, at+".workers", p.Workers, 1, MaxWorkers)
		if s.Type == TypePlain {
			v.absent(at+".models", len(p.Models) > 0, s.Type)
			v.absent(at+".roles", p.Roles != (Roles{}), s.Type)
			v.absent(at+".fixed_roles", p.FixedRoles, s.Type)
			continue
		}
		v.poolModels(s, p, at)
		v.roles(p, at)
	}
	if s.Type == TypeModel {
		v.roleCover(s)
	}
	for i, dc := range s.DataCentres {
		if !seen[dc] {
			v.warn(fmt.Sprintf("data_centres[%d]", i), quote(dc)+" without a pool", "a pool in each data centre")
		}
	}
}

func (v *validator) poolModels(s *Service, p *Pool, at string) {
	names := make([]string, len(s.Models))
	for i, m := range s.Models {
		names[i] = m.Name
	}
	seen := map[string]bool{}
	for j, m := range p.Models {
		field := fmt.Sprintf("%s.models[%d]", at, j)
		if !slices.Contains(names, m) {
			v.fault(field, quote(m), list("the name of one of models", names))
		}
		v.unique(field, m, seen)
	}
}

func (v *validator) roles(p *Pool, at string) {
	r := p.Roles
	number(v, at+".roles.prefill", r.Prefill, 0, MaxWorkers)
	number(v, at+".roles.decode", r.Decode, 0, MaxWorkers)
	number(v, at+".roles.mixed", r.Mixed, 0, MaxWorkers)
	if sum := r.Prefill + r.Decode + r.Mixed; min(r.Prefill, r.Decode, r.Mixed) >= 0 && (sum != 0 || v.present(at+".roles")) && sum != p.Workers {
		v.fault(at+".roles", fmt.Sprintf("a sum of %d", sum), fmt.Sprintf("a sum of %d, the number of workers", p.Workers))
	}
}

// roleCover refuses a service in which no engine can do one half of the work.
func (v *validator) roleCover(s *Service) {
	var sum Roles
	for _, p := range s.Pools {
		if p.Roles == (Roles{}) {
			return // mixed by default
		}
		sum.Prefill += p.Roles.Prefill
		sum.Decode += p.Roles.Decode
		sum.Mixed += p.Roles.Mixed
	}
	if sum.Mixed == 0 && len(s.Pools) > 0 && (sum.Prefill == 0 || sum.Decode == 0) {
		v.fault("pools", fmt.Sprintf("%d prefill and %d decode engines in all pools", sum.Prefill, sum.Decode),
			"at least one engine of each role, or mixed engines")
	}
}

func (v *validator) limits(l *Limits) {
	optional(v, "limits.queue", l.Queue, 1, MaxQueue)
	optional(v, "limits.body_kib", l.BodyKiB, 1, MaxBodyKiB)
	c := l.PerCaller
	optional(v, "limits.per_caller.requests_per_second", c.RequestsPerSecond, 0.001, MaxRequestsPerSecond)
	optional(v, "limits.per_caller.burst", c.Burst, 1, MaxBurst)
	optional(v, "limits.per_caller.concurrent", c.Concurrent, 1, MaxConcurrent)
	if c.Burst != 0 && c.RequestsPerSecond == 0 {
		v.fault("limits.per_caller.burst", strconv.Itoa(c.Burst), "no value without requests_per_second")
	}
}

func quote(s string) string {
	if s == "" {
		return "no value"
	}
	return strconv.Quote(truncate(s))
}

// list names the values that a reference may have.
func list(what string, values []string) string {
	const shown = 8
	names := strings.Join(values[:min(len(values), shown)], ", ")
	if len(values) > shown {
		names += ", ..."
	}
	return what + " (" + names + ")"
}
