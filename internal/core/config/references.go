package config

import (
	"strings"

	"yuccausher/internal/fault"
)

// faults collects wrong fields.
type faults []fault.Field

func (f *faults) add(path, message string) {
	*f = append(*f, fault.Field{Path: path, Message: message})
}

// checkNames refuses names that stand twice in one list and names with space
// around them.
func checkNames(d *Document) []fault.Field {
	var f faults
	uniqueNames(&f, "firms", d.Organisations, func(v Organisation) string { return v.Name })
	uniqueNames(&f, "agents", d.Agents, func(v Agent) string { return v.Name })
	uniqueNames(&f, "classes", d.Classes, func(v Class) string { return v.Name })
	uniqueNames(&f, "models", d.Models, func(v Model) string { return v.Name })
	uniqueNames(&f, "targets", d.Targets, func(v Target) string { return v.Name })
	uniqueNames(&f, "services", d.Services, func(v Service) string { return v.Name })
	for i, v := range d.Services {
		uniqueNames(&f, join(at("services", i), "operations"), v.Operations, func(o Operation) string { return o.Name })
	}
	return f
}

func uniqueNames[T any](f *faults, path string, list []T, name func(T) string) {
	seen := make(map[string]struct{}, len(list))
	for i, entry := range list {
		n := name(entry)
		where := join(at(path, i), "name")
		if n != strings.TrimSpace(n) {
			f.add(where, "must not begin or end with space")
		}
		if _, ok := seen[n]; ok {
			f.add(where, "stands twice: "+n)
		}
		seen[n] = struct{}{}
	}
}

func namesOf[T any](list []T, name func(T) string) map[string]bool {
	names := make(map[string]bool, len(list))
	for _, entry := range list {
		names[name(entry)] = true
	}
	return names
}

// checkReferences refuses names of entries that do not exist.
func checkReferences(d *Document) []fault.Field {
	var f faults
	organisations := namesOf(d.Organisations, func(v Organisation) string { return v.Name })
	classes := namesOf(d.Classes, func(v Class) string { return v.Name })
	for i, a := range d.Agents {
		path := at("agents", i)
		refer(&f, join(path, "firm"), "firm", a.Organisation, organisations)
		refer(&f, join(path, "class"), "class", a.Class, classes)
	}
	models := namesOf(d.Models, func(v Model) string { return v.Name })
	services := namesOf(d.Services, func(v Service) string { return v.Name })
	for i := range d.Targets {
		checkTarget(&f, at("targets", i), &d.Targets[i], models, services)
	}
	return f
}

// refer checks one reference. An empty one is the matter of the value rules.
func refer(f *faults, path, kind, name string, known map[string]bool) {
	if name != "" && !known[name] {
		f.add(path, "no "+kind+" of the name "+name)
	}
}

func checkTarget(f *faults, path string, t *Target, models, services map[string]bool) {
	refer(f, join(path, "model"), "model", t.Model, models)
	seen := make(map[string]bool, len(t.Services))
	for i, name := range t.Services {
		where := at(join(path, "services"), i)
		if !services[name] {
			f.add(where, "no service of the name "+name)
		}
		if seen[name] {
			f.add(where, "stands twice: "+name)
		}
		seen[name] = true
	}
	if (t.Model == "") == (len(t.Services) == 0) {
		f.add(path, "must serve either a model or services")
	}
	if t.Role != "" && t.Model == "" {
		f.add(join(path, "role"), "only a target that serves a model has a role")
	}
}

// checkCoverage refuses models and services that no target serves.
func checkCoverage(d *Document) []fault.Field {
	var f faults
	models, services := make(map[string]bool), make(map[string]bool)
	for _, t := range d.Targets {
		models[t.Model] = true
		for _, name := range t.Services {
			services[name] = true
		}
	}
	for i, m := range d.Models {
		if !models[m.Name] {
			f.add(at("models", i), "no target serves the model "+m.Name)
		}
	}
	for i, v := range d.Services {
		if !services[v.Name] {
			f.add(at("services", i), "no target offers the service "+v.Name)
		}
	}
	return f
}

// checkBudgets refuses budgets that no call of any model fits into.
func checkBudgets(d *Document) []fault.Field {
	var f faults
	least := smallestCall(d.Models)
	for i, v := range d.Organisations {
		if v.BudgetTokens < least {
			f.add(join(at("firms", i), "budget_tokens"), "is below a single call of any model")
		}
	}
	for i, a := range d.Agents {
		if a.MaxTokens != 0 && a.MaxTokens < least {
			f.add(join(at("agents", i), "max_tokens"), "is below a single call of any model")
		}
	}
	return f
}

// smallestCall returns the smallest of the models' output bounds, in tokens.
func smallestCall(models []Model) int64 {
	var least int64
	for i, m := range models {
		if i == 0 || m.MaxOutputTokens < least {
			least = m.MaxOutputTokens
		}
	}
	return least
}

// checkFixed refuses a change of the partitions or streams in force.
func checkFixed(d, inForce *Document) []fault.Field {
	var f faults
	if inForce == nil {
		return nil
	}
	if d.Partitions != inForce.Partitions {
		f.add("partitions", "can't change once a document is in force")
	}
	if d.Streams != inForce.Streams {
		f.add("streams", "can't change once a document is in force")
	}
	return f
}
