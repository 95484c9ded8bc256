package cli

import (
	"strconv"

	"github.com/spf13/cobra"

	"github.com/quetzallug/quetzallug/document"
)

type validationResult struct {
	File     string          `json:"file"`
	Valid    bool            `json:"valid"`
	Errors   document.Errors `json:"errors,omitempty"`
	Warnings document.Errors `json:"warnings,omitempty"`
}

func (a *app) validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE...",
		Short: "Validate documents without contacting any service",
		Long: `validate checks documents offline and reports all errors at once. If FILE is -, it reads standard
input. The exit code is 3 if any document is invalid. Warnings do not affect it.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return a.validate(args) },
	}
}

func (a *app) validate(files []string) error {
	t := &table{header: []string{"FILE", "VALID", "ERRORS", "WARNINGS"}}
	results := make([]validationResult, len(files))
	var faults document.Errors
	for i, name := range files {
		body, err := a.readWithLF(name)
		if err != nil {
			return err
		}
		_, warnings, err := document.ParseFile(name, body)
		r := validationResult{File: name, Valid: err == nil, Errors: document.AsErrors(err), Warnings: warnings}
		for _, w := range warnings {
			a.noticef("warning: %v", w)
		}
		faults = append(faults, r.Errors...)
		results[i] = r
		t.add(name, strconv.FormatBool(r.Valid), strconv.Itoa(len(r.Errors)), strconv.Itoa(len(warnings)))
	}
	if err := a.emit(results, t); err != nil {
		return err
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}
