package config_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/core/config"
	_ "yuccausher/internal/testutil"
)

func TestCheckAcceptsValidDocument(t *testing.T) {
	is := is.New(t)
	want := document(3)
	got, err := config.Check(encode(want), nil)
	is.NoErr(err)
	is.Equal(got, want)
}

func TestParseReportsEachInvalidField(t *testing.T) {
	is := is.New(t)
	text := string(encode(document(1)))
	text = strings.Replace(text, `"weight":1`, `"weight":"one","colour":"red"`, 1)
	text = strings.Replace(text, `"checks_fencing":false`, `"checks_fencing":0`, 1)
	text = strings.Replace(text, `"partitions":64`, `"Partitions":64,"partitions":-1`, 1)
	text = strings.Replace(text, `"classes":[{`, `"classes":[7,{`, 1)
	_, err := config.Parse([]byte(text))
	is.Equal(paths(err), []string{
		"Partitions", "classes[0]", "firms[0].colour", "firms[0].weight", "partitions", "targets[0].checks_fencing",
	})
}

// TestCheckReportsShapeAndReferenceFaultsTogether verifies that an operator who
// misspells a field also gets the invalid references in the same answer.
func TestCheckReportsShapeAndReferenceFaultsTogether(t *testing.T) {
	is := is.New(t)
	d := document(1)
	d.Agents[0].Class = "none"
	text := strings.Replace(string(encode(d)), `"weight":1`, `"weight":"one","colour":"red"`, 1)
	_, err := config.Check([]byte(text), nil)
	is.Equal(paths(err), []string{"firms[0].colour", "firms[0].weight", "agents[0].class"})
}

func TestParseRejectsNonDocuments(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "null", "7", "{} {}", `{"firms":{}}`, "\x00"} {
		_, err := config.Parse([]byte(text))
		is.New(t).Equal(len(paths(err)), 1) // one fault
	}
}

func TestValidateNamesEachFault(t *testing.T) {
	cases := map[string]func(d *config.Document){
		"format":     func(d *config.Document) { d.Format = 2 },
		"streams":    func(d *config.Document) { d.Streams = 65 },
		"partitions": func(d *config.Document) { d.Partitions = 70000 },
		"firms[1].name": func(d *config.Document) {
			d.Organisations[1].Name = d.Organisations[0].Name
			d.Agents[1].Organisation = d.Organisations[0].Name
		},
		"firms[0].weight":             func(d *config.Document) { d.Organisations[0].Weight = 0 },
		"firms[0].budget_tokens":      func(d *config.Document) { d.Organisations[0].BudgetTokens = 499 },
		"agents[0].max_tokens":        func(d *config.Document) { d.Agents[0].MaxTokens = 499 },
		"agents[0].firm":              func(d *config.Document) { d.Agents[0].Organisation = "nobody" },
		"agents[1].class":             func(d *config.Document) { d.Agents[1].Class = "none" },
		"agents[0].latency_weight":    func(d *config.Document) { d.Agents[0].LatencyWeight = -1 },
		"models[0].max_output_tokens": func(d *config.Document) { d.Models[0].MaxOutputTokens = 8001; d.Organisations[0].BudgetTokens = 9000 },
		"models[1]":                   func(d *config.Document) { m := d.Models[0]; m.Name = "large"; d.Models = append(d.Models, m) },
		"targets[0]":                  func(d *config.Document) { d.Targets[0].Services = []string{"ledger"} },
		"targets[0].address":          func(d *config.Document) { d.Targets[0].Address = "127.0.0.1:9" },
		"targets[0].role":             func(d *config.Document) { d.Targets[0].Role = "spare" },
		"targets[1].role":             func(d *config.Document) { d.Targets[1].Role = "mixed" },
		"targets[0].concurrency":      func(d *config.Document) { d.Targets[0].Concurrency = 0 },
		"targets[1].services[1]":      func(d *config.Document) { d.Targets[1].Services = []string{"ledger", "billing"} },
		"services[1]":                 func(d *config.Document) { d.Services = append(d.Services, config.Service{Name: "x", TimeoutMS: 1}) },
		"services[0].operations[1].name": func(d *config.Document) {
			d.Services[0].Operations = append(d.Services[0].Operations, config.Operation{Name: "read"})
		},
		"classes[0].name": func(d *config.Document) { d.Classes = append([]config.Class{{Name: " a"}}, d.Classes...) },
	}
	for path, change := range cases {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			d := document(2)
			change(d)
			is.Equal(paths(config.Validate(d, nil)), []string{path})
		})
	}
}

func TestValidateRejectsChangedPartitionsAndStreams(t *testing.T) {
	is := is.New(t)
	d := document(1)
	d.Partitions, d.Streams = 128, 4
	is.NoErr(config.Validate(d, nil))
	is.Equal(paths(config.Validate(d, document(1))), []string{"partitions", "streams"})
}
