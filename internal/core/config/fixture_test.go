package config_test

import (
	"encoding/json"
	"fmt"

	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
)

// document returns a valid document with the given number of organisations.
func document(organisations int) *config.Document {
	d := &config.Document{
		Format: config.Format, Partitions: 64, Streams: 2,
		Classes:  []config.Class{{Name: "interactive", Priority: 1}},
		Models:   []config.Model{{Name: "small", ContextTokens: 8000, MaxOutputTokens: 500, TimeoutMS: 60000}},
		Services: []config.Service{{Name: "ledger", TimeoutMS: 5000, Operations: []config.Operation{{Name: "read", Idempotent: true}}}},
		Targets: []config.Target{
			{Name: "m1", Address: "http://127.0.0.1:9000/m1", DataCentre: "a", Model: "small", Role: "mixed", Concurrency: 8, KVTokens: 100000},
			{Name: "s1", Address: "http://127.0.0.1:9000/s1", DataCentre: "a", Services: []string{"ledger"}, Concurrency: 4},
		},
	}
	for i := range organisations {
		organisation := fmt.Sprintf("firm-%d", i)
		d.Organisations = append(d.Organisations, config.Organisation{Name: organisation, BudgetTokens: 100000, Weight: 1})
		d.Agents = append(d.Agents, config.Agent{Name: "agent-" + organisation, Organisation: organisation, Class: "interactive", LatencyWeight: 1, CacheWeight: 1})
	}
	return d
}

func encode(d *config.Document) []byte {
	data, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return data
}

func paths(err error) []string {
	f, ok := fault.As(err)
	if !ok || f.Type != fault.InvalidConfig || f.Run != fault.NotRun {
		return nil
	}
	var list []string
	for _, field := range f.Fields {
		list = append(list, field.Path)
	}
	return list
}
