package document

import (
	"bytes"
	"fmt"

	"github.com/goccy/go-yaml"
)

// Defaults of optional fields.
const (
	DefaultGoodputWeight    = 1.0
	DefaultRoleChangeWeight = 1.0
	DefaultQueue            = 64
	DefaultBodyKiB          = 1024
	DefaultConcurrent       = 256
)

// Parse decodes a document strictly, applies the defaults and validates it.
func Parse(body []byte) (*Service, error) {
	var s Service
	dec := yaml.NewDecoder(bytes.NewReader(body), yaml.DisallowUnknownField())
	if err := dec.Decode(&s); err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	s.applyDefaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Service) applyDefaults() {
	if s.Weights.Goodput == 0 {
		s.Weights.Goodput = DefaultGoodputWeight
	}
	if s.Weights.RoleChanges == 0 {
		s.Weights.RoleChanges = DefaultRoleChangeWeight
	}
	if s.Limits.Queue == 0 {
		s.Limits.Queue = DefaultQueue
	}
	if s.Limits.BodyKiB == 0 {
		s.Limits.BodyKiB = DefaultBodyKiB
	}
	if s.Limits.PerCaller.Concurrent == 0 {
		s.Limits.PerCaller.Concurrent = DefaultConcurrent
	}
}

// Validate checks the document as a whole.
func (s *Service) Validate() error {
	if s.Service == "" {
		return fmt.Errorf("service: a name is required")
	}
	if s.Type != TypeModel && s.Type != TypePlain {
		return fmt.Errorf("type: found %q, allowed are %q and %q", s.Type, TypeModel, TypePlain)
	}
	if len(s.Kinds) == 0 {
		return fmt.Errorf("kinds: at least one kind is required")
	}
	return nil
}

// FindKind returns the first kind that matches, or nil.
func (s *Service) FindKind(m Match) *Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Match.matches(m) {
			return &s.Kinds[i]
		}
	}
	return nil
}

func (m Match) matches(r Match) bool {
	return (m.Kind == "" || m.Kind == r.Kind) &&
		(m.Model == "" || m.Model == r.Model) &&
		(m.Method == "" || m.Method == r.Method) &&
		(m.PathPrefix == "" || len(r.PathPrefix) >= len(m.PathPrefix) && r.PathPrefix[:len(m.PathPrefix)] == m.PathPrefix)
}
