package cli

import (
	"errors"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/quetzallug/quetzallug/document"
)

type validationResult struct {
	File     string          `json:"file"`
	Valid    bool            `json:"valid"`
	Errors   document.Errors `json:"errors,omitempty"`
	Warnings document.Errors `json:"warnings,omitempty"`
}

// configResult is the result for a gateway's configuration, whose errors have no positions.
type configResult struct {
	File   string   `json:"file"`
	Valid  bool     `json:"valid"`
	Errors []string `json:"errors,omitempty"`
}

func (a *app) validateCommand() *cobra.Command {
	gatewayConfig := ""
	cmd := &cobra.Command{
		Use:   "validate [FILE...]",
		Short: "Validate documents without contacting any service",
		Long: `validate checks documents offline and reports all errors at once. If FILE is -, it reads standard
input. The exit code is 3 if any document is invalid. Warnings do not affect it.

With --gateway-config, it checks a gateway's configuration in the platform's format, with its client
accounts. API keys are never printed.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			if gatewayConfig != "" {
				return a.validateGatewayConfig(gatewayConfig)
			}
			if err := cobra.MinimumNArgs(1)(cmd, args); err != nil {
				return &usageError{err}
			}
			return a.validate(args)
		},
	}
	cmd.Flags().StringVar(&gatewayConfig, "gateway-config", "", "check this file as a gateway's configuration")
	return cmd
}

func (a *app) validateGatewayConfig(name string) error {
	if a.checkGatewayConfig == nil {
		return &usageError{errors.New("this build has no platform whose configuration it can check")}
	}
	body, err := a.readWithLF(name)
	if err != nil {
		return err
	}
	faults := a.checkGatewayConfig(body)
	r := configResult{File: name, Valid: faults == nil}
	if faults != nil {
		r.Errors = strings.Split(faults.Error(), "\n")
	}
	t := &table{header: []string{"FILE", "VALID", "ERRORS"}}
	t.add(name, strconv.FormatBool(r.Valid), strconv.Itoa(len(r.Errors)))
	if err := a.emit([]configResult{r}, t); err != nil {
		return err
	}
	if faults != nil {
		return &invalidConfigError{faults}
	}
	return nil
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
